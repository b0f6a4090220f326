package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/retry"
)

const (
	window = 10 * time.Second
	tick   = 100 * time.Millisecond
	ratio  = 0.2
	// The entry service is called by clients, and each of its runs makes one call to the called service.
	entryService  = "entry"
	calledService = "called"
)

// fleet is a number of nodes that retry as often as their budgets allow while a storm lasts.
type fleet struct {
	rand    *rand.Rand
	now     spar.Millis
	slack   float64
	nodes   []*retry.Budget
	known   int
	storm   bool
	arrived map[string]*arrivals
}

// arrivals are the requests for a service and the arrivals beyond the first of each, in each tick.
type arrivals struct {
	requests, repeats []int
}

func newFleet(n int, slack float64) *fleet {
	f := &fleet{
		rand: rand.New(rand.NewPCG(uint64(n), 1)), slack: slack, known: n,
		arrived: map[string]*arrivals{entryService: {}, calledService: {}},
	}
	for range n {
		f.nodes = append(f.nodes, f.newNode())
	}

	return f
}

// newNode returns the budget of a process that starts now.
func (f *fleet) newNode() *retry.Budget {
	return retry.New(retry.Settings{Ratio: ratio, Slack: f.slack, Window: spar.MillisOf(window)}, retry.Deps{
		Clock: spar.NewClock(func() spar.Millis { return f.now }, nil), Nodes: func() int { return f.known },
	})
}

// run runs the fleet for a time, in which each node gets some requests a second.
func (f *fleet) run(d time.Duration, perSecond float64) {
	for range int(d / tick) {
		for _, a := range f.arrived {
			a.requests, a.repeats = append(a.requests, 0), append(a.repeats, 0)
		}

		for _, b := range f.nodes {
			if f.rand.Float64() < perSecond*tick.Seconds() {
				f.request(b, entryService, false)
			}
		}

		f.now += spar.MillisOf(tick)
	}
}

// request sends a request for a service from a node, and in a storm retries it as often as the budget allows. Each run
// of the entry service makes a call from the node beside the server, which is a repeat if the run was one.
func (f *fleet) request(b *retry.Budget, service string, repeat bool) {
	a := f.arrived[service]
	last := len(a.requests) - 1
	a.requests[last]++

	if repeat {
		a.repeats[last]++
	}

	b.Earn(service)

	for again := false; ; again = true {
		if again {
			a.repeats[last]++
		}

		if service == entryService {
			f.request(f.nodes[f.rand.IntN(len(f.nodes))], calledService, again)
		}

		if !f.storm || !b.Spend(service) {
			return
		}
	}
}

// check reports the worst window of each service, in which the arrivals beyond the first of each request are compared
// with the requests of that window, the one before, or the one half a window before, whichever has most.
func (f *fleet) check(t *testing.T) {
	t.Helper()

	const ticks = int(window / tick)

	for service, a := range f.arrived {
		sum := func(counts []int, from int) (n int) {
			for i := max(0, from); i < min(len(counts), from+ticks); i++ {
				n += counts[i]
			}

			return n
		}

		worst, allowed := 0, 0.0

		for from := range a.requests {
			requests := max(sum(a.requests, from), sum(a.requests, from-ticks), sum(a.requests, from-ticks/2))

			repeats, bound := sum(a.repeats, from), ratio*float64(requests)+f.slack
			if float64(repeats) > bound {
				t.Fatalf("%s: %d repeats in the window from %v for %d requests; %.0f are allowed", service, repeats,
					time.Duration(from)*tick, requests, bound)
			}

			if repeats > worst {
				worst, allowed = repeats, bound
			}
		}

		t.Logf("%s: at most %d repeats in a window, %.0f are allowed", service, worst, allowed)
	}
}

// sizes are fleets with the slack of their deployments.
var sizes = []struct {
	nodes int
	slack float64
}{{14, 64}, {74, 186}, {295, 630}, {440, 940}}

// Guards against retries beyond the bound of the fleet when all nodes find a service failing after a long calm: of
// nodes that each save retries up to a number of their own, of calls that repeated runs make, and of processes that
// restart or join in the storm with a new budget each.
func TestBudgetsOfFleetKeepOneBound(t *testing.T) {
	for _, size := range sizes {
		for _, perSecond := range []float64{0.3, 9} {
			t.Run(fmt.Sprintf("%d nodes, %v requests a second each", size.nodes, perSecond), func(t *testing.T) {
				f := newFleet(size.nodes, size.slack)
				f.run(60*time.Second, perSecond)

				f.storm = true
				for range 8 {
					f.run(3*time.Second, perSecond)

					for range size.nodes / 4 {
						f.nodes[f.rand.IntN(len(f.nodes))] = f.newNode()
					}
				}

				// Others learn of the nodes that join only later, and go on counting those that are lost.
				for range size.nodes / 2 {
					f.nodes = append(f.nodes, f.newNode())
				}

				f.run(5*time.Second, perSecond)
				f.known = len(f.nodes)
				f.run(20*time.Second, perSecond)
				f.nodes = f.nodes[:size.nodes/2]
				f.run(20*time.Second, perSecond)
				f.check(t)
			})
		}
	}
}

// Guards against a budget that leaves retries unused which the bound allows: a node in a storm makes two fifths of the
// ratio of its requests again, and its part of the slack beyond that.
func TestBudgetIsUsable(t *testing.T) {
	c := qt.New(t)
	f := newFleet(14, 64)
	f.run(60*time.Second, 9)
	f.storm = true
	f.run(window, 9)

	for _, b := range f.nodes {
		u := b.Use(entryService)
		c.Check(u.Retries >= int(0.08*float64(u.Requests)), qt.IsTrue, qt.Commentf("%+v", u))
		c.Check(u.Limit > 0.08*float64(u.Requests)+1.5, qt.IsTrue, qt.Commentf("%+v", u))
	}
}

// Guards against retries that are returned and still count.
func TestReturnedRetryIsAvailable(t *testing.T) {
	c := qt.New(t)
	f := newFleet(1, 4)
	b := f.nodes[0]
	c.Check(b.Available("s"), qt.IsFalse)

	f.now = spar.MillisOf(2 * window)
	c.Check(b.Spend("s"), qt.IsTrue)

	c.Check(b.Available("s"), qt.IsFalse)
	f.now += 3000
	b.Return("s")
	c.Check(b.Spend("s"), qt.IsTrue)
	c.Check(b.Spend("s"), qt.IsFalse)

	// A number of nodes that is not known gives no part of the slack.
	f.known = 0
	f.now += spar.MillisOf(3 * window)
	c.Check(b.Available("s"), qt.IsFalse)
}
