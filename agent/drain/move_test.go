package drain_test

import (
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/plan"
)

func inZone(zone spar.Zone) func(*spard) bool {
	return func(n *spard) bool { return n.zone == zone }
}

func named(vm string) func(*spard) bool {
	return func(n *spard) bool { return n.vm == vm }
}

var small = [3]int{3, 3, 3}

// outWithin is the time within which a zone that was taken out gets no new work any more.
const outWithin = 5 * time.Second

// situation is what happens to a fleet while callers go on.
type situation struct {
	name string
	// excused matches the faults of requests that the situation cannot spare the callers.
	excused string
	// keys and pause are the callers of each service and their mean pause.
	keys  int
	pause time.Duration
	long  bool
	do    func(c *quicktest.C, w *world)
}

// Guards against requests refused, cut, run by a node that does not own the slot, run twice, or run on
// two nodes at once while slots move.
func TestTrafficWhile(t *testing.T) {
	for _, test := range append(smooth, rough...) {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := quicktest.New(t)
				w := newWorld(t, small)
				w.long = test.long

				if test.excused != "" {
					w.deadline = "1000"
				}

				stop := w.traffic(max(test.keys, 4), max(test.pause, 80*time.Millisecond))

				time.Sleep(time.Second)
				test.do(c, w)

				settled := time.Since(w.began)

				time.Sleep(time.Second)
				stop()

				failed, wrong := w.close()
				t.Logf("%d requests, %d failed, %d moves, longest wait %v", w.done, len(failed), w.store.moves, w.longest(""))

				if test.excused != "" {
					failed = slices.DeleteFunc(failed, regexp.MustCompile(test.excused).MatchString)
					c.Check(w.failedAfter(settled), quicktest.HasLen, 0)
				}

				c.Check(failed, quicktest.HasLen, 0)
				c.Check(wrong, quicktest.HasLen, 0)
			})
		})
	}
}

