package peers_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
)

type nothing struct{}

// Guards against connections that stay open after the last call, and against one that is closed
// under a call or while it is in use.
func TestPoolClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		mux := peers.NewMux()
		peers.Handle(mux, "wait", func(_ context.Context, ms int) (nothing, error) {
			time.Sleep(time.Duration(ms) * time.Millisecond)

			return nothing{}, nil
		})

		ln := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
		served := make(chan error, 1)

		go func() { served <- peers.NewServer(mux, &peers.Traffic{}).Serve(ctx, ln) }()

		p := peers.NewPool(ln.dial, &peers.Traffic{})
		go p.Run(ctx, spar.RuntimeClock())

		call := func(addr string, ms int) {
			var result nothing

			qt.Check(t, p.Call(ctx, addr, "wait", ms, &result), qt.IsNil)
		}

		call("once", 0)
		call("long", 45_000)
		qt.Check(t, p.Len(), qt.Equals, 1)

		for range 40 {
			call("often", 1000)
		}

		qt.Check(t, p.Len(), qt.Equals, 1)
		time.Sleep(25 * time.Second)
		qt.Check(t, p.Len(), qt.Equals, 0)

		cancel()
		qt.Check(t, <-served, qt.IsNil)
	})
}

// pipes is a listener whose connections are made by dial.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns <- far

	return near, nil
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.closed)

	return nil
}

func (p *pipes) Addr() net.Addr { return &net.IPAddr{} }
