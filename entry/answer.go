package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/httpd"
)

// pieceBytes is the size of the pieces in which response bodies are copied.
const pieceBytes = 16 << 10

// piecePool holds the buffers with which response bodies are copied.
type piecePool struct {
	pool sync.Pool
}

func newPiecePool() *piecePool {
	return &piecePool{pool: sync.Pool{New: func() any { return &piece{buf: make([]byte, pieceBytes)} }}}
}

// piece is a part of a body.
type piece struct {
	buf []byte
	n   int
	// last is true if the body ends with the piece.
	last bool
}

// read reads the next piece of a body. It returns an error if the body is truncated.
func (p *piece) read(body io.Reader) error {
	p.n, p.last = 0, false

	for p.n < len(p.buf) {
		n, err := body.Read(p.buf[p.n:])
		p.n += n

		if errors.Is(err, io.EOF) {
			p.last = true

			return nil
		}

		if err != nil {
			return err
		}
	}

	return nil
}

// prefetched is a response whose first part has been read, so that it can still be replaced if the rest is missing. A
// short response is complete then.
type prefetched struct {
	pool          *piecePool
	result        gate.Result
	first, second *piece
}

// prefetch reads the first part of a response. For a long response it waits until all earlier responses of the
// connection have been sent, and then reads on, since the backend server's connection may have ended meanwhile. After
// an error the response is discarded; it is errClosing if the connection ends before the response's turn.
func (p *piecePool) prefetch(ctx context.Context, r gate.Result) (*prefetched, error) {
	f := &prefetched{pool: p, result: r}

	if err := f.read(ctx); err != nil {
		f.close()

		return nil, err
	}

	return f, nil
}

// errClosing is returned if the caller's connection ends before a response's turn.
var errClosing = errors.New("connection closes before the response")

func (f *prefetched) read(ctx context.Context) error {
	f.first, _ = f.pool.pool.Get().(*piece)
	if err := f.first.read(f.result.Body); err != nil || f.first.last {
		return err
	}

	if err := httpd.Serialize(ctx); err != nil {
		return fmt.Errorf("%w: %w", errClosing, err)
	}

	f.second, _ = f.pool.pool.Get().(*piece)

	return f.second.read(f.result.Body)
}

// close releases the response.
func (f *prefetched) close() {
	f.result.Discard()

	for _, p := range []*piece{f.first, f.second} {
		if p != nil {
			f.pool.pool.Put(p)
		}
	}
}

// send passes the response on. It returns an error if the body ends early: the connection must then be aborted, so that
// a truncated response never looks complete.
func (f *prefetched) send(w http.ResponseWriter) error {
	defer f.close()

	h := w.Header()
	if n := f.result.Length; n >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(n, 10)}
	}

	// A nil value keeps net/http from guessing a content type that the backend server did not send.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}

	w.WriteHeader(f.result.Status)

	for next := f.first; ; {
		if _, err := w.Write(next.buf[:next.n]); err != nil {
			return errReceiver
		}

		if next.last {
			return nil
		}

		if next == f.first {
			next = f.second

			continue
		}

		if err := next.read(f.result.Body); err != nil {
			return err
		}
	}
}

// errReceiver is returned if the receiver of a response has closed the connection.
var errReceiver = errors.New("receiver has closed the connection")

// incomplete returns the result of a request whose response was not complete. late is true if its deadline has passed,
// which closes the connection to the sender.
func incomplete(late bool, err error) gate.Result {
	reason := spar.ReasonBroken
	if late {
		reason = spar.ReasonDeadline
	}

	return gate.UnknownOutcome(reason, "response is incomplete: "+err.Error())
}
