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

type empty struct{}

// Guards against connections that stay open after the last call, and against closing a connection that has a
// call in flight or is called regularly.
func TestPoolClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		mux := peers.NewMux()
		peers.Handle(mux, "wait", func(_ context.Context, ms int) (empty, error) {
			time.Sleep(time.Duration(ms) * time.Millisecond)

			return empty{}, nil
		})

		ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		served := make(chan error, 1)

		go func() { served <- peers.NewServer(mux, &peers.Traffic{}).Serve(ctx, ln) }()

		p := peers.NewPool(ln.dial, &peers.Traffic{})
		go p.Run(ctx, spar.RuntimeClock())

		call := func(addr string, ms int) {
			var result empty

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

// pipeListener is a listener for the connections that its dial method opens.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns <- far

	return near, nil
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)

	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.IPAddr{} }
