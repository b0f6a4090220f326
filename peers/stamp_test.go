package peers_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/peers"
)

// singleListener is a listener for one connection.
type singleListener struct {
	conns chan net.Conn
}

func (l singleListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}

	return c, nil
}

func (l singleListener) Close() error {
	close(l.conns)

	return nil
}

func (l singleListener) Addr() net.Addr {
	return &net.UnixAddr{}
}

// TestTimestampsInCallsAndReplies guards against events that can't be ordered because calls or replies carry no
// timestamp. The server's wall clock is first behind the caller's, then ahead of it.
func TestTimestampsInCallsAndReplies(t *testing.T) {
	for _, skew := range []int64{-5000, 5000} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			near, far := net.Pipe()
			ln := singleListener{conns: make(chan net.Conn, 1)}
			ln.conns <- far

			caller := event.NewRing(8, func() int64 { return 10_000 })
			callee := event.NewRing(8, func() int64 { return 10_000 + skew })

			mux := peers.NewMux()
			peers.Handle(mux, "test.echo", func(_ context.Context, n int) (int, error) {
				callee.Record(spar.Event{Detail: "during"})

				return n, nil
			})

			server := peers.NewServer(mux, &peers.Traffic{}).SetLogicalClock(callee)
			done := make(chan error, 1)

			go func() { done <- server.Serve(ctx, ln) }()

			count := &peers.Traffic{}
			pool := peers.NewPool(func(context.Context, string) (net.Conn, error) { return near, nil }, count).
				SetLogicalClock(caller)

			caller.Record(spar.Event{Detail: "before"})

			var n int
			qt.Assert(t, pool.Call(ctx, "x", "test.echo", 1, &n), qt.IsNil)
			caller.Record(spar.Event{Detail: "after"})

			order := make([]string, 0, 3)
			for _, e := range event.Merge(caller.Events(), callee.Events()) {
				order = append(order, e.Detail)
			}

			qt.Assert(t, order, qt.DeepEquals, []string{"before", "during", "after"})
			qt.Assert(t, count.Calls(), qt.DeepEquals, map[string]int64{"test.echo ok": 1})

			pool.Close()
			stop()
			qt.Assert(t, <-done, qt.IsNil)
		})
	}
}
