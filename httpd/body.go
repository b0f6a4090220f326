package httpd

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// slowBodyGrace is the time after which a body must have arrived at the minimum rate.
	slowBodyGrace spar.Millis = 10_000
	// bodyStepBytes is the size of the pieces in which the memory of a body of unknown length is reserved.
	bodyStepBytes = 16 << 10

	continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"
)

// ErrMemory is returned by a read of a request's body if there is no memory for the rest of the body.
var ErrMemory = errors.New("no memory for the body")

// body is the body of a request. Its connection has no other request in flight.
type body struct {
	x *exchange
	// parsed is the request as net/http read it, which gets the trailer, and src its body.
	parsed *http.Request
	src    io.ReadCloser
	// length is the length of the body; negative if it is not known.
	length int64
	// start is the time of the first read.
	start spar.Millis
	read  int64
	// room is the number of bytes that may be read before more memory is reserved for a body of unknown length.
	room int64
	// expect is true while the client waits for an interim response.
	expect bool
	// ended is true after the last byte, failed after an error, and released once the connection's goroutine may read
	// on.
	ended, failed, released bool

	// mu is locked during a read, and guards the fields above: a handler may return while its body is read elsewhere.
	mu sync.Mutex
}

func newBody(x *exchange, parsed *http.Request, expect bool) *body {
	if x.conn.bodyDone == nil {
		x.conn.bodyDone = make(chan struct{}, 1)
	}

	return &body{x: x, parsed: parsed, src: parsed.Body, length: parsed.ContentLength, expect: expect}
}

// Read reads the body. The client gets the interim response that it waits for, if any.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.readLocked(p)
}

func (b *body) readLocked(p []byte) (int, error) {
	switch {
	case b.ended:
		return 0, io.EOF
	case b.failed || b.released:
		return 0, http.ErrBodyReadAfterClose
	}

	if err := b.prepare(); err != nil {
		b.failed = true

		return 0, err
	}

	// A longer read could return more than is reserved.
	if b.length < 0 {
		p = p[:min(int64(len(p)), b.room-b.read)]
	}

	n, err := b.src.Read(p)
	b.read += int64(n)

	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
		b.x.req.Trailer = b.parsed.Trailer
		b.doneLocked()
	case err != nil:
		b.failed = true
	}

	return n, err
}

// prepare does what precedes a read: the interim response, the deadline and the memory.
func (b *body) prepare() error {
	c := b.x.conn
	now := c.server.deps.Clock.Now()

	if b.start == 0 {
		b.start = now
	}

	if b.expect {
		b.expect = false

		if err := c.write([]byte(continueResponse)); err != nil {
			return err
		}
	}

	if b.length < 0 && b.read >= b.room {
		if !c.account.Take(bodyStepBytes) {
			return ErrMemory
		}

		b.room += bodyStepBytes
		b.x.held += bodyStepBytes
	}

	b.limitTime(now)

	return nil
}

// limitTime sets the deadline of a read such that the body arrives at the minimum rate.
func (b *body) limitTime(now spar.Millis) {
	c := b.x.conn
	if int64(c.src.reader.Buffered()) >= b.length-b.read && b.length >= 0 {
		return
	}

	until := now + c.server.cfg.IdleTimeout

	if rate := c.server.cfg.BodyRate; rate > 0 {
		const second = 1000

		until = b.start + slowBodyGrace + spar.Millis(b.read)*second/spar.Millis(rate)
		// Whole seconds avoid a new deadline for each read.
		until = spar.Millis(math.Ceil(float64(until)/second) * second)
	}

	c.setDeadline(until)
}

// Close does nothing: the rest of a body is discarded when the response begins, or ends the connection.
func (b *body) Close() error {
	return nil
}

// skip discards a short rest of the body. It reports whether the connection can carry another request, which is not
// the case while the body is read elsewhere.
func (b *body) skip() bool {
	if !b.mu.TryLock() {
		return false
	}

	defer b.mu.Unlock()

	switch {
	case b.ended:
		return true
	case b.expect:
		// A later read must not send the interim response in the middle of the response.
		b.expect = false

		return false
	case b.failed, b.length-b.read > maxDiscardedBytes:
		return false
	}

	_, err := io.CopyN(io.Discard, readerFunc(b.readLocked), maxDiscardedBytes+1)

	return errors.Is(err, io.EOF)
}

// readerFunc is a function that reads.
type readerFunc func(p []byte) (int, error)

// Read calls the function.
func (f readerFunc) Read(p []byte) (int, error) {
	return f(p)
}

// done lets the connection's goroutine read on after the handler has returned. It ends a read that is under way.
func (b *body) done() {
	if !b.mu.TryLock() {
		b.x.conn.stopBody()
		b.mu.Lock()
	}

	defer b.mu.Unlock()

	b.doneLocked()
}

func (b *body) doneLocked() {
	if !b.released {
		b.released = true
		b.x.conn.bodyDone <- struct{}{}
	}
}

// retryAfter is the delay that is sent to a client whose request was refused for lack of memory, in seconds.
const retryAfter = "0.3"

// refusal completes x with a response that closes the connection.
func (x *exchange) refusal(bad *refusal) {
	text := bad.text + "\n"
	h := x.Header()
	h["Connection"] = []string{"close"}
	h["Content-Type"] = []string{"text/plain"}
	h["Content-Length"] = []string{strconv.Itoa(len(text))}

	if bad.status == http.StatusServiceUnavailable {
		h["Retry-After"] = []string{retryAfter}
	}

	x.out = x.conn.server.pools.buffer()
	x.status = bad.status
	x.length = int64(len(text))
	x.closes = true
	x.appendHead()
	x.endHead(nil, false)
	x.out.b = append(x.out.b, text...)
}
