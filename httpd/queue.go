package httpd

import (
	"context"
	"net"
	"time"
)

// halfCloser is a connection whose writing side can be closed alone.
type halfCloser interface {
	CloseWrite() error
}

// lingerer is a connection that can be closed by a reset.
type lingerer interface {
	SetLinger(sec int) error
}

// enqueue adds a request to those in flight. last is true if the connection closes after its response.
func (c *conn) enqueue(x *exchange, last bool) {
	c.mu.Lock()

	c.seq++
	x.seq = c.seq
	ahead := len(c.queue) > 0
	behind := c.last != nil
	x.turn.Store(!ahead && !behind && !c.flushing)

	c.queue = append(c.queue, x)
	c.bytes += x.size

	if last && !behind {
		c.last = x
	}

	c.mu.Unlock()

	// The decision to close may have been made after the request was read.
	if behind {
		x.cancel()
	}

	if ahead {
		c.pipelined.Store(true)
		c.server.deps.Tally.Count("spar_client_read_ahead_total")
	}
}

// closeAfter records that the response to x closes the connection. All requests behind it are canceled: the client
// considers them unread and sends them again.
func (c *conn) closeAfter(x *exchange) {
	c.mu.Lock()

	if c.last != nil && c.last.seq <= x.seq {
		c.mu.Unlock()

		return
	}

	c.last = x
	behind := make([]*exchange, 0, len(c.queue))

	for _, q := range c.queue {
		if q.seq > x.seq {
			behind = append(behind, q)
		}
	}

	c.wakeReaderLocked()
	c.mu.Unlock()

	for _, q := range behind {
		q.cancel()
	}
}

// complete sends a complete response, if it is its turn, and those behind it that are complete too. If the turn
// has not come, the worker that completes the response before sends this one.
func (c *conn) complete(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()

	x.done = true

	if c.flushing {
		return
	}

	c.flushing = true

	for c.flushLocked() {
	}

	c.flushing = false

	if len(c.queue) > 0 && !c.finished && !c.closed {
		c.queue[0].beginTurnLocked()
	}

	c.wakeReaderLocked()
	c.settleLocked()
}

// flushLocked writes the complete responses at the head of the queue. It returns false if there is none. It unlocks
// mu while it writes.
func (c *conn) flushLocked() bool {
	n := 0
	for n < len(c.queue) && c.queue[n].done {
		n++
	}

	if n == 0 {
		return false
	}

	c.batch = append(c.batch[:0], c.queue[:n]...)
	last, skip := c.last, c.finished || c.closed

	c.mu.Unlock()

	if !skip {
		c.sendBatch(c.batch, last)
	}

	c.mu.Lock()

	for i, x := range c.batch {
		c.bytes -= x.size
		c.account.Release(x.held)
		x.release()
		c.batch[i] = nil
	}

	rest := copy(c.queue, c.queue[n:])
	clear(c.queue[rest:])
	c.queue = c.queue[:rest]

	return true
}

// sendBatch writes complete responses with one system call, and closes the connection after that of last.
func (c *conn) sendBatch(batch []*exchange, last *exchange) {
	c.vec = c.vec[:0]
	closes := false

	for _, x := range batch {
		if !x.aborted && len(x.out.b) > 0 {
			c.vec = append(c.vec, x.out.b)
		}

		if closes = x == last; closes {
			break
		}
	}

	err := c.write(c.vec...)
	clear(c.vec)

	switch {
	case err != nil:
		c.fail()
	case closes && last.aborted && last.closeDelimited():
		// The end of the connection would end the response.
		if l, ok := c.nc.(lingerer); ok {
			_ = l.SetLinger(0)
		}

		c.fail()
	case closes:
		c.shutDown()
	}
}

// write writes parts of responses. Only the request whose turn it is, or the worker that sends complete responses,
// may call it.
func (c *conn) write(parts ...[]byte) error {
	switch len(parts) {
	case 0:
		return nil
	case 1:
		_, err := c.nc.Write(parts[0])

		return err
	}

	buffers := net.Buffers(parts)
	_, err := buffers.WriteTo(c.nc)

	return err
}

// shutDown closes the writing side after the last response. The reader closes the connection once the client has
// closed its side or lingerTime has passed.
func (c *conn) shutDown() {
	h, ok := c.nc.(halfCloser)
	if !ok {
		c.fail()

		return
	}

	c.mu.Lock()
	c.finished = true
	c.lingerLocked()
	c.mu.Unlock()

	_ = h.CloseWrite()
}

func (c *conn) lingerLocked() {
	_ = c.nc.SetReadDeadline(time.Now().Add(lingerTime.Duration()))
}

// awaitTurn waits until all earlier requests have been answered.
func (x *exchange) awaitTurn(ctx context.Context) error {
	c := x.conn

	c.mu.Lock()

	if err := x.turnErrLocked(); err != nil || x.turn.Load() {
		c.mu.Unlock()

		return err
	}

	if x.wake == nil {
		x.wake = make(chan struct{})
	}

	wake := x.wake
	c.mu.Unlock()

	select {
	case <-wake:
	case <-ctx.Done():
		return ctx.Err()
	case <-x.ctx.Done():
		return errClosing
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return x.turnErrLocked()
}

// turnErrLocked returns an error if the response will never be sent.
func (x *exchange) turnErrLocked() error {
	c := x.conn
	if c.closed || c.finished || c.last != nil && c.last.seq < x.seq {
		return errClosing
	}

	return nil
}

// beginTurnLocked lets the response be sent directly.
func (x *exchange) beginTurnLocked() {
	if x.turn.Swap(true) || x.wake == nil {
		return
	}

	close(x.wake)
}
