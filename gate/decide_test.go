package gate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/internal/prop"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/rules"
)

// TestMain sets rapid's seed and number of checks.
func TestMain(m *testing.M) {
	prop.Main(m, 1, 200, 0)
}

// manualClock is a clock that a test moves.
type manualClock struct{ now spar.Millis }

func (m *manualClock) clock() spar.Clock {
	return spar.NewClock(func() spar.Millis { return m.now }, nil)
}

// Guards against a cold backend server getting more requests in any second than it can handle, for any
// arrival pattern, including requests from before it became cold.
func TestRateLimiterBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			limiter gate.RateLimiter
			sent    []spar.Millis
			now     spar.Millis
		)

		limit := rapid.IntRange(1, 12).Draw(t, "most")
		before := rapid.IntRange(0, limit).Draw(t, "before")

		for range before {
			now += spar.Millis(rapid.IntRange(0, 50).Draw(t, "gap"))
			limiter.Record(now)
			sent = append(sent, now)
		}

		for range 60 {
			now += spar.Millis(rapid.IntRange(0, 120).Draw(t, "gap"))

			wait, ok := limiter.Take(now, limit)
			if ok {
				sent = append(sent, now)
			} else if wait <= 0 {
				t.Fatalf("refused at %v with a wait of %v", now, wait)
			}
		}

		for i := range sent {
			if j := i + limit; j < len(sent) && sent[j]-sent[i] < 1000 {
				t.Fatalf("%d requests between %v and %v", limit+1, sent[i], sent[j])
			}
		}
	})
}

// Guards against a process that restarts beside a cold backend server and hands out the rate of that second again.
func TestRateLimiterBoundsWindowAcrossRestart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		restart := spar.Millis(rapid.IntRange(0, 2000).Draw(t, "restart"))

		var (
			earlier gate.RateLimiter
			sent    []spar.Millis
		)

		later := gate.NewRateLimiter(restart)

		for now := spar.Millis(0); now < 4000; now += 10 {
			limiter := &earlier
			if now >= restart {
				limiter = later
			}

			if wait, ok := limiter.Take(now, limit); ok {
				sent = append(sent, now)
			} else if wait <= 0 {
				t.Fatalf("refused at %v with a wait of %v", now, wait)
			}
		}

		for i := range sent {
			if j := i + limit; j < len(sent) && sent[j]-sent[i] < 1000 {
				t.Fatalf("%d requests between %v and %v, restart at %v", limit+1, sent[i], sent[j], restart)
			}
		}

		if len(sent) < limit {
			t.Fatalf("only %d requests", len(sent))
		}
	})
}

func admitted(w *gate.Waiter) bool {
	select {
	case <-w.Admitted():
		return true
	default:
		return false
	}
}

// Guards against more running requests than slots, since a backend server never answers some of the requests
// beyond its slots.
func TestQueueNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &manualClock{}
		q := gate.NewQueue(m.clock())
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		q.Resize(slots)

		var in []*gate.Waiter

		for range 80 {
			if len(in) > 0 && rapid.Bool().Draw(t, "leave") {
				i := rapid.IntRange(0, len(in)-1).Draw(t, "who")
				q.Release(in[i])
				in = append(in[:i], in[i+1:]...)
			} else {
				w := &gate.Waiter{Priority: rapid.IntRange(0, 2).Draw(t, "rank"), Objective: 9000, Deadline: 9000}
				if ok, _ := q.Enter(w); ok {
					in = append(in, w)
				}
			}

			running := 0
			for _, w := range in {
				if admitted(w) {
					running++
				}
			}

			if l := q.Load(); running > slots || l.Running != running || l.Running+l.Waiting != len(in) {
				t.Fatalf("%d running on %d slots, %d entered; the queue reports %+v", running, slots, len(in), l)
			}

			if l := q.Load(); l.Waiting > 0 && l.Running < slots {
				t.Fatalf("a slot is free while %d requests wait", l.Waiting)
			}
		}
	})
}

// Guards against a call that running work depends on waiting behind new requests of a lower priority.
func TestQueuePrefersHigherPriority(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{}
	q := gate.NewQueue(m.clock())

	enter := func(priority int) *gate.Waiter {
		w := &gate.Waiter{Priority: priority, Objective: 9000, Deadline: 9000}
		ok, _ := q.Enter(w)
		c.Assert(ok, qt.IsTrue)

		return w
	}

	first, low, high, low2 := enter(2), enter(2), enter(0), enter(2)

	for _, next := range []*gate.Waiter{high, low, low2} {
		c.Check(admitted(next), qt.IsFalse)
		q.Release(first)
		c.Assert(admitted(next), qt.IsTrue)

		first = next
	}
}

// Guards against a burst making all requests late: requests that can't meet their objective must be refused on
// arrival, with a time to retry. Also guards against refusing calls that running work depends on, which are
// useful until their deadline.
func TestQueueRefusesRequestsThatWouldBeLate(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{}

	// With one slot and 50 ms per request, 6 requests fit into 300 ms and 20 into 1 s.
	for priority, want := range []int{20, 6, 6} {
		q := gate.NewQueue(m.clock())
		admitted := 0

		for range 50 {
			w := &gate.Waiter{Priority: priority, Objective: 300, Deadline: 1000}

			ok, after := q.Enter(w)
			if ok {
				admitted++
			} else {
				c.Assert(after > 0, qt.IsTrue)
			}
		}

		c.Assert(admitted, qt.Equals, want)
	}
}

