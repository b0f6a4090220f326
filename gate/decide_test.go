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

// TestMain fixes rapid's seed and checks.
func TestMain(m *testing.M) {
	prop.Main(m, 1, 200, 0)
}

// manual is a clock that a test moves.
type manual struct{ now spar.Millis }

func (m *manual) clock() spar.Clock {
	return spar.NewClock(func() spar.Millis { return m.now }, nil)
}

// Guards against a cold backend server that gets more in some second than it bears, however requests
// come, also across the moment at which it turns cold.
func TestRateBoundsEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			rate gate.Rate
			sent []spar.Millis
			now  spar.Millis
		)

		most := rapid.IntRange(1, 12).Draw(t, "most")
		before := rapid.IntRange(0, most).Draw(t, "before")

		for range before {
			now += spar.Millis(rapid.IntRange(0, 50).Draw(t, "gap"))
			rate.Note(now)
			sent = append(sent, now)
		}

		for range 60 {
			now += spar.Millis(rapid.IntRange(0, 120).Draw(t, "gap"))

			wait, ok := rate.Take(now, most)
			if ok {
				sent = append(sent, now)
			} else if wait <= 0 {
				t.Fatalf("refused at %v with a wait of %v", now, wait)
			}
		}

		for i := range sent {
			if j := i + most; j < len(sent) && sent[j]-sent[i] < 1000 {
				t.Fatalf("%d requests between %v and %v", most+1, sent[i], sent[j])
			}
		}
	})
}

func turn(e *gate.Entrant) bool {
	select {
	case <-e.Turn():
		return true
	default:
		return false
	}
}

// Guards against more requests at a backend server than it has slots: beyond them some never answer.
func TestQueueNeverExceedsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &manual{}
		q := gate.NewQueue(m.clock())
		slots := rapid.IntRange(1, 9).Draw(t, "slots")
		q.Resize(slots)

		var in []*gate.Entrant

		for range 80 {
			if len(in) > 0 && rapid.Bool().Draw(t, "leave") {
				i := rapid.IntRange(0, len(in)-1).Draw(t, "who")
				q.Leave(in[i])
				in = append(in[:i], in[i+1:]...)
			} else {
				e := &gate.Entrant{Priority: rapid.IntRange(0, 2).Draw(t, "rank"), Objective: 9000, Deadline: 9000}
				if ok, _ := q.Enter(e); ok {
					in = append(in, e)
				}
			}

			running := 0
			for _, e := range in {
				if turn(e) {
					running++
				}
			}

			if l := q.Load(); running > slots || l.Running != running || l.Running+l.Waiting != len(in) {
				t.Fatalf("%d run of %d slots, %d in; the queue says %+v", running, slots, len(in), l)
			}

			if l := q.Load(); l.Waiting > 0 && l.Running < slots {
				t.Fatalf("a slot is free while %d wait", l.Waiting)
			}
		}
	})
}

// Guards against a call that a running request needs waiting behind new requests of a lower rank.
func TestQueuePrefersRank(t *testing.T) {
	c := qt.New(t)
	m := &manual{}
	q := gate.NewQueue(m.clock())

	enter := func(rank int) *gate.Entrant {
		e := &gate.Entrant{Priority: rank, Objective: 9000, Deadline: 9000}
		ok, _ := q.Enter(e)
		c.Assert(ok, qt.IsTrue)

		return e
	}

	first, low, high, low2 := enter(2), enter(2), enter(0), enter(2)

	for _, next := range []*gate.Entrant{high, low, low2} {
		c.Check(turn(next), qt.IsFalse)
		q.Leave(first)
		c.Assert(turn(next), qt.IsTrue)

		first = next
	}
}

// Guards against a burst that makes all requests late: those that can't meet their objective are
// refused on arrival, with the time after which there is room. Guards also against the refusal of calls
// that running work needs, which are as good late as in time.
func TestQueueRefusesWhatWouldBeLate(t *testing.T) {
	c := qt.New(t)
	m := &manual{}

	// One slot and 50 ms a request: six fit into 300 ms, and twenty into a second.
	for rank, want := range []int{20, 6, 6} {
		q := gate.NewQueue(m.clock())
		admitted := 0

		for range 50 {
			e := &gate.Entrant{Priority: rank, Objective: 300, Deadline: 1000}

			ok, after := q.Enter(e)
			if ok {
				admitted++
			} else {
				c.Assert(after > 0, qt.IsTrue)
			}
		}

		c.Assert(admitted, qt.Equals, want)
	}
}

