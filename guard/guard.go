// Package guard is the owner's side of a call: it decides whether the call may run on the backend
// server beside this node, and runs it.
package guard

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/ledger"
)

// Backend is the backend server beside this node as it announced itself.
type Backend struct {
	Addr         string
	ChecksGrants bool
}

// Guard runs calls on one backend server.
type Guard struct {
	self    func() spar.NodeID
	replica *fleet.Replica
	lease   spar.Lease
	limiter admit.Limiter
	client  http.RoundTripper
	clock   spar.Clock
	sharer  *sharer
	gate    *Gate
	health  health
	ledger  *ledger.Ledger
	crashes *crash.Quarantine
	memory  memory

	backend atomic.Pointer[Backend]
	closing atomic.Bool
	flight  sync.WaitGroup
}

// New returns a guard without a backend server, with an empty ledger and no quarantine.
func New(
	self func() spar.NodeID, r *fleet.Replica, l spar.Lease, limiter admit.Limiter,
	client http.RoundTripper, clock spar.Clock,
) *Guard {
	return &Guard{
		self: self, replica: r, lease: l, limiter: limiter, client: client, clock: clock,
		gate: NewGate(self, r, clock, NoRecords{}), sharer: newSharer(clock, 0),
		ledger: ledger.New(clock, ledger.DefaultLimits()),
	}
}

// ShareReads lets queued identical reads of a key share one run whose body has at most maxBytes.
// It is called before the first call is served; 0 shares nothing.
func (g *Guard) ShareReads(maxBytes int) {
	g.sharer = newSharer(g.clock, maxBytes)
}

// WithQuarantine sets the quarantine of crashing calls, before the guard is used.
func (g *Guard) WithQuarantine(q *crash.Quarantine) *Guard {
	g.crashes = q

	return g
}

// Ledger returns the records of the slots that this node owns.
func (g *Guard) Ledger() *ledger.Ledger {
	return g.ledger
}

// Attach sets the backend server, or takes it away if b is nil.
func (g *Guard) Attach(b *Backend) {
	g.health.note(true, nil, 0)
	g.backend.Store(b)
}

// Drain refuses new calls and waits until those in flight have ended, or ctx has.
func (g *Guard) Drain(ctx context.Context) {
	g.closing.Store(true)

	done := make(chan struct{})
	go g.loop(done)

	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (g *Guard) loop(done chan<- struct{}) {
	g.flight.Wait()
	close(done)
}

// Serve runs a call or says why not. A non-idempotent run is waited for even if ctx ends, so that
// what counts calls in flight counts it too.
func (g *Guard) Serve(ctx context.Context, c spar.Call) spar.Answer {
	g.flight.Add(1)

	a := g.gated(ctx, c)
	if a.Response == nil {
		g.flight.Done()
	} else {
		a.Response.Body = onClose(a.Response.Body, g.flight.Done)
	}

	return a.WithOwner(g.self()).WithLoad(g.limiter.Load())
}

func (g *Guard) serve(ctx context.Context, c spar.Call) spar.Answer {
	b := g.backend.Load()
	if b == nil || g.closing.Load() {
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonLeaving, "no backend server takes calls here")
	}

	a, refusal, ok := g.check(c)
	if !ok {
		return refusal
	}

	if !c.Idempotent {
		return g.serveOnce(ctx, *b, c, a)
	}

	return g.admit(ctx, *b, c, a)
}

// admit runs the call when there is room for it, if its slot is then still assigned as before.
// Identical reads that wait may share one run.
func (g *Guard) admit(ctx context.Context, b Backend, c spar.Call, before spar.Assignment) spar.Answer {
	if refusal, ok := g.allowed(c); !ok {
		return refusal
	}

	enter := func(ctx context.Context, started func() bool) spar.Answer {
		return g.enter(ctx, b, c, before, started)
	}

	if load := g.limiter.Load(); load.InFlight < load.Limit || !g.sharer.fits(c) {
		return enter(ctx, alone)
	}

	return g.sharer.do(ctx, c, enter)
}

// enter waits for a permit and runs the call; started is called when the wait is over.
func (g *Guard) enter(
	ctx context.Context, b Backend, c spar.Call, before spar.Assignment, started func() bool,
) spar.Answer {
	done, reason := g.limiter.Acquire(ctx, c)

	started()

	if reason != spar.ReasonNone {
		return shed(reason)
	}

	a, refusal, ok := g.check(c)
	if ok && a != before {
		refusal, ok = notOwner(c), false
	}

	if ok {
		refusal, ok = g.allowed(c)
	}

	if !ok {
		done(0, true)

		return refusal
	}

	if g.crashes != nil && g.crashes.Late(ctx, c) {
		c = c.WithTrial()
	}

	return g.run(ctx, b, c, a, done)
}

// check tells whether this node may run the call at this moment, and as which owner.
func (g *Guard) check(c spar.Call) (spar.Assignment, spar.Answer, bool) {
	var none spar.Assignment

	if g.clock.Now() >= c.Deadline {
		return none, spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run"), false
	}

	if c.Service.Mode != spar.ModeKeyed {
		return none, spar.Answer{}, true
	}

	self := g.self()

	a := g.replica.View().Assignment(c.Service, c.Slot)
	if a.Owner != self {
		return none, notOwner(c), false
	}

	// A new registration between the two reads would let the old id pass with the new lease.
	if g.clock.Now() >= g.lease.Until() || g.self() != self {
		return none, spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNoLease, "this node holds no lease"), false
	}

	return a, spar.Answer{}, true
}

func notOwner(c spar.Call) spar.Answer {
	return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNotOwner, "slot %d is not owned here", c.Slot)
}

func shed(reason spar.Reason) spar.Answer {
	if reason == spar.ReasonDeadline {
		return spar.NotRun(http.StatusGatewayTimeout, reason, "deadline passed while waiting for a slot")
	}

	return spar.NotRun(http.StatusTooManyRequests, reason, "backend server is at its limit")
}
