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
	relayBuffer  = 32 << 10
	relayPending = 256
)

// Relay forwards TCP connections to a node with the delay of the link in each direction, and
// drops all of its traffic while it is cut.
type Relay struct {
	target string
	delay  time.Duration
	ln     net.Listener
	cut    atomic.Bool
	wg     sync.WaitGroup
}

// NewRelay listens at addr and forwards to target.
func NewRelay(ctx context.Context, addr, target string, delay time.Duration) (*Relay, error) {
	var lc net.ListenConfig

	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}

	r := &Relay{target: target, delay: delay, ln: ln}
	r.wg.Go(func() { r.loop(ctx) })

	return r, nil
}

// Cut drops the traffic from now on, or lets it pass again.
func (r *Relay) Cut(cut bool) {
	r.cut.Store(cut)
}

// Close stops the relay.
func (r *Relay) Close() {
	_ = r.ln.Close()
}

func (r *Relay) loop(ctx context.Context) {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}

		r.wg.Go(func() { r.run(ctx, conn) })
	}
}

func (r *Relay) run(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()

	var d net.Dialer

	target, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil {
		reset(caller)

		return
	}
	defer func() { _ = target.Close() }()

	var wg sync.WaitGroup

	wg.Go(func() { r.pipe(caller, target) })
	wg.Go(func() { r.pipe(target, caller) })
	wg.Wait()
}

type chunk struct {
	data []byte
	due  time.Time
}

// pipe copies one direction. A connection that ends in an error is reset on the other side, so
// that a killed process doesn't look as if it had closed in order.
func (r *Relay) pipe(from, to net.Conn) {
	chunks := make(chan chunk, relayPending)

	var wg sync.WaitGroup

	wg.Go(func() { r.deliver(chunks, to) })

	var err error

	for err == nil {
		var n int

		buf := make([]byte, relayBuffer)
		n, err = from.Read(buf)

		if n > 0 && !r.cut.Load() {
			chunks <- chunk{data: buf[:n], due: time.Now().Add(r.delay)}
		}
	}

	close(chunks)
	wg.Wait()

	if isEOF(err) {
		halfClose(to)
	} else {
		reset(to)
		reset(from)
	}
}

func (r *Relay) deliver(chunks <-chan chunk, to net.Conn) {
	for c := range chunks {
		time.Sleep(time.Until(c.due))

		if r.cut.Load() {
			continue
		}

		if _, err := to.Write(c.data); err != nil {
			reset(to)
		}
	}
}

func isEOF(err error) bool {
	var op *net.OpError

	return !errors.As(err, &op)
}

func halfClose(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}

	_ = c.Close()
}
