package conns

import (
	"errors"
	"io"
	"net/http"
	"time"

	spar "sardinespar.example/spar"
)

// responseGrace is how long a response is awaited after the request could not be sent completely: a server
// that refuses a long request responds and closes the connection.
const responseGrace spar.Millis = 100

// upload sends a long request while its response is read, since a server may respond before it has read the
// complete request.
type upload struct {
	conn *conn
	done chan struct{}
	// err is valid once done is closed.
	err error
}

func (u *upload) run(p *Pool, req Request) {
	defer close(u.done)

	if u.err = p.write(u.conn, req); u.err != nil {
		_ = u.conn.SetReadDeadline(time.Now().Add(responseGrace.Duration()))
	}
}

// complete reports whether the request was sent completely.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// failed reports whether the request could not be sent completely.
func (u *upload) failed() bool {
	select {
	case <-u.done:
		return u.err != nil
	default:
		return false
	}
}

// body is a response's body. When it has been read to its end, the connection returns to the pool, unless more
// bytes follow on it.
type body struct {
	io.ReadCloser

	pool *Pool
	conn *conn
	resp *http.Response
	up   *upload
	stop func() bool
	// ownConn is true if the connection must not carry another request.
	ownConn bool
	done    bool
}

// errReset is returned for a response that ends with its connection if the server has reset the connection.
var errReset = errors.New("connection was reset")

// Read reads the body. An error other than io.EOF means that the response is truncated.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil || b.done {
		return n, err
	}

	b.done = true
	if errors.Is(err, io.EOF) && b.endsWithConn() && b.cutShort() {
		err = errReset
	}

	if errors.Is(err, io.EOF) && b.reusable() {
		b.pool.put(b.conn, keepAlive(b.resp.Header, b.pool.opts.IdleTimeout))
	} else {
		_ = b.conn.Close()
	}

	return n, err
}

// endsWithConn reports whether only the end of the connection marks the end of the response.
func (b *body) endsWithConn() bool {
	return b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0
}

// cutShort reports whether the connection ended by a reset. While a long request is being sent, its writer may be the
// one that learns of the reset, and the reader then sees the end of the stream, as after an orderly end.
func (b *body) cutShort() bool {
	return b.up.failed() || b.conn.wasReset()
}

// reusable reports whether the connection can carry another request. It can't if the request's ctx has ended,
// which closes it.
func (b *body) reusable() bool {
	return b.stop() && !b.ownConn && !b.resp.Close && b.up.complete() && b.conn.r.Buffered() == 0
}

// Close releases the response. It closes the connection if the response wasn't read to its end.
func (b *body) Close() error {
	if b.done {
		return nil
	}

	b.done = true
	b.stop()

	return b.conn.Close()
}
