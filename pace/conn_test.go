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

// Replays downloads without end beside requests to other nodes. Guards against downloads that take the
// part of the link that the requests need, so that these wait behind them.
func TestDownloadsFillLinkThatRequestsNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			span     spar.Millis = 2000
			request              = 500
			requests             = 600
			most                 = rate * 0.9
		)

		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)
		here, there := net.Pipe()
		dial := link.Dialer(func(context.Context, string) (net.Conn, error) { return here, nil }, "10.0.0.1:80")
		conn, err := dial(t.Context(), "10.0.0.2:80")
		c.Assert(err, qt.IsNil)

		var (
			wg         sync.WaitGroup
			downloaded int
		)

		wg.Go(func() { _, _ = io.Copy(io.Discard, there) })
		wg.Go(func() {
			tr, _, _ := link.Book(span)
			for clock.Now() < span {
				if tr.Take(t.Context(), pace.ChunkBytes) == nil {
					downloaded += pace.ChunkBytes
				}
			}

			tr.Close(true)
		})

		for range requests {
			_, err := conn.Write(make([]byte, request))
			c.Assert(err, qt.IsNil)
			clock.Sleep(t.Context(), span/requests)
		}

		_ = conn.Close()

		wg.Wait()

		sent := spar.Millis(downloaded+requests*request) / span
		c.Check(sent < most, qt.IsTrue, qt.Commentf("%v bytes/ms sent", sent))
		c.Check(sent > 0.8*rate, qt.IsTrue, qt.Commentf("%v bytes/ms sent", sent))
	})
}

// Guards against a connection to the server on this VM that is counted, though it takes nothing of the link.
func TestLocalConnectionsTakeNoLink(t *testing.T) {
	c := qt.New(t)
	link := pace.New(spar.RuntimeClock(), rate)
	here, there := net.Pipe()
	dial := link.Dialer(func(context.Context, string) (net.Conn, error) { return here, nil }, "10.0.0.1:80")
	conn, err := dial(t.Context(), "10.0.0.1:80")
	c.Assert(err, qt.IsNil)

	go func() { _, _ = io.Copy(io.Discard, there) }()

	_, err = conn.Write(make([]byte, 1<<20))
	c.Assert(err, qt.IsNil)
	c.Check(link.Wait(), qt.Equals, spar.Millis(0))
	_ = conn.Close()
}
