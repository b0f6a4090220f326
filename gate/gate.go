package gate

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

// Settings are the settings of a gate.
type Settings struct {
	// Addr is the backend server's address.
	Addr  string
	Names spar.HeaderNames
	// ColdShare is the part of a cold backend server's rate that is used.
	ColdShare float64
	// WholeBytes is the size up to which an answer is read whole before it is passed on.
	WholeBytes int64
}

// Deps are what a gate works with.
type Deps struct {
	Clock spar.Clock
	Pool  *conns.Pool
	// Link is the VM's network link.
	Link *pace.Link
	Log  *log.Logger
	// Tally counts what the gate refuses and runs.
	Tally *tally.Tally
	// Rules returns the rules in force, or nil.
	Rules func() *rules.Set
	// Closed reports whether no new request may run: the VM's availability zone is taken out, or the
	// process is about to end.
	Closed func() bool
}

// Gate passes requests to the backend server beside this node. All requests to it pass here, so its
// counts are exact.
type Gate struct {
	cfg   Settings
	deps  Deps
	queue *Queue
	rate  Rate
	keys  *KeyLoad

	// refusals bounds the log lines of requests that are not answered.
	refusals *tally.Limit

	state   atomic.Pointer[Upstream]
	mu      sync.Mutex
	probing bool
	// cut is closed when the backend server leaves, so that waiting requests are refused.
	cut chan struct{}
}

// refusalLines is the most log lines a second of requests that are not answered.
const refusalLines = 30

// New returns a gate without a backend server.
func New(cfg Settings, deps Deps) *Gate {
	g := &Gate{
		cfg: cfg, deps: deps, queue: NewQueue(deps.Clock), keys: NewKeyLoad(deps.Clock), cut: make(chan struct{}),
		refusals: tally.NewLimit(deps.Clock, refusalLines),
	}
	g.state.Store(&Upstream{})

	return g
}

// Upstream returns what is known of the backend server.
func (g *Gate) Upstream() Upstream {
	return *g.state.Load()
}

// Update replaces what is known of the backend server by f's result.
func (g *Gate) Update(f func(Upstream) Upstream) Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()

	last := g.state.Load()
	next := f(*last)

	if next.Life != last.Life && !last.Life.IsZero() {
		g.deps.Pool.Forget(g.cfg.Addr)
	}

	if last.Ready && !next.Ready {
		close(g.cut)
		g.cut = make(chan struct{})
	}

	if next.Slots != last.Slots {
		g.queue.Resize(next.Slots)
	}

	g.state.Store(&next)

	return next
}

// Load returns the load of the backend server.
func (g *Gate) Load() Load {
	l := g.queue.Load()
	l.Link = g.deps.Link.Wait()

	return l
}

// Keys returns the measured load by key.
func (g *Gate) Keys() *KeyLoad {
	return g.keys
}

func (g *Gate) left() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.cut
}

// Serve runs a request at the backend server, or says why not.
func (g *Gate) Serve(ctx context.Context, req Request) Result {
	r := g.serve(ctx, req)

	g.deps.Tally.Count("spar_gate_" + string(r.Outcome) + "_total")

	if r.Outcome != spar.OutcomeCompleted {
		g.deps.Tally.Count("spar_gate_" + string(r.Reason) + "_total")
		g.logRefusal(req, r)
	}

	return r
}

// logRefusal logs why the backend server did not answer a request, with what decided it.
func (g *Gate) logRefusal(req Request, r Result) {
	left, ok := g.refusals.Allow()
	if !ok {
		return
	}

	u, l, now := g.Upstream(), g.Load(), g.deps.Clock.Now()
	g.deps.Log.Warn("request not run to its end", "id", req.ID, "outcome", r.Outcome, "reason", r.Reason,
		"rank", req.Priority, "key", req.Key, "instance", u.Life.ID, "wanted", req.Life, "ready", u.Ready,
		"cold", u.Cold(now),
		"hold_left_ms", int(u.HoldLeft(req.Key, now)), "running", l.Running, "waiting", l.Waiting,
		"service_ms", int(l.Service), "objective_left_ms", int(req.Objective-now), "left_ms", int(req.Deadline-now),
		"detail", r.Detail, "left_out", left)
}

func (g *Gate) serve(ctx context.Context, req Request) Result {
	if req.Key != NoKey {
		g.keys.Note(req.Key)
	}

	left := g.left()
	if r, ok := g.check(req); !ok {
		return r
	}

	e := &Entrant{Priority: req.Priority, Kind: req.Kind, Objective: req.Objective, Deadline: req.Deadline}
	if ok, after := g.queue.Enter(e); !ok {
		return Refused(spar.ReasonShed, after)
	}

	if r, ok := g.wait(ctx, e, left); !ok {
		g.queue.Leave(e)

		return r
	}

	// What the gate knows may have changed during the wait.
	if r, ok := g.check(req); !ok {
		g.queue.Leave(e)

		return r
	}

	if r, ok := g.pace(req); !ok {
		g.queue.Leave(e)

		return r
	}

	return g.run(ctx, e, req)
}

// check refuses what the backend server must not or can't run.
func (g *Gate) check(req Request) (Result, bool) {
	u := g.Upstream()
	now := g.deps.Clock.Now()

	switch {
	case u.Life.IsZero() || u.Down:
		return Refused(spar.ReasonUnreachable, retryLeast), false
	case !u.Ready:
		return Refused(spar.ReasonLeaving, retryLeast), false
	case req.Service != u.Service || req.Life != "" && req.Life != u.Life.ID:
		return Refused(spar.ReasonNotOwner, retryLeast), false
	case g.deps.Closed():
		return Refused(spar.ReasonLeaving, retryLeast), false
	case req.Key != NoKey && !u.HoldsKey(req.Key, now):
		return Refused(spar.ReasonNotOwner, retryLeast), false
	case now >= req.Deadline:
		return Refused(spar.ReasonDeadline, 0), false
	}

	return Result{}, true
}

func (g *Gate) wait(ctx context.Context, e *Entrant, left <-chan struct{}) (Result, bool) {
	select {
	case <-e.Turn():
		return Result{}, true
	default:
	}

	t := g.deps.Clock.Timer(e.latest - g.deps.Clock.Now())
	defer t.Stop()

	select {
	case <-e.Turn():
		return Result{}, true
	case <-left:
		return Refused(spar.ReasonLeaving, retryLeast), false
	case <-t.C:
		return Refused(spar.ReasonShed, g.Load().Wait()), false
	case <-ctx.Done():
		return Refused(spar.ReasonDeadline, 0), false
	}
}

// pace holds a cold backend server's requests to the rate that it bears.
func (g *Gate) pace(req Request) (Result, bool) {
	now := g.deps.Clock.Now()
	if !g.Upstream().Cold(now) {
		g.rate.Note(now)

		return Result{}, true
	}

	most := 1

	if set := g.deps.Rules(); set != nil {
		if s, ok := set.Service(req.Service); ok {
			most = max(1, int(s.ColdPerSecond*g.cfg.ColdShare))
		}
	}

	if wait, ok := g.rate.Take(now, most); !ok {
		return Refused(spar.ReasonShed, max(retryLeast, wait)), false
	}

	return Result{}, true
}