// Guards against a pipelined request that waits for a slot until its objective, so that the responses to all requests
// behind it are late. A pipelined request comes from a client, so the highest priority doesn't make it a call either.
func TestPipelinedRequestsWaitForLess(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{}

	// With one slot and 50 ms per request, 3 requests fit into three fifths of 300 ms.
	for priority := range 3 {
		q := gate.NewQueue(m.clock())
		admitted := 0

		for range 50 {
			w := &gate.Waiter{Priority: priority, Objective: 300, Deadline: 1000, Pipelined: true}

			ok, after := q.Enter(w)
			if ok {
				admitted++
			} else {
				c.Assert(after > 0, qt.IsTrue)
			}
		}

		c.Check(admitted, qt.Equals, 3)
	}
}

// Guards against the measured rate staying too low in the first seconds after the first request.
func TestKeyLoadRateSoonAfterFirstRequest(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{now: 70_000}
	l := gate.NewKeyLoad(m.clock())
	m.now += 9000

	for range 70 {
		m.now += 10
		l.Record(100)
	}

	got := l.Rate(keymap.Span{From: 0, To: keymap.Keys - 1})
	c.Check(got > 90 && got < 110, qt.IsTrue, qt.Commentf("%v, want 100", got))
}

// Guards against measured rates that deviate from the real ones, since the placement of keys depends on them.
func TestKeyLoadRates(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{}
	l := gate.NewKeyLoad(m.clock())

	for range 30_000 {
		m.now += 10
		l.Record(100)

		if int(m.now)%20 == 0 {
			l.Record(200)
		}
	}

	near := func(span keymap.Span, want float64) {
		got := l.Rate(span)
		c.Check(got > 0.95*want && got < 1.05*want, qt.IsTrue, qt.Commentf("%v: %v, want %v", span, got, want))
	}
	near(keymap.Span{From: 0, To: 150}, 100)
	near(keymap.Span{From: 0, To: keymap.Keys - 1}, 150)

	part, rate := l.Cut(keymap.Span{From: 0, To: keymap.Keys - 1}, 120)
	c.Check(part, qt.Equals, keymap.Span{From: 0, To: 199})
	c.Check(rate > 95 && rate < 105, qt.IsTrue)
}

// Guards against short calls being refused because of the service time of long downloads on the same server:
// with 9 slots and downloads of 300 ms, a call of 30 ms can be served within 200 ms.
func TestQueueMeasuresServiceTimeByPriority(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{}
	q := gate.NewQueue(m.clock())
	q.Resize(9)

	for range 200 {
		q.Observe(gate.Class{Priority: 2}, 300)
		q.Observe(gate.Class{Priority: 0}, 30)
	}

	for range 9 {
		_, _ = q.Enter(&gate.Waiter{Priority: 2, Objective: 800, Deadline: 5000})
	}

	ok, _ := q.Enter(&gate.Waiter{Priority: 0, Objective: 150, Deadline: 150})
	c.Check(ok, qt.IsTrue)

	ok, _ = q.Enter(&gate.Waiter{Priority: 2, Objective: 250, Deadline: 5000})
	c.Check(ok, qt.IsFalse)
}

// Guards against a call that running work depends on being shed behind longer work of the same priority.
func TestQueueAdmitsShortCallBeforeLongerWork(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{}
	q := gate.NewQueue(m.clock())
	q.Resize(9)

	for range 200 {
		q.Observe(gate.Class{Priority: 1, Kind: rules.Unsafe}, 200)
		q.Observe(gate.Class{Priority: 1, Kind: rules.Safe}, 40)
	}

	longer := make([]*gate.Waiter, 0, 15)

	for range cap(longer) {
		w := &gate.Waiter{Priority: 1, Kind: rules.Unsafe, Objective: 800, Deadline: 2500}
		ok, _ := q.Enter(w)
		c.Assert(ok, qt.IsTrue)

		longer = append(longer, w)
	}

	call := &gate.Waiter{Priority: 1, Kind: rules.Safe, Objective: 150, Deadline: 450}
	ok, _ := q.Enter(call)
	c.Assert(ok, qt.IsTrue)

	q.Release(longer[0])
	c.Check(admitted(call), qt.IsTrue)
}

// Guards against a call being refused at once because its objective passed before it reached its second server,
// and against late requests delaying timely ones or waiting too long.
func TestLateRequestsWaitBrieflyBehindOthers(t *testing.T) {
	c := qt.New(t)
	m := &manualClock{now: 1000}
	q := gate.NewQueue(m.clock())
	q.Resize(2)

	enter := func(objective spar.Millis) (*gate.Waiter, bool) {
		w := &gate.Waiter{Priority: 1, Objective: objective, Deadline: 1500}
		ok, _ := q.Enter(w)

		return w, ok
	}

	first, _ := enter(1400)
	second, _ := enter(1400)
	late, ok := enter(900)
	c.Assert(ok, qt.IsTrue)

	inTime, ok := enter(1400)
	c.Assert(ok, qt.IsTrue)

	q.Release(first)
	c.Check(admitted(inTime), qt.IsTrue)
	c.Check(admitted(late), qt.IsFalse)
	q.Release(second)
	c.Check(admitted(late), qt.IsTrue)

	for range 20 {
		_, ok = enter(900)
	}

	c.Check(ok, qt.IsFalse)
}
