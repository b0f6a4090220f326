package spread_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/spread"
)

var all = flag.Bool("all", false, "replay every size and age of reports, and print the figures")

// The replayed load: many nodes send requests to the servers of one service, whose speeds differ and which are slowed
// by others on their machines for some tenths of a second at a time.
const (
	slots                   = 9
	work        spar.Millis = 60
	noiseSpan   spar.Millis = 400
	noiseShare              = 0.2
	noiseFactor             = 3
	// utilization is the offered load as a share of the capacity of all servers.
	utilization             = 0.75
	simulated   spar.Millis = 4000
	settle      spar.Millis = 500
	networkTime spar.Millis = 1
)

var speeds = [...]float64{0.6, 1, 1, 1.6}

type server struct {
	speed            float64
	slowed           bool
	running, waiting int
	mean             float64
	queue            []job
	busy             float64
}

type job struct {
	node, server int
	began, ran   spar.Millis
}

type event struct {
	at   spar.Millis
	kind int
	job  job
}

const (
	eventArrival = iota
	eventStart
	eventEnd
	eventReport
	eventNoise
)

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

// view is what one node knows of one server.
type view struct {
	load     gate.Load
	slowdown float64
	at       spar.Millis
	sent     int
	inFlight int
	usual    spar.Millis
}

// replay is one run of the load.
type replay struct {
	rnd      *rand.Rand
	now      spar.Millis
	events   events
	servers  []server
	views    [][]view
	trackers []*entry.Tracker
	interval spar.Millis
	// choose returns the server for a request of a node.
	choose func(node int) int
	// wasted is the time of slots that were idle while requests waited at other servers.
	wasted float64
	rate   float64
	late   int
	ended  int
}

func newReplay(seed uint64, nodes int, interval spar.Millis) *replay {
	r := &replay{rnd: rand.New(rand.NewPCG(seed, 1)), interval: interval}

	capacity := 0.0

	for i := range max(4, nodes/4) {
		s := server{speed: speeds[i%len(speeds)], mean: float64(work) / speeds[i%len(speeds)]}
		r.servers = append(r.servers, s)
		capacity += slots * s.speed / (float64(work) * (1 + noiseShare*(noiseFactor-1)))
	}

	r.rate = capacity * utilization

	for range nodes {
		views := make([]view, len(r.servers))
		for i := range views {
			views[i] = view{load: r.report(i), usual: spar.Millis(r.servers[i].mean)}
		}

		r.views = append(r.views, views)
		r.trackers = append(r.trackers, entry.NewTracker())
	}

	return r
}

func (r *replay) report(i int) gate.Load {
	s := &r.servers[i]

	return gate.Load{Slots: slots, Running: s.running, Waiting: s.waiting, MeanServiceTime: spar.Millis(s.mean)}
}

func (r *replay) add(after spar.Millis, kind int, j job) {
	heap.Push(&r.events, event{at: r.now + after, kind: kind, job: j})
}

// run plays the load and returns the highest utilization of a server over the mean one, the share of slot time that was
// idle while requests waited elsewhere, and the share of requests that took over four times the usual work.
func (r *replay) run() (spreadRatio, idle, late float64) {
	r.add(0, eventArrival, job{})
	r.add(0, eventNoise, job{})

	for i := range r.servers {
		r.add(spar.Millis(r.rnd.Float64())*r.interval, eventReport, job{server: i})
	}

	for r.now < simulated {
		e, _ := heap.Pop(&r.events).(event)
		r.advance(e.at)
		r.handle(e)
	}

	highest, total := 0.0, 0.0
	for i := range r.servers {
		highest = max(highest, r.servers[i].busy)
		total += r.servers[i].busy
	}

	n := float64(len(r.servers))

	return highest / (total / n), r.wasted / (n * slots * float64(simulated-settle)), float64(r.late) / float64(r.ended)
}

// advance accounts for the time until at.
func (r *replay) advance(at spar.Millis) {
	if span := float64(at - max(r.now, settle)); span > 0 {
		free, waiting := 0, 0

		for i := range r.servers {
			s := &r.servers[i]
			s.busy += span * float64(s.running)
			free += slots - s.running
			waiting += s.waiting
		}

		r.wasted += span * float64(min(free, waiting))
	}

	r.now = at
}