// smooth are the situations that callers must not notice.
var smooth = []situation{
	{name: "nothing happens", do: func(c *quicktest.C, w *world) {
		time.Sleep(3 * time.Second)
		c.Check(w.moved(), quicktest.Equals, 0)
	}},
	{name: "a zone leaves and returns", do: func(c *quicktest.C, w *world) {
		before := w.owned(inZone("a"))

		w.withdraw("a", true)
		time.Sleep(3 * time.Second)
		c.Check(w.owned(inZone("a")), quicktest.Equals, 0)
		c.Check(w.ranSince(inZone("a"), 2*time.Second), quicktest.Equals, 0)
		w.withdraw("a", false)
		time.Sleep(time.Second)

		first := w.owned(inZone("a"))
		c.Check(first > 0 && first <= before/4, quicktest.IsTrue, quicktest.Commentf("first step: %d", first))
		time.Sleep(10 * time.Second)
		c.Check(w.owned(inZone("a")) >= before-4, quicktest.IsTrue)
	}},
	{name: "backend servers are withdrawn and put back", do: func(c *quicktest.C, w *world) {
		withdrawn := func(n *spard) bool { return n.vm == "cards-1" || n.vm == "shelf-1" }

		w.decide(fleet.ServerKey("cards-1"), true)
		w.decide(fleet.ServerKey("shelf-1"), true)
		time.Sleep(3 * time.Second)
		c.Check(w.owned(withdrawn), quicktest.Equals, 0)
		c.Check(w.ranSince(withdrawn, 2*time.Second), quicktest.Equals, 0)
		w.decide(fleet.ServerKey("cards-1"), false)
		w.decide(fleet.ServerKey("shelf-1"), false)
		time.Sleep(10 * time.Second)
		c.Check(w.owned(withdrawn) >= 14, quicktest.IsTrue)
		c.Check(w.ranSince(named("shelf-1"), 2*time.Second) > 0, quicktest.IsTrue)
		c.Check(w.node("cards-1").registrations(), quicktest.Equals, 1)
	}},
	{name: "replies of the table are lost", do: func(c *quicktest.C, w *world) {
		w.store.set(func() { w.store.lose = 3 })
		w.withdraw("b", true)
		time.Sleep(3 * time.Second)
		c.Check(w.owned(inZone("b")), quicktest.Equals, 0)
		w.store.set(func() { c.Check(w.store.lose, quicktest.Equals, 0) })
	}},
	{name: "the table is out", pause: 250 * time.Millisecond, do: func(c *quicktest.C, w *world) {
		w.store.set(func() { w.store.out = true })
		time.Sleep(60 * time.Second)
		w.store.set(func() { w.store.out = false })
		time.Sleep(3 * time.Second)
		c.Check(w.moved(), quicktest.Equals, 0)
	}},
	{name: "nodes get SIGTERM", do: func(c *quicktest.C, w *world) {
		for _, vm := range []string{"cards-0", "shelf-1"} {
			w.node(vm).stop()
			<-w.node(vm).stopped
			c.Check(w.owned(named(vm)), quicktest.Equals, 0)
		}
	}},
	{name: "a node with long requests gets SIGTERM", long: true, do: func(c *quicktest.C, w *world) {
		for i := range small[0] - 1 {
			n := w.node("cards-" + string(rune('0'+i)))
			n.stop()
			<-n.stopped
			c.Check(w.owned(named(n.vm)), quicktest.Equals, 0)
		}
	}},
	{name: "backend servers leave and come back", do: func(c *quicktest.C, w *world) {
		for _, n := range []*spard{w.node("pledges-2"), w.node("shelf-2")} {
			n.announce("leaving")

			for !n.gone() {
				time.Sleep(100 * time.Millisecond)
			}

			c.Check(w.owned(named(n.vm)), quicktest.Equals, 0)
			n.crashBackend()
			time.Sleep(time.Second)
			n.startBackend()
		}

		time.Sleep(10 * time.Second)
		c.Check(w.owned(named("pledges-2")) >= 10, quicktest.IsTrue)
		c.Check(w.node("pledges-2").registrations(), quicktest.Equals, 2)
	}},
	{name: "a receiver vanishes", do: func(_ *quicktest.C, w *world) {
		w.withdraw("b", true)
		time.Sleep(2 * time.Second)
		w.withdraw("b", false)
		w.awaitMove()
		w.node("pledges-1").peer.Cut()
		w.node("cards-1").stop()
		<-w.node("cards-1").stopped
		time.Sleep(4 * time.Second)
	}},
	{name: "several planners are on duty", do: func(c *quicktest.C, w *world) {
		for range 2 {
			r := fleet.NewReplica()
			s := &scanner{world: w, replica: r}
			w.wg.Go(s.loop)

			b := plan.NewBalancer(w.view().Nodes()[0].ID, r, peers.NewPool(w.net.Dial, &peers.Traffic{}), spar.RuntimeClock())
			w.wg.Go(func() { b.Run(w.ctx) })
		}

		before := w.owned(inZone("c"))

		w.withdraw("c", true)
		time.Sleep(3 * time.Second)
		c.Check(w.owned(inZone("c")), quicktest.Equals, 0)
		w.withdraw("c", false)
		time.Sleep(10 * time.Second)
		c.Check(w.owned(inZone("c")) >= before-4, quicktest.IsTrue)
		c.Check(w.moved() <= 2*before+8, quicktest.IsTrue,
			quicktest.Commentf("%d moves of %d slots", w.moved(), before))
	}},
}

