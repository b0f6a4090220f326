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

// Settings configure a gate.
type Settings struct {
	// Addr is the backend server's address.
	Addr  string
	Names spar.HeaderNames
	// ColdShare is the fraction of a cold backend server's capacity that the gate uses.
	ColdShare float64
	// MaxBufferedBytes is the size up to which a response is buffered completely before it is passed on.
	MaxBufferedBytes int64
}

// Deps holds the dependencies of a gate.
type Deps struct {
	Clock spar.Clock
	Pool  *conns.Pool
	// Link is the VM's network link.
	Link *pace.Link
	Log  *log.Logger
	// Tally counts the requests that the gate refuses and runs.
	Tally *tally.Tally
	// Rules returns the rules in force, or nil.
	Rules func() *rules.Set
	// Closed reports whether no new request may run, because the VM's availability zone is withdrawn or
	// the process is about to exit.
	Closed func() bool
	// Crashes refuses the requests that crash backend servers. It may be nil.
	Crashes CrashLog
}

// CrashLog keeps which requests crash backend servers.
type CrashLog interface {
	// Quarantined reports whether a request must not run now, and the time until it may.
	Quarantined(req Request) (spar.Millis, bool)
	// Crashed records that the backend server crashed while the requests were in flight there.
	Crashed(server spar.Incarnation, requests []Request)
	// Completed records that a request did not crash the backend server that ran it.
	Completed(req Request)
}

// noCrashLog is a CrashLog that keeps nothing.
type noCrashLog struct{}

func (noCrashLog) Quarantined(Request) (spar.Millis, bool) { return 0, false }
func (noCrashLog) Crashed(spar.Incarnation, []Request)     {}
func (noCrashLog) Completed(Request)                       {}

// Gate passes requests to the backend server on this VM. Every request to that server goes through its
// gate, so the gate's counts of running and waiting requests are exact.
type Gate struct {
	cfg      Settings
	deps     Deps
	queue    *Queue
	coldRate *RateLimiter
	keys     *KeyLoad
	slowdown Slowdown

	// logLimiter limits the log lines about requests that were not completed.
	logLimiter *tally.Limiter

	state atomic.Pointer[Upstream]
	mu    sync.Mutex
	// checkingHealth is true while a health check is made after a broken connection or an invalid response, and
	// suspects are the requests that have failed in this way since it began.
	checkingHealth bool
	suspects       []suspect
	// departed is closed when the backend server stops being ready, so that waiting requests are refused.
	departed chan struct{}
}

// maxLogLines is the maximum number of log lines per second about requests that were not completed.
const maxLogLines = 30

// New returns a gate without a backend server.
func New(cfg Settings, deps Deps) *Gate {
	if deps.Crashes == nil {
		deps.Crashes = noCrashLog{}
	}

	g := &Gate{
		cfg: cfg, deps: deps, queue: NewQueue(deps.Clock), keys: NewKeyLoad(deps.Clock), departed: make(chan struct{}),
		coldRate: NewRateLimiter(deps.Clock.Now()), logLimiter: tally.NewLimiter(deps.Clock, maxLogLines),
	}
	g.state.Store(&Upstream{})

	return g
}

// Upstream returns the known state of the backend server.
func (g *Gate) Upstream() Upstream {
	return *g.state.Load()
}

// Update replaces the known state of the backend server by the result of f, and returns it. It drops pooled
// connections to an earlier incarnation, and refuses the waiting requests of a server that stops being ready.
func (g *Gate) Update(f func(Upstream) Upstream) Upstream {
	g.mu.Lock()
	defer g.mu.Unlock()

	last := g.state.Load()
	next := f(*last)

	if next.Incarnation != last.Incarnation && !last.Incarnation.IsZero() {
		g.deps.Pool.CloseIdle(g.cfg.Addr)
	}

	if last.Ready && !next.Ready {
		close(g.departed)
		g.departed = make(chan struct{})
	}

	if next.Slots != last.Slots {
		g.queue.Resize(next.Slots)
	}

	g.state.Store(&next)

	return next
}

// Load returns the load of the backend server and of the VM's network link.
func (g *Gate) Load() Load {
	l := g.queue.Load()
	l.Link = g.deps.Link.Wait()
	l.Slowdown = g.slowdown.Percent(g.deps.Clock.Now())

	return l
}

// Keys returns the measured load of each key.
func (g *Gate) Keys() *KeyLoad {
	return g.keys
}

// departure returns the channel that is closed when the current backend server stops being ready.
func (g *Gate) departure() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.departed
}

// Serve runs a request at the backend server and counts its outcome. The result of a request that was not
// completed contains the reason.
func (g *Gate) Serve(ctx context.Context, req Request) Result {
	r := g.serve(ctx, req)

	g.deps.Tally.Count("spar_gate_" + string(r.Outcome) + "_total")

	if r.Outcome != spar.OutcomeCompleted {
		g.deps.Tally.Count("spar_gate_" + string(r.Reason) + "_total")
		g.logNotCompleted(req, r)
	}

	return r
}