func (r *replay) handle(e event) {
	switch e.kind {
	case eventArrival:
		node := r.rnd.IntN(len(r.views))
		i := r.choose(node)
		r.views[node][i].sent++
		r.views[node][i].inFlight++
		r.trackers[node].Begin(fmt.Sprint(i))
		r.add(networkTime, eventStart, job{node: node, server: i, began: r.now})
		r.add(spar.Millis(r.rnd.ExpFloat64()/r.rate), eventArrival, job{})
	case eventStart:
		s := &r.servers[e.job.server]
		s.queue = append(s.queue, e.job)
		s.waiting++
		r.startWaiting(e.job.server)
	case eventEnd:
		r.end(e.job)
	case eventReport:
		for node := range r.views {
			r.learn(node, e.job.server)
		}

		r.add(r.interval, eventReport, e.job)
	case eventNoise:
		for i := range r.servers {
			r.servers[i].slowed = r.rnd.Float64() < noiseShare
		}

		r.add(noiseSpan, eventNoise, job{})
	}
}

func (r *replay) startWaiting(i int) {
	s := &r.servers[i]

	for s.running < slots && s.waiting > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.waiting--
		s.running++
		j.ran = r.now
		took := float64(work) / s.speed * (0.5 + r.rnd.ExpFloat64()/2)

		if s.slowed {
			took *= noiseFactor
		}

		r.add(spar.Millis(took), eventEnd, j)
	}
}

func (r *replay) end(j job) {
	s := &r.servers[j.server]
	took := r.now - j.began
	s.running--
	s.mean += 0.05 * (float64(r.now-j.ran) - s.mean)
	r.startWaiting(j.server)
	r.views[j.node][j.server].inFlight--
	r.learn(j.node, j.server)
	r.trackers[j.node].End(fmt.Sprint(j.server), false)

	if r.now < settle {
		return
	}

	r.ended++

	if took > 4*work {
		r.late++
	}
}

func (r *replay) learn(node, i int) {
	last := r.views[node][i]
	v := view{load: r.report(i), at: r.now, slowdown: 1, inFlight: last.inFlight}
	v.usual = spread.UsualTime(last.usual, v.load.MeanServiceTime, r.now-last.at)
	if r.servers[i].slowed {
		v.slowdown = noiseFactor
	}

	r.views[node][i] = v
}

// bySample chooses as entry.Tracker does.
func (r *replay) bySample(node int) int {
	candidates := make([]entry.Candidate, len(r.servers))
	for i, v := range r.views[node] {
		candidates[i] = entry.Candidate{Node: fmt.Sprint(i), SameZone: true, Load: v.load}
	}

	c, _ := r.trackers[node].Best(candidates, rules.Safe, nil, r.now)

	var i int

	_, _ = fmt.Sscan(c.Node, &i)

	return i
}

// byReports chooses with the package under test.
func (r *replay) byReports(node int) int {
	servers := make([]spread.Server, len(r.servers))
	for i, v := range r.views[node] {
		servers[i] = spread.Server{
			Slots: v.load.Slots, Load: v.load.Running + v.load.Waiting, ServiceTime: v.usual,
			Slowdown: v.slowdown, Age: r.now - v.at, Sent: v.sent, InFlight: v.inFlight, Near: true,
		}
	}

	return spread.Choose(servers, r.rnd.Float64)
}

// means returns the mean results of a few runs.
func means(nodes int, age spar.Millis, choose func(*replay, int) int) (ratio, idle, late float64) {
	const runs = 4

	for seed := range uint64(runs) {
		r := newReplay(seed, nodes, age)
		r.choose = func(node int) int { return choose(r, node) }
		x, y, z := r.run()
		ratio, idle, late = ratio+x/runs, idle+y/runs, late+z/runs
	}

	return ratio, idle, late
}

// Guards against servers that are overrun in turns while others idle, when many nodes choose by reports of some age.
func TestLoadIsEven(t *testing.T) {
	sizes, ages := []int{70}, []spar.Millis{100, 1000}
	if *all {
		sizes, ages = []int{70, 295, 440}, []spar.Millis{10, 100, 1000}
	}

	for _, nodes := range sizes {
		for _, age := range ages {
			ratio, idle, late := means(nodes, age, (*replay).bySample)
			newRatio, newIdle, newLate := means(nodes, age, (*replay).byReports)

			t.Logf("%d nodes, reports each %v ms: max/mean %.2f -> %.2f, idle while others queue %.3f -> %.3f, "+
				"late %.3f -> %.3f", nodes, age, ratio, newRatio, idle, newIdle, late, newLate)
			qt.Check(t, newIdle < idle, qt.IsTrue)
			qt.Check(t, newLate < late, qt.IsTrue)
		}
	}
}

// shareNear returns the share of requests that stay in the chooser's zone, at a load of its servers and the others that
// was reported at some age.
func shareNear(nearLoad, farLoad int, age spar.Millis) float64 {
	servers := []spread.Server{
		{Slots: slots, Load: nearLoad, ServiceTime: work, Age: age, Near: true},
		{Slots: slots, Load: nearLoad, ServiceTime: work, Age: age, Near: true},
		{Slots: slots, Load: farLoad, ServiceTime: work, Age: age},
		{Slots: slots, Load: farLoad, ServiceTime: work, Age: age},
	}
	rnd := rand.New(rand.NewPCG(3, 4))
	near := 0

	const requests = 10_000

	for range requests {
		if servers[spread.Choose(servers, rnd.Float64)].Near {
			near++
		}
	}

	return float64(near) / requests
}