// Guards against load that is seen only seconds after it began.
func TestKeyLoadRatesEarly(t *testing.T) {
	c := qt.New(t)
	m := &manual{now: 70_000}
	l := gate.NewKeyLoad(m.clock())
	m.now += 9000

	for range 70 {
		m.now += 10
		l.Note(100)
	}

	got := l.Rate(keymap.Span{From: 0, To: keymap.Keys - 1})
	c.Check(got > 90 && got < 110, qt.IsTrue, qt.Commentf("%v, want 100", got))
}

// Guards against measured rates that don't follow the requests, on which placement rests.
func TestKeyLoadRates(t *testing.T) {
	c := qt.New(t)
	m := &manual{}
	l := gate.NewKeyLoad(m.clock())

	for range 30_000 {
		m.now += 10
		l.Note(100)

		if int(m.now)%20 == 0 {
			l.Note(200)
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

// Replays short calls at a server whose downloads take long. Guards against calls being refused because
// of the time that downloads take: 9 slots of 300 ms leave time for calls of 30 ms within 200 ms.
func TestQueueKnowsTimesByRank(t *testing.T) {
	c := qt.New(t)
	m := &manual{}
	q := gate.NewQueue(m.clock())
	q.Resize(9)

	for range 200 {
		q.Served(gate.Class{Priority: 2}, 300)
		q.Served(gate.Class{Priority: 0}, 30)
	}

	for range 9 {
		_, _ = q.Enter(&gate.Entrant{Priority: 2, Objective: 800, Deadline: 5000})
	}

	ok, _ := q.Enter(&gate.Entrant{Priority: 0, Objective: 150, Deadline: 150})
	c.Check(ok, qt.IsTrue)

	ok, _ = q.Enter(&gate.Entrant{Priority: 2, Objective: 250, Deadline: 5000})
	c.Check(ok, qt.IsFalse)
}

// Guards against a call that running work needs being shed behind longer work of its own rank.
func TestCallsShedBehindLongerWork(t *testing.T) {
	c := qt.New(t)
	m := &manual{}
	q := gate.NewQueue(m.clock())
	q.Resize(9)

	for range 200 {
		q.Served(gate.Class{Priority: 1, Kind: rules.Unsafe}, 200)
		q.Served(gate.Class{Priority: 1, Kind: rules.Safe}, 40)
	}

	orders := make([]*gate.Entrant, 0, 15)

	for range cap(orders) {
		e := &gate.Entrant{Priority: 1, Kind: rules.Unsafe, Objective: 800, Deadline: 2500}
		ok, _ := q.Enter(e)
		c.Assert(ok, qt.IsTrue)

		orders = append(orders, e)
	}

	call := &gate.Entrant{Priority: 1, Kind: rules.Safe, Objective: 150, Deadline: 450}
	ok, _ := q.Enter(call)
	c.Assert(ok, qt.IsTrue)

	q.Leave(orders[0])
	c.Check(turn(call), qt.IsTrue)
}

// Guards against a call that comes to its second server after its objective being refused at once, and
// against late requests that take slots from those in time or wait in vain.
func TestLateRequestsWaitBrieflyBehindOthers(t *testing.T) {
	c := qt.New(t)
	m := &manual{now: 1000}
	q := gate.NewQueue(m.clock())
	q.Resize(2)

	enter := func(objective spar.Millis) (*gate.Entrant, bool) {
		e := &gate.Entrant{Priority: 1, Objective: objective, Deadline: 1500}
		ok, _ := q.Enter(e)

		return e, ok
	}

	first, _ := enter(1400)
	second, _ := enter(1400)
	late, ok := enter(900)
	c.Assert(ok, qt.IsTrue)

	inTime, ok := enter(1400)
	c.Assert(ok, qt.IsTrue)

	q.Leave(first)
	c.Check(turn(inTime), qt.IsTrue)
	c.Check(turn(late), qt.IsFalse)
	q.Leave(second)
	c.Check(turn(late), qt.IsTrue)

	for range 20 {
		_, ok = enter(900)
	}

	c.Check(ok, qt.IsFalse)
}
