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

// The simulated load: requests from several entry nodes to a few backend servers of unequal speed.
const (
	entries = 12
	slots   = 9
	// work is the mean service time of a server with slowness 1.
	work spar.Millis = 60
	// loadInterval is the time between two load reports to all nodes. Responses report loads as well.
	loadInterval spar.Millis = 1000
	// simulated is the simulated time.
	simulated spar.Millis = 20_000
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

// event is the completion of a job.
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

// simulation applies the load to one way of choosing servers.
type simulation struct {
	now       spar.Millis
	rand      *rand.Rand
	servers   []*server
	trackers  []*entry.Tracker
	views     [][]entry.Candidate
	ends      events
	latencies []spar.Millis
	failed    int
}

func newSimulation(slowness, fails []float64) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(1, 2))}
	for i, s := range slowness {
		w.servers = append(w.servers, &server{slowness: s, fails: fails[i], service: work * spar.Millis(s)})
	}

	for e := range entries {
		w.trackers = append(w.trackers, entry.NewTracker())

		view := make([]entry.Candidate, 0, len(w.servers))
		for i := range w.servers {
			view = append(view, entry.Candidate{Node: fmt.Sprint("n", i), SameZone: (e+i)%3 == 0})
		}

		w.views = append(w.views, view)
	}

	return w
}

func (w *simulation) load(i int) gate.Load {
	s := w.servers[i]

	return gate.Load{Slots: slots, Running: s.running, Waiting: len(s.waiting), Service: s.service}
}

func (w *simulation) run(perSecond float64, choose func(w *simulation, e int) int) {
	next, lastPublish := spar.Millis(0), spar.Millis(0)

	for w.now < simulated {
		if len(w.ends) > 0 && w.ends[0].at <= next {
			end := heap.Pop(&w.ends).(event)
			w.now = end.at
			w.finish(end.job)

			continue
		}

		w.now = next
		next += spar.Millis(w.rand.ExpFloat64() * 1000 / perSecond)

		if w.now-lastPublish >= loadInterval {
			lastPublish = w.now
			w.publishLoads()
		}

		e := w.rand.IntN(entries)
		i := choose(w, e)
		w.trackers[e].Begin(w.views[e][i].Node)
		w.begin(job{from: e, start: w.now, server: i, failed: w.rand.Float64() < w.servers[i].fails})
	}
}

func (w *simulation) publishLoads() {
	for e := range w.views {
		for i := range w.views[e] {
			w.views[e][i].Load = w.load(i)
		}
	}
}

func (w *simulation) begin(j job) {
	s := w.servers[j.server]
	if s.running == slots {
		s.waiting = append(s.waiting, j)

		return
	}

	s.running++
	heap.Push(&w.ends, event{w.now + work*spar.Millis(s.slowness*(0.5+w.rand.Float64())), j})
}

func (w *simulation) finish(j job) {
	s := w.servers[j.server]
	s.running--
	s.served++

	if len(s.waiting) > 0 {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		w.begin(first)
	}

	w.latencies = append(w.latencies, w.now-j.start)
	w.trackers[j.from].End(w.views[j.from][j.server].Node, j.failed)
	w.views[j.from][j.server].Load = w.load(j.server)

	if j.failed {
		w.failed++
	}
}

// p99 returns the 99th percentile of the latencies.
func (w *simulation) p99() spar.Millis {
	slices.Sort(w.latencies)

	return w.latencies[len(w.latencies)*99/100]
}

func byTracker(w *simulation, e int) int {
	c, _ := w.trackers[e].Best(w.views[e], rules.Safe, nil, w.now)

	var i int

	_, _ = fmt.Sscanf(c.Node, "n%d", &i)

	return i
}

// roundRobin returns the baseline choice.
func roundRobin() func(w *simulation, e int) int {
	calls := make([]int, entries)

	return func(w *simulation, e int) int {
		calls[e]++

		return (calls[e] + e) % len(w.servers)
	}
}

// Guards against slow servers getting an even share of the requests, which then queue there. The load is
// steady and near capacity, servers differ in speed, and nodes learn the loads late.
func TestBestAvoidsSlowServers(t *testing.T) {
	c := qt.New(t)
	slowness, fails := []float64{0.6, 0.6, 1, 1, 1.6, 1.6}, make([]float64, 6)

	chosen, base := newSimulation(slowness, fails), newSimulation(slowness, fails)
	chosen.run(700, byTracker)
	base.run(700, roundRobin())

	t.Logf("p99 %v, round robin %v", chosen.p99(), base.p99())
	c.Check(chosen.p99() < base.p99()/2, qt.IsTrue, qt.Commentf("%v and %v", chosen.p99(), base.p99()))
}

// Guards against an even share of the requests for a server that fails part of them while its health check
// passes: by failing quickly it seems to be the fastest.
func TestBestAvoidsFailingServers(t *testing.T) {
	c := qt.New(t)
	slowness, fails := []float64{1, 1, 1, 1, 1, 0.2}, []float64{0, 0, 0, 0, 0, 0.45}

	chosen, base := newSimulation(slowness, fails), newSimulation(slowness, fails)
	chosen.run(500, byTracker)
	base.run(500, roundRobin())

	t.Logf("failed %d, round robin %d", chosen.failed, base.failed)
	c.Check(chosen.failed < base.failed/2, qt.IsTrue, qt.Commentf("%d and %d", chosen.failed, base.failed))
}

// Guards against retries beyond a fifth of the requests plus the initial retries of each node while every
// request fails.
func TestRetryBudgetBoundsRetryStorm(t *testing.T) {
	const (
		nodes        = 440
		perNode      = 100
		maxRatio     = 0.2
		slackPerNode = 4
	)

	retries := 0

	for range nodes {
		b := entry.NewRetryBudget()

		for range perNode {
			b.Earn("cards")

			if b.Spend("cards") {
				retries++
			}
		}
	}

	qt.Assert(t, retries <= nodes*(perNode*maxRatio+slackPerNode), qt.IsTrue, qt.Commentf("%d retries", retries))
	qt.Assert(t, retries >= nodes*perNode/20, qt.IsTrue, qt.Commentf("%d retries", retries))
}