// Guards against requests that cross zones although their own has room or the others have none, and against a zone that
// is overrun while another has room. A single old report says little, but those of a whole zone do.
func TestRequestsStayInTheirZoneWhileItHasRoom(t *testing.T) {
	for _, age := range []spar.Millis{0, 1000} {
		comment := qt.Commentf("reports of %v ms", age)
		qt.Check(t, shareNear(0, 0, age), qt.Equals, 1.0, comment)
		qt.Check(t, shareNear(6, 0, age), qt.Equals, 1.0, comment)
		qt.Check(t, shareNear(2*slots, 2*slots, age) > 0.9, qt.IsTrue, comment)

		half, full := shareNear(8, 2, age), shareNear(2*slots, 2, age)
		qt.Check(t, half < 1 && full < half, qt.IsTrue, qt.Commentf("%.2f, %.2f, %v", full, half, age))
	}
}

// Guards against a choice that fails without servers, and against one that sends all requests of a burst to the server
// that reported the lowest load.
func TestBurstIsSpread(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 6))
	qt.Check(t, spread.Choose(nil, rnd.Float64), qt.Equals, -1)

	servers := []spread.Server{
		{Slots: slots, Load: 6, ServiceTime: work, Age: 10},
		{Slots: slots, ServiceTime: work},
		{Slots: slots, ServiceTime: work, Cold: true},
	}

	for range 2 * slots {
		servers[spread.Choose(servers, rnd.Float64)].Sent++
	}

	cold, idle, busy := servers[2].Sent, servers[1].Sent, servers[0].Sent
	qt.Check(t, idle > cold && idle > busy && cold > 0 && busy > 0, qt.IsTrue, qt.Commentf("%v", servers))
}

// choices returns how often each server is chosen for 10 000 requests.
func choices(servers ...spread.Server) []int {
	const requests = 10_000

	rnd := rand.New(rand.NewPCG(7, 8))
	counts := make([]int, len(servers))

	for range requests {
		counts[spread.Choose(servers, rnd.Float64)]++
	}

	return counts
}

// Guards against a cold server that gets most requests since it is idle: with one other server both are always
// compared, and a zone that has no other server would send it all requests.
func TestColdServerGetsFewRequests(t *testing.T) {
	warm := spread.Server{Slots: slots, Load: 3, ServiceTime: work, Near: true}
	cold := spread.Server{Slots: slots, ServiceTime: work, Near: true, Cold: true}
	far := spread.Server{Slots: slots, Load: 3, ServiceTime: work, Penalty: 4}

	n := choices(warm, cold)
	qt.Check(t, n[1] > 0 && n[1] < n[0]*2/3, qt.IsTrue, qt.Commentf("%v", n))

	n = choices(cold, far, far, far, far)
	qt.Check(t, n[0] > 0 && n[0] < n[1]*2/3, qt.IsTrue, qt.Commentf("%v", n))
}

// Guards against a server that fails all requests, is idle therefore, and keeps all requests of its zone.
func TestFailingServerDoesNotKeepItsZone(t *testing.T) {
	failing := spread.Server{Slots: slots, ServiceTime: work, Near: true, FailureRate: 1, Penalty: 1500}
	far := spread.Server{Slots: slots, Load: 3, ServiceTime: work, Penalty: 4}

	n := choices(failing, far, far, far, far)
	qt.Check(t, n[0] < n[1]/3, qt.IsTrue, qt.Commentf("%v", n))
}

// Guards against servers that get nearly all requests, since nothing or something impossible is known of them.
func TestUnusualReportsDontAttractRequests(t *testing.T) {
	usual := spread.Server{Slots: slots, Load: 3, ServiceTime: work, Near: true}

	for name, s := range map[string]spread.Server{
		"unknown":           {Near: true},
		"slowdown 1 %":      {Slots: slots, Load: 3, ServiceTime: work, Near: true, Slowdown: 0.01},
		"report from later": {Slots: slots, Load: 3, ServiceTime: work, Near: true, Age: -1e9},
	} {
		n := choices(s, usual, usual, usual, usual)
		qt.Check(t, n[0] > 0 && n[0] < 6000, qt.IsTrue, qt.Commentf("%s: %v", name, n))
	}

	n := choices(spread.Server{}, spread.Server{})
	qt.Check(t, n[0] > 4000 && n[1] > 4000, qt.IsTrue, qt.Commentf("%v", n))
}