// rough are the situations in which some requests cannot be served; they must end truthfully.
var rough = []situation{
	{
		name: "the table goes out while a zone leaves", excused: "^not_run", keys: 16, pause: 400 * time.Millisecond,
		do: func(c *quicktest.C, w *world) {
			w.withdraw("a", true)
			w.awaitMove()
			w.store.set(func() { w.store.out = true })
			time.Sleep(20 * time.Second)
			c.Check(w.owned(inZone("a")) > 0, quicktest.IsTrue)
			c.Check(w.ranSince(inZone("a"), 16*time.Second), quicktest.Equals, 0)
			w.store.set(func() { w.store.out = false })
			time.Sleep(8 * time.Second)
			c.Check(w.owned(inZone("a")), quicktest.Equals, 0)
		},
	},
	{
		// A zone's slots that move one after the other must not keep it at work for longer than operators are
		// told: separate processes beside load ran 123 requests in a zone more than 5 s after it was taken out.
		name: "a zone leaves while the table is slow", excused: "^not_run", keys: 16, pause: 100 * time.Millisecond,
		do: func(c *quicktest.C, w *world) {
			w.store.set(func() { w.store.slow = time.Second })
			w.withdraw("a", true)
			time.Sleep(14 * time.Second)
			c.Check(w.ranSince(inZone("a"), 14*time.Second-outWithin), quicktest.Equals, 0)
			w.store.set(func() { w.store.slow = 0 })
			time.Sleep(8 * time.Second)
			c.Check(w.owned(inZone("a")), quicktest.Equals, 0)
		},
	},
	{
		name: "backend servers leave while the table is out", excused: "^not_run", keys: 16, pause: 400 * time.Millisecond,
		do: func(c *quicktest.C, w *world) {
			w.store.set(func() { w.store.out = true })

			for _, n := range []*spard{w.node("cards-1"), w.node("shelf-1")} {
				n.announce("leaving")
			}

			time.Sleep(5 * time.Second)

			for _, n := range []*spard{w.node("cards-1"), w.node("shelf-1")} {
				c.Check(n.gone(), quicktest.IsTrue)
				c.Check(w.ranSince(named(n.vm), time.Second), quicktest.Equals, 0)
				n.crashBackend()
			}

			time.Sleep(10 * time.Second)
			w.store.set(func() { w.store.out = false })
			time.Sleep(5 * time.Second)
			c.Check(w.owned(named("cards-1")), quicktest.Equals, 0)
		},
	},
	{
		name: "backend servers crash", excused: "^unknown", keys: 12, pause: 250 * time.Millisecond,
		do: func(c *quicktest.C, w *world) {
			for _, n := range []*spard{w.node("cards-1"), w.node("pledges-2"), w.node("shelf-0")} {
				n.crashBackend()
				time.Sleep(4 * time.Second)
				c.Check(w.owned(named(n.vm)), quicktest.Equals, 0)
				n.startBackend()
				time.Sleep(2 * time.Second)
				c.Check(n.registrations(), quicktest.Equals, 2)
			}

			c.Check(len(w.failedAfter(0)) <= 36, quicktest.IsTrue)
		},
	},
	{
		name: "an entry node has no backend server", excused: "^unknown", keys: 12, pause: 250 * time.Millisecond,
		do: func(c *quicktest.C, w *world) {
			w.node("shelf-0").crashBackend()
			time.Sleep(5 * time.Second)

			for _, out := range []bool{true, false, true} {
				w.withdraw("b", out)
				time.Sleep(4 * time.Second)
			}

			c.Check(w.owned(inZone("b")), quicktest.Equals, 0)
		},
	},
	{
		name: "a backend server hangs", excused: "^(unknown|not_run)", keys: 12, pause: 250 * time.Millisecond,
		do: func(c *quicktest.C, w *world) {
			for _, n := range []*spard{w.node("cards-1"), w.node("pledges-2")} {
				resume := n.hang()
				time.Sleep(8 * time.Second)
				c.Check(w.owned(named(n.vm)), quicktest.Equals, 0)
				resume()
				time.Sleep(2 * time.Second)
				c.Check(n.registrations(), quicktest.Equals, 2)
			}
		},
	},
}

// scanner feeds the replica of a planner that runs outside of the fleet.
type scanner struct {
	world   *world
	replica *fleet.Replica
}

func (s *scanner) loop() {
	for s.world.ctx.Err() == nil {
		rows, revision, _ := s.world.store.Memory.Scan(s.world.ctx, "", s.replica.View().Complete())
		s.replica.Merge(rows, revision)
		time.Sleep(70 * time.Millisecond)
	}
}

// moved counts the slots moved since the start.
func (w *world) moved() int {
	w.store.mu.Lock()
	defer w.store.mu.Unlock()

	return w.store.moves
}

// awaitMove waits until the next slot has moved.
func (w *world) awaitMove() {
	for before := w.moved(); w.moved() == before; {
		time.Sleep(time.Millisecond)
	}
}

// ranSince counts the requests that nodes began to run within the last while.
func (w *world) ranSince(match func(*spard) bool, while time.Duration) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	count := 0

	for _, r := range w.runs {
		if time.Since(r.start) < while && match(w.node(r.vm)) {
			count++
		}
	}

	return count
}

// longest returns the longest wait of a call for a key of a service.
func (w *world) longest(service string) time.Duration {
	most := time.Duration(0)

	for key, wait := range w.worst {
		if strings.HasPrefix(key, service) {
			most = max(most, wait)
		}
	}

	return most
}
