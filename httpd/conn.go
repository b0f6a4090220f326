package httpd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
)

const (
	// connBytes is the memory of a connection without requests; docs/design/pipelining.md has the measurement.
	connBytes = 8 << 10
	// lingerTime is how long bytes of the client are still read after the last response. If a connection with unread
	// bytes were closed at once, the reset could overtake the response.
	lingerTime spar.Millis = 500
	// maxDiscardedBytes bounds the bytes that are read and discarded: those of a body that the handler did not read,
	// and those behind the last request of a connection.
	maxDiscardedBytes = 256 << 10
	// deadlineSlack is the additional time of an idle deadline, so that it need not be set again for each request.
	deadlineSlack spar.Millis = 5000
)

// conn is one connection of a client. Its goroutine reads the requests; workers run them.
type conn struct {
	server  *Server
	nc      net.Conn
	account Account
	ctx     context.Context //nolint:containedctx // It ends with the connection.
	cancel  context.CancelFunc
	remote  string
	src     source
	// large is the memory that is reserved for a large read buffer.
	large int64
	// bodyDone is signaled when the handler needs no further bytes of the current request. It is nil until the first
	// request with a body.
	bodyDone chan struct{}
	// resume ends a pause of the reader if the connection is not a socket.
	resume chan struct{}

	// pipelined is true once a request was read before an earlier one was answered.
	pipelined atomic.Bool

	mu sync.Mutex
	// queue holds the requests in flight in the order of their arrival, and bytes is their size.
	queue []*exchange
	bytes int
	seq   int
	// last is the request whose response closes the connection; nil if there is none.
	last *exchange
	// flushing is true while a worker writes complete responses.
	flushing bool
	batch    []*exchange
	vec      [][]byte
	// paused is true while the reader waits for requests to be answered, and woken once something has ended that pause.
	paused, woken bool
	// bodyOpen is true while the handler of the current request may read its body, and bodyStopped while these reads
	// must fail, since the handler has returned.
	bodyOpen, bodyStopped bool
	// finished is true once the last response was sent, closed once the connection is, and ended once the reader
	// has returned.
	finished, closed, ended bool
	// deadline is the read deadline on the server's clock; 0 if it is not known.
	deadline spar.Millis
}

func newConn(s *Server, nc net.Conn, account Account) *conn {
	c := &conn{server: s, nc: nc, account: account, remote: nc.RemoteAddr().String()}
	c.ctx, c.cancel = context.WithCancel(conns.WithConn(context.Background(), nc))
	c.src.open(nc, s.pools)

	if c.src.raw == nil {
		c.resume = make(chan struct{}, 1)
	}

	return c
}

// run reads requests until the connection ends.
func (c *conn) run() {
	defer c.end()

	for c.next() {
	}

	c.discard()
}

// end releases what the connection holds.
func (c *conn) end() {
	c.fail()
	c.src.release()
	c.server.remove(c)

	c.mu.Lock()
	defer c.mu.Unlock()

	c.ended = true
	c.settleLocked()
}

// settleLocked closes the account once nothing of the connection is left.
func (c *conn) settleLocked() {
	if c.ended && len(c.queue) == 0 {
		c.account.Close()
	}
}

// fail closes the connection and cancels all of its requests.
func (c *conn) fail() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()

	c.cancel()

	_ = c.nc.Close()
}

// next reads a request and starts it. It returns false if there won't be another one.
func (c *conn) next() bool {
	h := head{maxBytes: c.server.cfg.HeadBytes, maxLines: c.server.cfg.HeadLines}

	bad, err := c.readHead(&h)

	switch {
	case errors.Is(err, errClosing):
		return false
	case err != nil:
		c.fail()

		return false
	case bad != nil:
		c.refuse(bad)

		return false
	}

	size := h.size + int(min(h.length, c.server.cfg.MaxBodyBytes))
	if !c.awaitRoom(h.alone(), size) {
		return false
	}

	held := headCost(&h) + min(h.length, c.server.cfg.MaxBodyBytes)
	if !c.account.Take(held) {
		c.refuse(refusedMemory)

		return false
	}

	req, err := c.parse(&h)
	if err != nil {
		c.account.Release(held)
		c.refuse(refusedParse)

		return false
	}

	x := newExchange(c, req)
	x.size, x.held, x.alone = size, held, h.alone()

	if h.hasBody() {
		x.body = newBody(x, req, h.expect && !h.http10)
		x.req.Body = x.body
	}

	return c.serve(x)
}

// serve starts a request. It returns false if the request is the last one of the connection.
func (c *conn) serve(x *exchange) bool {
	last := x.req.Close || !x.http11()
	hasBody := x.body != nil

	if hasBody {
		c.openBody()
	}

	c.enqueue(x, last)
	c.server.start(x)

	if hasBody {
		<-c.bodyDone
		c.closeBody()
	}

	return !last
}

func (c *conn) openBody() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.bodyOpen = true
}

// stopBody ends a read of a body. It does nothing once the connection's goroutine reads on.
func (c *conn) stopBody() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.bodyOpen {
		c.bodyStopped = true
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// closeBody lets the connection's goroutine read on, also after stopBody.
func (c *conn) closeBody() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.bodyOpen = false

	if c.bodyStopped {
		c.bodyStopped = false
		c.deadline = 0
	}
}

// parse reads the head that was checked.
func (c *conn) parse(h *head) (*http.Request, error) {
	r := c.src.reader
	_, _ = r.Discard(h.skip)
	before := r.Buffered()

	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, err
	}

	// The reader of a body reads nothing before its first use.
	if before-r.Buffered() != h.size {
		return nil, errors.New("length of the head is in doubt")
	}

	req.RemoteAddr = c.remote
	req.Close = req.Close || asksToClose(req.Header)

	return req, nil
}

