package pace_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/pace"
)

// rate is that of a link of 10 Mbit/s, in bytes a millisecond.
const rate = 1250

// transfer writes an answer chunk by chunk and returns when its last byte was written.
func transfer(ctx context.Context, clock spar.Clock, t *pace.Transfer, bytes int) (spar.Millis, error) {
	t.Resize(int64(bytes))
	defer t.Close(true)

	for bytes > 0 {
		n := min(bytes, pace.ChunkBytes)
		if err := t.Take(ctx, n); err != nil {
			return 0, err
		}

		bytes -= n
	}

	return clock.Now(), nil
}

// Replays downloads beyond what the link carries. Guards against all of them being accepted and arriving
// late: those that are accepted arrive by their objective, the rest is refused at once with a time after
// which there is room, and the link is used.
func TestOverloadedLinkRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			bytes     = 90_000
			pause     = 40
			requests  = 200
			objective = 800
		)

		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)

		var (
			wg             sync.WaitGroup
			mu             sync.Mutex
			served, inTime int
		)

		for range requests {
			due := clock.Now() + objective

			tr, after, ok := link.Book(due)
			if ok {
				wg.Go(func() {
					end, err := transfer(t.Context(), clock, tr, bytes)

					mu.Lock()
					defer mu.Unlock()

					served++
					if err == nil && end <= due {
						inTime++
					}
				})
			} else {
				c.Check(after > 0 && after < objective, qt.IsTrue, qt.Commentf("after %v", after))
			}

			clock.Sleep(t.Context(), pause)
		}

		wg.Wait()
		c.Check(inTime, qt.Equals, served)

		// The link carries one answer in 85 ms at the usable rate.
		c.Check(served >= requests*pause/90, qt.IsTrue, qt.Commentf("served %d", served))
	})
}

// Guards against a short answer that waits behind whole downloads: what is written ahead of the link
// stays short.
func TestShortAnswersPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)
		start := clock.Now()

		var (
			wg      sync.WaitGroup
			mu      sync.Mutex
			written int
		)

		for range 4 {
			tr, _, ok := link.Book(start + 10_000)
			c.Assert(ok, qt.IsTrue)
			wg.Go(func() {
				defer tr.Close(true)

				for range 10 {
					if tr.Take(t.Context(), pace.ChunkBytes) != nil {
						return
					}

					mu.Lock()
					written += pace.ChunkBytes
					ahead := spar.Millis(written)/rate - (clock.Now() - start)
					mu.Unlock()

					c.Check(ahead < 25, qt.IsTrue, qt.Commentf("%v ms written ahead", ahead))
				}
			})
		}

		wg.Wait()
	})
}

// Guards against answers that all arrive late because they share the link evenly: the first goes first.
func TestFirstBookedEndsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)
		ends := make([]spar.Millis, 3)

		var wg sync.WaitGroup

		for i := range ends {
			tr, _, ok := link.Book(clock.Now() + 10_000)
			c.Assert(ok, qt.IsTrue)
			wg.Go(func() { ends[i], _ = transfer(t.Context(), clock, tr, 90_000) })
		}

		wg.Wait()
		c.Check(ends[0] < ends[1] && ends[1] < ends[2], qt.IsTrue, qt.Commentf("%v", ends))
		c.Check(ends[0] < 110, qt.IsTrue, qt.Commentf("%v", ends))
	})
}

// Guards against a caller that leaves and keeps its part of the link.
func TestLeftTransferFreesTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)

		first, _, _ := link.Book(clock.Now() + 10_000)
		second, _, _ := link.Book(clock.Now() + 10_000)
		first.Resize(10 << 20)

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)

		go func() {
			for {
				if err := first.Take(ctx, pace.ChunkBytes); err != nil {
					first.Close(false)
					done <- err

					return
				}
			}
		}()

		clock.Sleep(t.Context(), 100)
		cancel()
		c.Assert(<-done, qt.ErrorIs, context.Canceled)
		c.Check(link.Wait() < 100, qt.IsTrue, qt.Commentf("%v", link.Wait()))

		end, err := transfer(t.Context(), clock, second, 90_000)
		c.Assert(err, qt.IsNil)
		c.Check(end < 250, qt.IsTrue, qt.Commentf("%v", end))
	})
}

// Guards against a link without a known rate that holds anything back.
func TestUnboundedLink(t *testing.T) {
	c := qt.New(t)
	link := pace.New(spar.RuntimeClock(), 0)

	for range 100 {
		tr, _, ok := link.Book(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(tr.Take(t.Context(), 1<<30), qt.IsNil)
	}

	c.Assert(link.Wait(), qt.Equals, spar.Millis(0))
}
