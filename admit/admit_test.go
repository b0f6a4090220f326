package admit_test

import (
	"context"
	"flag"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// eventKinds records the kinds of events.
type eventKinds struct {
	mu    sync.Mutex
	kinds []spar.EventKind
}

func (r *eventKinds) Record(e spar.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.kinds = append(r.kinds, e.Kind)
}

func readCall(key string, deadline spar.Millis) spar.Call {
	return spar.Call{
		Service: spar.Service{Name: "s", Mode: spar.ModeKeyed}, Method: http.MethodGet, Key: key, Deadline: deadline,
	}
}

// TestPermitsAreBoundedAndReturned guards against more calls in flight than the limit, and against permits
// and places in the queue that are lost when a call is canceled or its deadline passes at the moment of the
// grant. All times are whole milliseconds so that these moments coincide.
func TestPermitsAreBoundedAndReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := spar.RuntimeClock()

		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			l := admit.NewAdaptive(clock, admit.Settings{StartLimit: 2, Warmup: 1e9, SlowRatio: 3, MaxQueue: 8}, &eventKinds{})
			l.Reset(spar.Capacity{Slots: 4, Conns: rapid.IntRange(1, 4).Draw(t, "conns")})

			limit := l.Load().Limit

			var (
				wg             sync.WaitGroup
				mu             sync.Mutex
				inFlight, peak int
			)

			count := func(n int) {
				mu.Lock()
				defer mu.Unlock()

				inFlight += n
				peak = max(peak, inFlight)
			}
			ms := rapid.IntRange(1, 6)

			for range rapid.IntRange(1, 60).Draw(t, "calls") {
				work := spar.Millis(ms.Draw(t, "work"))
				c := readCall(strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "key")), clock.Now()+spar.Millis(ms.Draw(t, "deadline")))
				cancelAt := time.Duration(ms.Draw(t, "cancel")) * time.Millisecond
				ok := rapid.IntRange(0, 4).Draw(t, "ok") > 0

				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), cancelAt)
					defer cancel()

					if done, reason := l.Acquire(ctx, c); reason == spar.ReasonNone {
						count(1)
						clock.Sleep(context.Background(), work)
						count(-1)
						done(work, ok)
					}
				})
				time.Sleep(time.Duration(rapid.IntRange(0, 2).Draw(t, "pause")) * time.Millisecond)
			}

			wg.Wait()

			if load := l.Load(); peak > limit || load != (spar.Load{Limit: limit}) {
				t.Fatalf("%d in flight at a limit of %d, load at the end %+v", peak, limit, load)
			}
		})
	})
}

// TestLimitStaysInRange guards against a limit of zero or above the number of slots or connections, whatever
// the results of the calls are.
func TestLimitStaysInRange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := spar.RuntimeClock()

		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			maxLimit := rapid.IntRange(1, 12).Draw(t, "most")
			l := admit.NewAdaptive(clock, admit.Settings{StartLimit: 2, Warmup: 50, SlowRatio: 3, MaxQueue: 8}, &eventKinds{})
			l.Reset(spar.Capacity{Slots: 12, Conns: maxLimit})

			for range rapid.IntRange(1, 300).Draw(t, "calls") {
				done, _ := l.Acquire(context.Background(), readCall("k", clock.Now()+1000))
				took := time.Duration(rapid.SampledFrom([]int{1, 1, 1, 10}).Draw(t, "took")) * time.Millisecond
				time.Sleep(took)
				done(spar.MillisOf(took), rapid.IntRange(0, 9).Draw(t, "ok") > 0)

				if limit := l.Load().Limit; limit < 1 || limit > maxLimit {
					t.Fatalf("limit is %d, want 1 to %d", limit, maxLimit)
				}
			}
		})
	})
}

// TestQueueIsFair guards against a key that waits while another one is served twice, and against a wrong
// position of a new item, by which calls are refused.
func TestQueueIsFair(t *testing.T) {
	const keys = 5

	rapid.Check(t, func(t *rapid.T) {
		q := admit.NewQueue[int, int]()

		var (
			items [keys][]int
			// servedSince[k][other] counts how often another key was served since key k was served last, or began
			// to wait.
			servedSince [keys][keys]int
		)

		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			key := rapid.IntRange(0, keys-1).Draw(t, "key")

			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step < 3:
				if len(items[key]) == 0 {
					servedSince[key] = [keys]int{}
				}

				q.Push(key, i*keys+key)
				items[key] = append(items[key], i*keys+key)
			case step == 3 && len(items[key]) > 0:
				index := rapid.IntRange(0, len(items[key])-1).Draw(t, "gone")
				if !q.Remove(key, items[key][index]) {
					t.Fatalf("item of key %d is missing from the queue", key)
				}

				items[key] = slices.Delete(items[key], index, index+1)
			default:
				item, ok := q.Pop()
				if !ok {
					continue
				}

				served := item % keys
				if items[served][0] != item {
					t.Fatalf("item %d is not the first of its key", item)
				}

				items[served] = items[served][1:]
				servedSince[served] = [keys]int{}

				for k, waiting := range items {
					servedSince[k][served]++
					if k != served && len(waiting) > 0 && servedSince[k][served] > 1 {
						t.Fatalf("key %d was served twice while key %d waited", served, k)
					}
				}
			}
		}

		key := rapid.IntRange(0, keys).Draw(t, "last")
		ahead := q.Ahead(key)
		q.Push(key, -1)

		for n := 0; ; n++ {
			if item, _ := q.Pop(); item == -1 {
				if n != ahead {
					t.Fatalf("%d items were popped before the new one, not %d", n, ahead)
				}

				return
			}
		}
	})
}

// TestShedding guards against calls that are refused although they could meet their deadline, and against a
// key with many calls that fills the queue.
func TestShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		clock := spar.RuntimeClock()
		events := &eventKinds{}
		l := admit.NewAdaptive(clock, admit.Settings{StartLimit: 1, Warmup: 1e9, SlowRatio: 3, MaxQueue: 3}, events)
		l.Reset(spar.Capacity{Slots: 1, Conns: 1})

		serve := func(key string, deadline spar.Millis) spar.Reason {
			done, reason := l.Acquire(context.Background(), readCall(key, clock.Now()+deadline))
			if reason == spar.ReasonNone {
				clock.Sleep(context.Background(), 100)
				done(100, true)
			}

			return reason
		}
		c.Check(serve("a", 1000), qt.Equals, spar.ReasonNone)

		var (
			wg      sync.WaitGroup
			reasons [7]spar.Reason
		)

		for i, call := range []struct {
			key      string
			deadline spar.Millis
		}{{"hot", 1000}, {"hot", 1000}, {"hot", 1000}, {"hot", 1000}, {"hot", 1000}, {"b", 1000}, {"c", 150}} {
			wg.Go(func() { reasons[i] = serve(call.key, call.deadline) })
			time.Sleep(time.Millisecond)
		}

		wg.Wait()
		c.Check(reasons, qt.Equals, [7]spar.Reason{
			// The first call runs and three wait. The newest of them is evicted for the call of key b, and key
			// c can't meet its deadline.
			"", "", "", spar.ReasonShed, spar.ReasonShed, "", spar.ReasonShed,
		})
		c.Check(events.kinds, qt.DeepEquals, []spar.EventKind{spar.EventLimit, spar.EventShed})
	})
}
