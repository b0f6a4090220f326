package launch

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	relayBufferBytes = 32 << 10
	relayQueueSize   = 256
)

// Relay forwards TCP connections to a node, adds the delay of the link in each direction, and drops
// all traffic while it is partitioned.
type Relay struct {
	target      string
	delay       time.Duration
	listener    net.Listener
	partitioned atomic.Bool
	wg          sync.WaitGroup
}

// NewRelay starts a relay that listens at addr and forwards to target.
func NewRelay(ctx context.Context, addr, target string, delay time.Duration) (*Relay, error) {
	var lc net.ListenConfig

	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}

	r := &Relay{target: target, delay: delay, listener: ln}
	r.wg.Go(func() { r.loop(ctx) })

	return r, nil
}

// SetPartitioned sets whether all traffic is dropped.
func (r *Relay) SetPartitioned(partitioned bool) {
	r.partitioned.Store(partitioned)
}

// Close stops accepting connections; open ones continue.
func (r *Relay) Close() {
	_ = r.listener.Close()
}

func (r *Relay) loop(ctx context.Context) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}

		r.wg.Go(func() { r.forward(ctx, conn) })
	}
}

// forward connects a caller to the target until both directions have ended.
func (r *Relay) forward(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()

	var d net.Dialer

	target, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		resetConn(caller)

		return
	}
	defer func() { _ = target.Close() }()

	var wg sync.WaitGroup

	wg.Go(func() { r.pipe(caller, target) })
	wg.Go(func() { r.pipe(target, caller) })
	wg.Wait()
}

// chunk is data that is delivered to its receiver at the time due.
type chunk struct {
	data []byte
	due  time.Time
}

// pipe copies one direction. If a connection ends with an error, the other side is reset, so that
// the connection of a killed process does not look like a regular close.
func (r *Relay) pipe(from, to net.Conn) {
	chunks := make(chan chunk, relayQueueSize)

	var wg sync.WaitGroup

	wg.Go(func() { r.deliver(chunks, to) })

	var err error

	for err == nil {
		var n int

		buf := make([]byte, relayBufferBytes)
		n, err = from.Read(buf)

		if n > 0 && !r.partitioned.Load() {
			chunks <- chunk{data: buf[:n], due: time.Now().Add(r.delay)}
		}
	}

	close(chunks)
	wg.Wait()

	if endedCleanly(err) {
		closeWrite(to)
	} else {
		resetConn(to)
		resetConn(from)
	}
}

// deliver writes each chunk when it is due.
func (r *Relay) deliver(chunks <-chan chunk, to net.Conn) {
	for c := range chunks {
		time.Sleep(time.Until(c.due))

		if r.partitioned.Load() {
			continue
		}

		if _, err := to.Write(c.data); err != nil {
			resetConn(to)
		}
	}
}

// endedCleanly reports whether a read ended at the end of the stream and not with a network error.
func endedCleanly(err error) bool {
	var op *net.OpError

	return !errors.As(err, &op)
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}

	_ = c.Close()
}
