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
	sim := &simulation{rand: rand.New(rand.NewPCG(1, 2))}
	for i, s := range slowness {
		sim.servers = append(sim.servers, &server{slowness: s, fails: fails[i], service: work * spar.Millis(s)})
	}

	for e := range entries {
		sim.trackers = append(sim.trackers, entry.NewTracker())

		view := make([]entry.Candidate, 0, len(sim.servers))
		for i := range sim.servers {
			view = append(view, entry.Candidate{Node: fmt.Sprint("n", i), SameZone: (e+i)%3 == 0})
		}

		sim.views = append(sim.views, view)
	}

	return sim
}

func (sim *simulation) load(i int) gate.Load {
	s := sim.servers[i]

	return gate.Load{Slots: slots, Running: s.running, Waiting: len(s.waiting), MeanServiceTime: s.service}
}

func (sim *simulation) run(perSecond float64, choose func(sim *simulation, e int) int) {
	next, lastPublish := spar.Millis(0), spar.Millis(0)

	for sim.now < simulated {
		if len(sim.ends) > 0 && sim.ends[0].at <= next {
			end := heap.Pop(&sim.ends).(event)
			sim.now = end.at
			sim.finish(end.job)

			continue
		}

		sim.now = next
		next += spar.Millis(sim.rand.ExpFloat64() * 1000 / perSecond)

		if sim.now-lastPublish >= loadInterval {
			lastPublish = sim.now
			sim.publishLoads()
		}

		e := sim.rand.IntN(entries)
		i := choose(sim, e)
		sim.trackers[e].Begin(sim.views[e][i].Node)
		sim.begin(job{from: e, start: sim.now, server: i, failed: sim.rand.Float64() < sim.servers[i].fails})
	}
}

func (sim *simulation) publishLoads() {
	for e := range sim.views {
		for i := range sim.views[e] {
			sim.views[e][i].Load = sim.load(i)
		}
	}
}

func (sim *simulation) begin(j job) {
	s := sim.servers[j.server]
	if s.running == slots {
		s.waiting = append(s.waiting, j)

		return
	}

	s.running++
	heap.Push(&sim.ends, event{sim.now + work*spar.Millis(s.slowness*(0.5+sim.rand.Float64())), j})
}

func (sim *simulation) finish(j job) {
	s := sim.servers[j.server]
	s.running--
	s.served++

	if len(s.waiting) > 0 {
		first := s.waiting[0]
		s.waiting = s.waiting[1:]
		sim.begin(first)
	}

	sim.latencies = append(sim.latencies, sim.now-j.start)
	sim.trackers[j.from].End(sim.views[j.from][j.server].Node, j.failed)
	sim.views[j.from][j.server].Load = sim.load(j.server)

	if j.failed {
		sim.failed++
	}
}

// p99 returns the 99th percentile of the latencies.
func (sim *simulation) p99() spar.Millis {
	slices.Sort(sim.latencies)

	return sim.latencies[len(sim.latencies)*99/100]
}

func byTracker(sim *simulation, e int) int {
	c, _ := sim.trackers[e].Best(sim.views[e], rules.Safe, nil, sim.now)

	var i int

	_, _ = fmt.Sscanf(c.Node, "n%d", &i)

	return i
}

// roundRobin returns the baseline choice.
func roundRobin() func(sim *simulation, e int) int {
	calls := make([]int, entries)

	return func(sim *simulation, e int) int {
		calls[e]++

		return (calls[e] + e) % len(sim.servers)
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

// Guards against a server that never answers and still gets requests, since its state has become old. The node's own
// unanswered requests are known, whatever the age of the report.
func TestSpreadAvoidsServersThatDontAnswer(t *testing.T) {
	tracker := entry.NewTracker()
	load := gate.Load{Slots: slots, MeanServiceTime: work}

	for range 3 * slots {
		tracker.Begin("silent")
	}

	for i := range 100 {
		now := spar.Millis(1000 * (i + 1))
		got, ok := tracker.Spread([]entry.Candidate{
			{Node: "silent", SameZone: true, Load: load, LoadAt: now - 500},
			{Node: "answers", SameZone: true, Load: load, LoadAt: now - 500},
		}, rules.Safe, nil, now)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, got.Node, qt.Equals, "answers")
	}
}

// Guards against an older report that arrives with a request's list of candidates after a newer one was used, and
// makes the node forget the requests that it has sent since.
func TestSpreadKeepsSentRequestsAfterAnOlderReport(t *testing.T) {
	tracker := entry.NewTracker()
	load := gate.Load{Slots: slots, MeanServiceTime: work}
	choose := func(reported spar.Millis) string {
		got, _ := tracker.Spread([]entry.Candidate{
			{Node: "busy", SameZone: true, Load: load, LoadAt: reported},
			{Node: "idle", SameZone: true, Load: load, LoadAt: reported},
		}, rules.Safe, nil, 1010)

		return got.Node
	}

	choose(1000)

	// The requests have ended without a report, so that only the number sent shows them.
	for range slots {
		tracker.Begin("busy")
		tracker.End("busy", false)
	}

	choose(990)

	for range 100 {
		qt.Assert(t, choose(1000), qt.Equals, "idle")
	}
}