// logNotCompleted logs why a request was not completed, with the state that decided it.
func (g *Gate) logNotCompleted(req Request, r Result) {
	suppressed, ok := g.logLimiter.Allow()
	if !ok {
		return
	}

	u, l, now := g.Upstream(), g.Load(), g.deps.Clock.Now()
	g.deps.Log.Warn("request not completed", "id", req.ID, "outcome", r.Outcome, "reason", r.Reason,
		"rank", req.Priority, "key", req.Key, "instance", u.Incarnation.ID, "wanted", req.InstanceID, "ready", u.Ready,
		"cold", u.Cold(now),
		"hold_left_ms", int(u.RemainingHold(req.Key, now)), "running", l.Running, "waiting", l.Waiting,
		"service_ms", int(l.MeanServiceTime), "objective_left_ms", int(req.Objective-now), "left_ms", int(req.Deadline-now),
		"detail", r.Detail, "left_out", suppressed)
}

func (g *Gate) serve(ctx context.Context, req Request) Result {
	if req.Key != NoKey {
		g.keys.Record(req.Key)
	}

	departed := g.departure()
	if r, ok := g.check(req); !ok {
		return r
	}

	w := req.waiter()
	if ok, after := g.queue.Enter(&w); !ok {
		return Refused(spar.ReasonShed, after)
	}

	if r, ok := g.wait(ctx, &w, departed); !ok {
		g.queue.Release(&w)

		return r
	}

	// The state of the backend server may have changed during the wait.
	if r, ok := g.check(req); !ok {
		g.queue.Release(&w)

		return r
	}

	if r, ok := g.limitCold(req); !ok {
		g.queue.Release(&w)

		return r
	}

	return g.run(ctx, &w, req)
}

// waiter returns the request as the queue sees it.
func (r Request) waiter() Waiter {
	return Waiter{
		Priority: r.Priority, Kind: r.Kind, Objective: r.Objective, Deadline: r.Deadline, Pipelined: r.Pipelined,
	}
}

// Foresee returns how long a request would wait for a slot if it arrived now. If the gate would refuse the request on
// arrival, it returns false with the refusal. It changes nothing and ignores the rate limit of a cold server.
func (g *Gate) Foresee(req Request) (wait spar.Millis, refusal Result, ok bool) {
	if r, ok := g.check(req); !ok {
		return 0, r, false
	}

	wait, ok = g.queue.Foresee(req.waiter())
	if !ok {
		return wait, Refused(spar.ReasonShed, max(minRetryAfter, wait)), false
	}

	return wait, Result{}, true
}

// check refuses a request that the backend server must not or cannot run now.
func (g *Gate) check(req Request) (Result, bool) {
	u := g.Upstream()
	now := g.deps.Clock.Now()

	switch {
	case u.Incarnation.IsZero() || u.Down:
		return Refused(spar.ReasonUnreachable, minRetryAfter), false
	case !u.Ready:
		return Refused(spar.ReasonLeaving, minRetryAfter), false
	case req.Service != u.Service || req.InstanceID != "" && req.InstanceID != u.Incarnation.ID:
		return Refused(spar.ReasonNotOwner, minRetryAfter), false
	case g.deps.Closed():
		return Refused(spar.ReasonLeaving, minRetryAfter), false
	case req.Key != NoKey && !u.HoldsKey(req.Key, now):
		return Refused(spar.ReasonNotOwner, minRetryAfter), false
	case now >= req.Deadline:
		return Refused(spar.ReasonDeadline, 0), false
	}

	if after, quarantined := g.deps.Crashes.Quarantined(req); quarantined {
		return Refused(spar.ReasonQuarantined, after), false
	}

	return Result{}, true
}

// wait waits until the request is admitted to a slot, or returns the refusal.
func (g *Gate) wait(ctx context.Context, w *Waiter, departed <-chan struct{}) (Result, bool) {
	select {
	case <-w.Admitted():
		return Result{}, true
	default:
	}

	t := g.deps.Clock.Timer(w.startBy - g.deps.Clock.Now())
	defer t.Stop()

	select {
	case <-w.Admitted():
		return Result{}, true
	case <-departed:
		return Refused(spar.ReasonLeaving, minRetryAfter), false
	case <-t.C:
		return Refused(spar.ReasonShed, g.Load().Wait()), false
	case <-ctx.Done():
		return Refused(spar.ReasonDeadline, 0), false
	}
}

// limitCold refuses requests beyond the rate that a cold backend server can handle.
func (g *Gate) limitCold(req Request) (Result, bool) {
	now := g.deps.Clock.Now()
	if !g.Upstream().Cold(now) {
		g.coldRate.Record(now)

		return Result{}, true
	}

	limit := 1

	if set := g.deps.Rules(); set != nil {
		if s, ok := set.Service(req.Service); ok {
			limit = max(1, int(s.ColdPerSecond*g.cfg.ColdShare))
		}
	}

	if wait, ok := g.coldRate.Take(now, limit); !ok {
		return Refused(spar.ReasonShed, max(minRetryAfter, wait)), false
	}

	return Result{}, true
}
