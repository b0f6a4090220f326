package quota_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/quota"
)

const (
	// window, overshoot and slack state the bound on a tenant's requests.
	window    = 5 * time.Second
	overshoot = 1.1
	slack     = 20
	// latency is the time that a call takes in each direction.
	latency = time.Millisecond
	// objective is the time from a request's arrival to its objective.
	objective spar.Millis = 500
	// gateWait is the longest time from taking a credit to reaching a backend server.
	gateWait = 200 * time.Millisecond
	zones    = 3
)

var (
	errCut     = errors.New("network is cut")
	errRefused = errors.New("connection refused")
)

// process is one process of a simulated node.
type process struct {
	quota *quota.Quota
	clock spar.Clock
	stop  context.CancelFunc
	done  chan struct{}
}

// simNode is a simulated node, which may be restarted.
type simNode struct {
	name    string
	index   int
	zone    int
	proc    *process
	upSince time.Time
	// downSince is set while the node is down, and leaving while it announces that it leaves.
	downSince time.Time
	leaving   bool
	// thaw is open while the node is suspended: calls wait until it is closed, and are then served.
	thaw chan struct{}
	// view is the view after the given number of changes; it is settled if no later one will differ.
	view    []quota.Member
	viewed  time.Time
	changes int64
	settled bool
}

// tenantLoad is a simulated tenant with what its requests met.
type tenantLoad struct {
	name        string
	mu          sync.Mutex
	rate, burst float64
	// served are the times at which requests reached a backend server, and refused those of refusals.
	served, refused []time.Time
	// overloaded is the part of the requests that backend servers refuse as not run.
	overloaded float64
}

func (l *tenantLoad) limit() (float64, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.rate, l.burst
}

// setLimit changes the limit of a tenant at all nodes.
func (f *simFleet) setLimit(l *tenantLoad, rate, burst float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.rate, l.burst = rate, burst
}

// simFleet runs many Quotas in virtual time. Nodes hear from each other like those of package mesh: a lost node is
// noticed by each other one at another time.
type simFleet struct {
	t     *testing.T
	ctx   context.Context //nolint:containedctx // The life of the fleet.
	wg    sync.WaitGroup
	start time.Time
	calls atomic.Int64

	mu      sync.Mutex
	nodes   []*simNode
	byName  map[string]*simNode
	tenants map[string]*tenantLoad
	// cut is the zone that is partitioned from the others, or -1, since cutAt. healedAt is when the last partition ended.
	cut             int
	cutAt, healedAt time.Time
	// deaf and unreachable are pairs of nodes, the first of which gets no states of, or can't call, the second.
	deaf, unreachable map[[2]string]bool
	// changes counts the events that change views; changedAt is the time of the last one.
	changes   int64
	changedAt time.Time
	random    *rand.Rand
}

func newFleet(ctx context.Context, t *testing.T, n int, tenants ...*tenantLoad) *simFleet {
	f := &simFleet{
		t: t, ctx: ctx, start: time.Now(), byName: map[string]*simNode{}, tenants: map[string]*tenantLoad{}, cut: -1,
		deaf: map[[2]string]bool{}, unreachable: map[[2]string]bool{}, random: rand.New(rand.NewPCG(1, uint64(n))),
		changedAt: time.Now(),
	}

	for _, l := range tenants {
		f.tenants[l.name] = l
	}

	for i := range n {
		node := &simNode{name: fmt.Sprint("node-", i), index: i, zone: i % zones}
		f.nodes = append(f.nodes, node)
		f.byName[node.name] = node
	}

	for _, node := range f.nodes {
		f.boot(ctx, node)
	}

	f.wg.Go(func() { f.watchShares(ctx) })

	return f
}

// watchShares checks that no share is lent to two coordinators at a time. That is stricter than the bound, which leaves
// room for some seconds of it.
func (f *simFleet) watchShares(ctx context.Context) {
	const (
		interval = 100 * time.Millisecond
		most     = 1.001
	)

	for ctx.Err() == nil {
		time.Sleep(interval)

		for name := range f.tenants {
			sum := 0.0

			for _, p := range f.processes() {
				sum += p.quota.Share(name)
			}

			if sum > most {
				f.t.Errorf("after %v, coordinators have %.3f of the limit of %s", time.Since(f.start), sum, name)

				return
			}
		}
	}
}

// processes returns the processes that run.
func (f *simFleet) processes() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()

	list := make([]*process, 0, len(f.nodes))

	for _, n := range f.nodes {
		if n.proc != nil {
			list = append(list, n.proc)
		}
	}

	return list
}

// interval and timeout are those of package mesh.
func (f *simFleet) interval() time.Duration {
	return max(400*time.Millisecond, time.Duration(len(f.nodes))*25*time.Millisecond)
}

func (f *simFleet) timeout() time.Duration {
	return 2*f.interval() + 600*time.Millisecond
}

func (f *simFleet) changedLocked() {
	f.changes++
	f.changedAt = time.Now()
}