// readHead waits for a complete head. The error means that the connection ends.
func (c *conn) readHead(h *head) (*refusal, error) {
	if err := c.awaitFirst(); err != nil {
		return nil, err
	}

	var until spar.Millis

	for {
		if bad := h.feed(c.src.buffered()); bad != nil || h.complete {
			return bad, nil
		}

		if c.src.full() {
			size := c.server.cfg.HeadBytes + readerBytes
			if !c.account.Take(int64(size)) {
				return refusedMemory, nil
			}

			c.large = int64(size)
			c.src.grow(size)
		}

		if until == 0 {
			until = c.server.deps.Clock.Now() + c.server.cfg.HeadTimeout
			c.setDeadline(until)
		}

		if err := c.src.more(); errors.Is(err, os.ErrDeadlineExceeded) {
			return refusedSlow, nil
		} else if err != nil {
			return nil, err
		}
	}
}

// releaseLarge drops a large read buffer without unread bytes and returns its memory.
func (c *conn) releaseLarge() {
	if c.large > 0 && len(c.src.buffered()) == 0 {
		c.src.release()
		c.account.Release(c.large)
		c.large = 0
	}
}

// awaitFirst waits for the first byte of a request. A connection is not idle while requests are in flight.
func (c *conn) awaitFirst() error {
	c.releaseLarge()

	for {
		if c.closing() {
			return errClosing
		}

		c.setIdleDeadline()

		err := c.src.await()
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.busy() {
			return err
		}
	}
}

// setIdleDeadline gives the client the time of an idle connection.
func (c *conn) setIdleDeadline() {
	until := c.server.deps.Clock.Now() + c.server.cfg.IdleTimeout

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.deadline < until {
		c.setDeadlineLocked(until + deadlineSlack)
	}
}

func (c *conn) setDeadline(at spar.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.setDeadlineLocked(at)
}

// setDeadlineLocked sets the read deadline, unless the connection ends already or the deadline wakes the reader.
func (c *conn) setDeadlineLocked(at spar.Millis) {
	if c.finished || c.woken || c.bodyStopped || c.deadline == at {
		return
	}

	c.deadline = at
	_ = c.nc.SetReadDeadline(time.Now().Add((at - c.server.deps.Clock.Now()).Duration()))
}

// busy reports whether requests are in flight.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.queue) > 0 && !c.finished && !c.closed
}

// closing reports whether no further request may be read.
func (c *conn) closing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.last != nil || c.closed
}

// awaitRoom waits until a request may start. It returns false if the connection ends first.
func (c *conn) awaitRoom(alone bool, size int) bool {
	for {
		c.mu.Lock()

		ends := c.last != nil || c.closed
		room := c.hasRoomLocked(alone, size)
		c.paused = !ends && !room
		paused := c.paused
		c.mu.Unlock()

		if !paused {
			return !ends
		}

		if c.pause() {
			c.fail()

			return false
		}
	}
}

// hasRoomLocked reports whether a request may start beside those in flight.
func (c *conn) hasRoomLocked(alone bool, size int) bool {
	n := len(c.queue)
	if n == 0 {
		return true
	}

	return !alone && !c.queue[n-1].alone && n < c.server.cfg.PipelineDepth && c.bytes+size <= c.server.cfg.PipelineBytes
}

// pause waits until a request has been answered. It reports whether the client has closed the connection.
func (c *conn) pause() bool {
	if c.src.raw == nil {
		select {
		case <-c.resume:
			return false
		case <-c.ctx.Done():
			return true
		}
	}

	c.setIdleDeadline()
	hungUp := c.src.watch()

	c.mu.Lock()
	defer c.mu.Unlock()

	c.paused, c.woken = false, false

	c.deadline = 0

	if c.finished {
		c.lingerLocked()
	}

	return hungUp
}

// wakeReaderLocked ends a pause.
func (c *conn) wakeReaderLocked() {
	switch {
	case !c.paused || c.woken:
	case c.src.raw != nil:
		c.woken = true
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	default:
		c.paused = false

		select {
		case c.resume <- struct{}{}:
		default:
		}
	}
}

// refuse answers a head that is not accepted, after all earlier requests, and closes the connection.
func (c *conn) refuse(bad *refusal) {
	c.server.deps.Tally.Count("spar_client_refused_" + bad.cause + "_total")

	x := newExchange(c, nil)
	x.refusal(bad)
	c.enqueue(x, true)
	c.complete(x)
}

// discard reads what the client still sends, so that it is noticed when the client closes the connection.
func (c *conn) discard() {
	b := make([]byte, 1<<10)

	for discarded := 0; discarded < maxDiscardedBytes; {
		if c.gone() {
			return
		}

		if c.busy() {
			c.setIdleDeadline()
		}

		n, err := c.nc.Read(b)
		discarded += n

		if err != nil && (!errors.Is(err, os.ErrDeadlineExceeded) || !c.busy()) {
			return
		}
	}

	c.awaitClose()
}

// awaitClose waits until the connection is closed, or lingerTime has passed after the last response, without reading
// from it.
func (c *conn) awaitClose() {
	for !c.gone() {
		busy := c.busy()

		switch {
		case busy && c.src.raw == nil:
			<-c.ctx.Done()

			return
		case busy:
			c.setIdleDeadline()
		case c.src.raw == nil:
			return
		}

		if c.src.watch() || !busy {
			return
		}
	}
}

func (c *conn) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.closed
}
