package conns

import (
	"errors"
	"io"
	"net/http"
	"time"

	spar "sardinespar.example/spar"
)

// lateAnswer is how long an answer is awaited after the request could not be sent whole: a server that
// refuses a long request answers and closes.
const lateAnswer spar.Millis = 100

// upload sends a long request while its answer is read, since a server may answer before it has read
// the whole request.
type upload struct {
	conn *conn
	done chan struct{}
	err  error
}

func (u *upload) run(p *Pool, req Request) {
	defer close(u.done)

	if u.err = p.write(u.conn, req); u.err != nil {
		_ = u.conn.SetReadDeadline(time.Now().Add(lateAnswer.Duration()))
	}
}

// complete reports whether the whole request was sent.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// body is an answer's body. Its end returns the connection to the pool, if nothing is left on it.
type body struct {
	io.ReadCloser

	pool *Pool
	conn *conn
	resp *http.Response
	up   *upload
	stop func() bool
	over bool
}

// Read reads the body. An error other than io.EOF means that the answer isn't whole.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.over {
		return n, err
	}

	b.over = true
	if errors.Is(err, io.EOF) && b.reusable() {
		b.pool.put(b.conn, keepFor(b.resp.Header, b.pool.opts.IdleFor))
	} else {
		_ = b.conn.Close()
	}

	return n, err
}

// reusable reports whether the connection can carry another request. It is closed if ctx has ended.
func (b *body) reusable() bool {
	return b.stop() && !b.resp.Close && b.up.complete() && b.conn.r.Buffered() == 0
}

// Close ends the use of the answer. A connection whose answer wasn't read to its end is closed.
func (b *body) Close() error {
	if b.over {
		return nil
	}

	b.over = true
	b.stop()

	return b.conn.Close()
}