// boot starts a process of a node.
func (f *simFleet) boot(ctx context.Context, node *simNode) {
	ctx, stop := context.WithCancel(ctx)
	p := &process{clock: spar.RuntimeClock(), stop: stop, done: make(chan struct{})}
	p.quota = quota.New(quota.Settings{Node: node.name}, quota.Deps{
		Clock: p.clock, Caller: simCaller{fleet: f, from: node}, Log: log.New(io.Discard),
		Limits: func(tenant string) (float64, float64, bool) {
			l, ok := f.tenants[tenant]
			if !ok {
				return 0, 0, false
			}

			rate, burst := l.limit()

			return rate, burst, rate > 0
		},
		Tenants: func() []string {
			names := make([]string, 0, len(f.tenants))
			for name, l := range f.tenants {
				if rate, _ := l.limit(); rate > 0 {
					names = append(names, name)
				}
			}

			return names
		},
		Nodes: func() quota.View { return f.view(node) },
	})

	f.mu.Lock()
	node.proc, node.upSince, node.downSince, node.leaving = p, time.Now(), time.Time{}, false
	f.changedLocked()
	f.mu.Unlock()

	f.wg.Go(func() {
		defer close(p.done)

		p.quota.Run(ctx)
	})
}

// kill ends a node's process without notice.
func (f *simFleet) kill(node *simNode) {
	f.mu.Lock()
	p := node.proc
	node.proc, node.downSince = nil, time.Now()
	f.changedLocked()
	f.mu.Unlock()

	if p != nil {
		p.stop()
		<-p.done
	}
}

// leave ends a node's process in order.
func (f *simFleet) leave(node *simNode) {
	f.mu.Lock()
	node.leaving = true
	p := node.proc
	f.changedLocked()
	f.mu.Unlock()

	p.quota.Leave(f.ctx)
	time.Sleep(2600 * time.Millisecond)
	f.kill(node)
}

// partition cuts a zone from the others; -1 heals the partition.
func (f *simFleet) partition(zone int) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if zone < 0 {
		f.healedAt = time.Now()
	} else {
		f.cutAt = time.Now()
	}

	f.cut = zone
	f.changedLocked()
}

func (f *simFleet) cutBetweenLocked(a, b *simNode) bool {
	return f.cut >= 0 && (a.zone == f.cut) != (b.zone == f.cut)
}

// phase returns a number from 0 to 1 that stands for when in an interval the states of one node reach another.
func phase(from, to *simNode) float64 {
	const steps = 1000

	return float64((from.index*7919+to.index*104_729)%steps) / steps
}

// hearsLocked reports whether a node counts another one as alive.
func (f *simFleet) hearsLocked(a, b *simNode, now time.Time) bool {
	wait := time.Duration(float64(f.interval()) * phase(b, a))
	lost := time.Time{}

	switch {
	case f.deaf[[2]string{a.name, b.name}] || b.upSince.IsZero() || b.leaving && b.proc != nil:
		return false
	case b.proc == nil:
		lost = b.downSince
	case f.cutBetweenLocked(a, b):
		lost = f.cutAt
	}

	if !lost.IsZero() {
		return now.Before(lost.Add(f.timeout() - wait))
	}

	heard := b.upSince
	if f.healedAt.After(heard) && (a.zone == b.zone) {
		return now.After(heard.Add(wait))
	}

	if f.healedAt.After(heard) {
		heard = f.healedAt
	}

	return now.After(heard.Add(wait))
}

// view returns a node's view, which is up to half a second old.
func (f *simFleet) view(node *simNode) quota.View {
	const maxAge = 500 * time.Millisecond

	f.mu.Lock()
	defer f.mu.Unlock()

	now := time.Now()

	if node.changes != f.changes || !node.settled && now.Sub(node.viewed) >= maxAge {
		live := make([]quota.Member, 0, len(f.nodes))

		for _, b := range f.nodes {
			if b != node && f.hearsLocked(node, b, now) {
				live = append(live, quota.Member{Node: b.name, Addr: b.name})
			}
		}

		node.view, node.viewed, node.changes = live, now, f.changes
		node.settled = now.Sub(f.changedAt) > f.timeout()+f.interval()
	}

	return quota.View{Live: node.view, Known: len(f.nodes)}
}

// simCaller calls other nodes over the simulated network.
type simCaller struct {
	fleet *simFleet
	from  *simNode
}

// Call serves the call at the node with the given address. A suspended node serves it later, even if the caller has
// given up.
func (c simCaller) Call(ctx context.Context, addr, method string, params, result any) error {
	f := c.fleet
	f.calls.Add(1)

	data, err := json.Marshal(params)
	if err != nil {
		return err
	}

	done := make(chan error, 1)

	var reply []byte

	f.wg.Go(func() {
		var e error

		reply, e = f.serve(c.from, addr, method, data)
		done <- e
	})

	select {
	case <-ctx.Done():
		return ctx.Err()
	case e := <-done:
		if e != nil {
			return e
		}

		return json.Unmarshal(reply, result)
	}
}

