package pace_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/pace"
)

// Guards against downloads using the share of the link that requests to other nodes need, so that the requests
// wait behind them. The test runs an endless download at the same time as such requests.
func TestDownloadsLeaveBandwidthForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			duration spar.Millis = 2000
			request              = 500
			requests             = 600
			maxRate              = rate * 0.9
		)

		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)
		local, remote := net.Pipe()
		dial := link.Dialer(func(context.Context, string) (net.Conn, error) { return local, nil }, "10.0.0.1:80")
		conn, err := dial(t.Context(), "10.0.0.2:80")
		c.Assert(err, qt.IsNil)

		var (
			wg         sync.WaitGroup
			downloaded int
		)

		wg.Go(func() { _, _ = io.Copy(io.Discard, remote) })
		wg.Go(func() {
			tr, _, _ := link.Reserve(duration)
			for clock.Now() < duration {
				if tr.Acquire(t.Context(), pace.ChunkBytes) == nil {
					downloaded += pace.ChunkBytes
				}
			}

			tr.Close(true)
		})

		for range requests {
			_, err := conn.Write(make([]byte, request))
			c.Assert(err, qt.IsNil)
			clock.Sleep(t.Context(), duration/requests)
		}

		_ = conn.Close()

		wg.Wait()

		sent := spar.Millis(downloaded+requests*request) / duration
		c.Check(sent < maxRate, qt.IsTrue, qt.Commentf("%v bytes/ms sent", sent))
		c.Check(sent > 0.8*rate, qt.IsTrue, qt.Commentf("%v bytes/ms sent", sent))
	})
}

// Guards against counting bytes to the backend server on this VM, which don't use the link.
func TestLocalConnectionsAreNotCounted(t *testing.T) {
	c := qt.New(t)
	link := pace.New(spar.RuntimeClock(), rate)
	local, remote := net.Pipe()
	dial := link.Dialer(func(context.Context, string) (net.Conn, error) { return local, nil }, "10.0.0.1:80")
	conn, err := dial(t.Context(), "10.0.0.1:80")
	c.Assert(err, qt.IsNil)

	go func() { _, _ = io.Copy(io.Discard, remote) }()

	_, err = conn.Write(make([]byte, 1<<20))
	c.Assert(err, qt.IsNil)
	c.Check(link.Wait(), qt.Equals, spar.Millis(0))
	_ = conn.Close()
}
