package entry_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

// The replayed load: requests from several entry nodes to a few backend servers of unequal speed.
const (
	entries = 12
	slots   = 9
	// work is the mean time of a request at a server of usual speed.
	work spar.Millis = 60
	// tellEvery is the pause after which a node hears a load that no answer told it.
	tellEvery spar.Millis = 1000
	length    spar.Millis = 20_000
)

// server is a backend server with its queue.
type server struct {
	slowness float64
	fails    float64
	running  int
	waiting  []job
	served   int
	service  spar.Millis
}

type job struct {
	from   int
	start  spar.Millis
	server int
	failed bool
}

// event is the end of a job at a time.
type event struct {
	at spar.Millis
	job
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]

	return last
}

// world replays load against one way to choose.
type world struct {
	now      spar.Millis
	rand     *rand.Rand
	servers  []*server
	trackers []*entry.Tracker
	views    [][]entry.Candidate
	ends     events
	took     []spar.Millis
	failed   int
}

func newWorld(slowness, fails []float64) *world {
	w := &world{rand: rand.New(rand.NewPCG(1, 2))}
	for i, s := range slowness {
		w.servers = append(w.servers, &server{slowness: s, fails: fails[i], service: work * spar.Millis(s)})
	}

	for e := range entries {
		w.trackers = append(w.trackers, entry.NewTracker())

		view := make([]entry.Candidate, 0, len(w.servers))
		for i := range w.servers {
			view = append(view, entry.Candidate{Node: fmt.Sprint("n", i), Near: (e+i)%3 == 0})
		}

		w.views = append(w.views, view)
	}

	return w
}

func (w *world) load(i int) gate.Load {
	s := w.servers[i]

	return gate.Load{Slots: slots, Running: s.running, Waiting: len(s.waiting), Service: s.service}
}

func (w *world) run(perSecond float64, choose func(w *world, e int) int) {
	next, told := spar.Millis(0), spar.Millis(0)

	for w.now < length {
		if len(w.ends) > 0 && w.ends[0].at <= next {
			end := heap.Pop(&w.ends).(event)
			w.now = end.at
			w.finish(end.job)

			continue
		}

		w.now = next
		next += spar.Millis(w.rand.ExpFloat64() * 1000 / perSecond)

		if w.now-told >= tellEvery {
			told = w.now
			w.tell()
		}

		e := w.rand.IntN(entries)
		i := choose(w, e)
		w.trackers[e].Begin(w.views[e][i].Node)
		w.begin(job{from: e, start: w.now, server: i, failed: w.rand.Float64() < w.servers[i].fails})
	}
}

func (w *world) tell() {
	for e := range w.views {
		for i := range w.views[e] {
			w.views[e][i].Load = w.load(i)
		}
	}
}

func (w *world) begin(j job) {
	s := w.servers[j.server]
	if s.running == slots {
		s.waiting = append(s.waiting, j)

		return
	}

	s.running++
	heap.Push(&w.ends, event{w.now + work*spar.Millis(s.slowness*(0.5+w.rand.Float64())), j})
}

func (w *world) finish(j job) {
	s := w.servers[j.server]
	s.running--
	s.served++

	if len(s.waiting) > 0 {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.begin(first)
	}

	w.took = append(w.took, w.now-j.start)
	w.trackers[j.from].End(w.views[j.from][j.server].Node, j.failed)
	w.views[j.from][j.server].Load = w.load(j.server)

	if j.failed {
		w.failed++
	}
}

// p99 is the time within which 99 in 100 requests were answered.
func (w *world) p99() spar.Millis {
	slices.Sort(w.took)

	return w.took[len(w.took)*99/100]
}

func byTracker(w *world, e int) int {
	c, _ := w.trackers[e].Best(w.views[e], rules.Safe, nil, w.now)

	var i int

	_, _ = fmt.Sscanf(c.Node, "n%d", &i)

	return i
}

// roundRobin is the baseline.
func roundRobin() func(w *world, e int) int {
	turn := make([]int, entries)

	return func(w *world, e int) int {
		turn[e]++

		return (turn[e] + e) % len(w.servers)
	}
}

// Replays steady load near the limit of servers of unequal speed, whose loads nodes know late. Guards
// against the slow ones getting an even share, so that their requests wait.
func TestChoiceSparesSlowServers(t *testing.T) {
	c := qt.New(t)
	slowness, fails := []float64{0.6, 0.6, 1, 1, 1.6, 1.6}, make([]float64, 6)

	chosen, base := newWorld(slowness, fails), newWorld(slowness, fails)
	chosen.run(700, byTracker)
	base.run(700, roundRobin())

	t.Logf("p99 %v, round robin %v", chosen.p99(), base.p99())
	c.Check(chosen.p99() < base.p99()/2, qt.IsTrue, qt.Commentf("%v and %v", chosen.p99(), base.p99()))
}

// Replays a server that fails part of its requests although its health check is good. Guards against it
// getting an even share, which it may attract by failing quickly.
func TestChoiceSparesFailingServers(t *testing.T) {
	c := qt.New(t)
	slowness, fails := []float64{1, 1, 1, 1, 1, 0.2}, []float64{0, 0, 0, 0, 0, 0.45}

	chosen, base := newWorld(slowness, fails), newWorld(slowness, fails)
	chosen.run(500, byTracker)
	base.run(500, roundRobin())

	t.Logf("failed %d, round robin %d", chosen.failed, base.failed)
	c.Check(chosen.failed < base.failed/2, qt.IsTrue, qt.Commentf("%d and %d", chosen.failed, base.failed))
}

// Replays a storm in which every request fails. Guards against repeats beyond a fifth of the requests and
// the slack that the fleet shares.
func TestBudgetBoundsRetryStorm(t *testing.T) {
	const (
		nodes     = 440
		perNode   = 100
		most      = 0.2
		slackEach = 4
	)

	repeats := 0

	for range nodes {
		b := entry.NewBudget()

		for range perNode {
			b.Earn("cards")

			if b.Spend("cards") {
				repeats++
			}
		}
	}

	qt.Assert(t, repeats <= nodes*(perNode*most+slackEach), qt.IsTrue, qt.Commentf("%d repeats", repeats))
	qt.Assert(t, repeats >= nodes*perNode/20, qt.IsTrue, qt.Commentf("%d repeats", repeats))
}