func (f *simFleet) serve(from *simNode, addr, method string, data []byte) ([]byte, error) {
	time.Sleep(latency)

	f.mu.Lock()
	node := f.byName[addr]
	cut := f.cutBetweenLocked(from, node) || f.unreachable[[2]string{from.name, addr}]
	p, thaw := node.proc, node.thaw
	f.mu.Unlock()

	switch {
	case cut:
		time.Sleep(time.Second)

		return nil, errCut
	case p == nil:
		return nil, errRefused
	case thaw != nil:
		<-thaw
	}

	result, err := p.quota.Serve(f.ctx, method, data)
	if err != nil {
		return nil, err
	}

	time.Sleep(latency)

	return json.Marshal(result)
}

// request runs one request of a tenant at a node.
func (f *simFleet) request(l *tenantLoad, node *simNode) {
	f.mu.Lock()
	p := node.proc
	leaving, thaw := node.leaving, node.thaw
	wait := time.Duration(f.random.Int64N(int64(gateWait)))
	f.mu.Unlock()

	if p == nil || leaving || thaw != nil {
		return
	}

	credit, after, ok := p.quota.Take(f.ctx, l.name, p.clock.Now()+objective)

	if f.ctx.Err() != nil {
		return
	}

	if !ok {
		qt.Check(f.t, after >= 0, qt.IsTrue)
		l.mu.Lock()
		l.refused = append(l.refused, time.Now())
		l.mu.Unlock()

		return
	}

	time.Sleep(wait)

	f.mu.Lock()
	chance := f.random.Float64()
	f.mu.Unlock()

	l.mu.Lock()
	notRun := chance < l.overloaded
	l.mu.Unlock()

	if notRun {
		p.quota.Return(credit)

		return
	}

	l.mu.Lock()
	l.served = append(l.served, time.Now())
	l.mu.Unlock()
}

// generate sends requests of a tenant at a rate until ctx ends. choose selects the node of each. With legal, requests
// beyond the tenant's limit are left out.
func (f *simFleet) generate(
	ctx context.Context, l *tenantLoad, perSecond float64, legal bool, choose func(r *rand.Rand) *simNode,
) {
	random := rand.New(rand.NewPCG(7, uint64(perSecond)))
	rate, burst := l.limit()
	tokens, last := burst, time.Now()

	f.wg.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))

			now := time.Now()
			tokens = min(burst, tokens+rate*now.Sub(last).Seconds())
			last = now

			if legal && tokens < 1 {
				continue
			}

			tokens--
			node := choose(random)

			f.wg.Go(func() { f.request(l, node) })
		}
	})
}

// uneven sends four fifths of the requests to one node and the rest to random ones.
func (f *simFleet) uneven(r *rand.Rand) *simNode {
	const share = 0.8

	if r.Float64() < share {
		return f.nodes[0]
	}

	return f.even(r)
}

// even sends the requests to random nodes.
func (f *simFleet) even(r *rand.Rand) *simNode {
	return f.nodes[r.IntN(len(f.nodes))]
}

// coordinator returns the node that is the coordinator of a tenant while all nodes are alive.
func (f *simFleet) coordinator(tenant string) *simNode {
	members := make([]quota.Member, 0, len(f.nodes))
	for _, n := range f.nodes {
		members = append(members, quota.Member{Node: n.name})
	}

	m, _ := quota.Choose(tenant, members)

	return f.byName[m.Node]
}

// finish stops everything.
func (f *simFleet) finish(cancel context.CancelFunc) {
	cancel()
	f.wg.Wait()
}

// within returns how many of the times are in a span of the simulation.
func (f *simFleet) within(times []time.Time, from, to time.Duration) int {
	n := 0

	for _, t := range times {
		if d := t.Sub(f.start); d >= from && d < to {
			n++
		}
	}

	return n
}

// checkBound checks every window after the given time against the tenant's limit.
func (f *simFleet) checkBound(l *tenantLoad, from time.Duration) {
	f.t.Helper()

	rate, burst := l.limit()
	bound := (rate*window.Seconds()+burst)*overshoot + slack

	slices.SortFunc(l.served, time.Time.Compare)

	most, at, first := 0, time.Duration(0), 0

	for i, t := range l.served {
		if t.Sub(f.start) < from {
			first = i + 1

			continue
		}

		for t.Sub(l.served[first]) >= window {
			first++
		}

		if n := i - first + 1; n > most {
			most, at = n, t.Sub(f.start)
		}
	}

	f.t.Logf("%s: most in %v: %d, bound %.0f, window ends at %v; served %d, refused %d, calls %d, fleet of %d", l.name,
		window, most, bound, at, len(l.served), len(l.refused), f.calls.Load(), len(f.nodes))
	qt.Check(f.t, float64(most) <= bound, qt.IsTrue, qt.Commentf("%s: %d in the window up to %v, bound %.0f", l.name, most,
		at, bound))
}
