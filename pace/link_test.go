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

// rate is the rate of a link of 10 Mbit/s, in bytes per millisecond.
const rate = 1250

// transfer writes a response in chunks and returns the time at which its last byte was written.
func transfer(ctx context.Context, clock spar.Clock, t *pace.Transfer, bytes int) (spar.Millis, error) {
	t.Resize(int64(bytes))
	defer t.Close(true)

	for bytes > 0 {
		n := min(bytes, pace.ChunkBytes)
		if err := t.Acquire(ctx, n); err != nil {
			return 0, err
		}

		bytes -= n
	}

	return clock.Now(), nil
}

// Guards against an overloaded link accepting all downloads, which then all arrive late. Accepted ones must
// arrive by their objective, the others must be refused at once with a time to retry, and the link must stay
// utilized.
func TestOverloadedLinkRefusesTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			bytes     = 90_000
			interval  = 40
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

			tr, after, ok := link.Reserve(due)
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

			clock.Sleep(t.Context(), interval)
		}

		wg.Wait()
		c.Check(inTime, qt.Equals, served)

		// At the usable rate, the link carries one response in 85 ms.
		c.Check(served >= requests*interval/90, qt.IsTrue, qt.Commentf("served %d", served))
	})
}

// Guards against a short response waiting behind entire downloads: long responses must not be written far
// ahead of the link.
func TestShortResponsesWaitBriefly(t *testing.T) {
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
			tr, _, ok := link.Reserve(start + 10_000)
			c.Assert(ok, qt.IsTrue)
			wg.Go(func() {
				defer tr.Close(true)

				for range 10 {
					if tr.Acquire(t.Context(), pace.ChunkBytes) != nil {
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

// Guards against all responses arriving late because they share the link evenly: they must be sent in the order
// of their reservations.
func TestFirstReservedEndsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)
		ends := make([]spar.Millis, 3)

		var wg sync.WaitGroup

		for i := range ends {
			tr, _, ok := link.Reserve(clock.Now() + 10_000)
			c.Assert(ok, qt.IsTrue)
			wg.Go(func() { ends[i], _ = transfer(t.Context(), clock, tr, 90_000) })
		}

		wg.Wait()
		c.Check(ends[0] < ends[1] && ends[1] < ends[2], qt.IsTrue, qt.Commentf("%v", ends))
		c.Check(ends[0] < 110, qt.IsTrue, qt.Commentf("%v", ends))
	})
}

// Guards against a canceled response keeping its reservation.
func TestCanceledTransferFreesLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := spar.RuntimeClock()
		link := pace.New(clock, rate)

		first, _, _ := link.Reserve(clock.Now() + 10_000)
		second, _, _ := link.Reserve(clock.Now() + 10_000)
		first.Resize(10 << 20)

		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)

		go func() {
			for {
				if err := first.Acquire(ctx, pace.ChunkBytes); err != nil {
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

// Guards against a link without a known rate delaying or refusing anything.
func TestUnboundedLink(t *testing.T) {
	c := qt.New(t)
	link := pace.New(spar.RuntimeClock(), 0)

	for range 100 {
		tr, _, ok := link.Reserve(0)
		c.Assert(ok, qt.IsTrue)
		c.Assert(tr.Acquire(t.Context(), 1<<30), qt.IsNil)
	}

	c.Assert(link.Wait(), qt.Equals, spar.Millis(0))
}
