// Package guard is the serving side of a call. It checks whether this node may run the call, and runs it on the
// backend server on the node's VM.
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

// Backend is the registered backend server on this node's VM.
type Backend struct {
	Addr string
	// ChecksGrants is true if the server itself refuses calls with a lower epoch than the highest it has seen for
	// the slot. Runs are then not canceled when the node loses the slot.
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
	memory  memoryBudget

	backend  atomic.Pointer[Backend]
	draining atomic.Bool
	inFlight sync.WaitGroup
}

// New returns a guard with an empty ledger and without a backend server or quarantine.
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

// ShareReads lets identical reads of a key that wait for admission share one run if the body of its answer has at
// most maxBytes bytes; 0 disables sharing. It must be called before the first call is served.
func (g *Guard) ShareReads(maxBytes int) {
	g.sharer = newSharer(g.clock, maxBytes)
}

// SetQuarantine sets the quarantine of crashing calls and returns g. It must be called before the guard is used.
func (g *Guard) SetQuarantine(q *crash.Quarantine) *Guard {
	g.crashes = q

	return g
}

// Ledger returns the records of the slots that this node owns.
func (g *Guard) Ledger() *ledger.Ledger {
	return g.ledger
}

// SetBackend sets the backend server, or removes it if b is nil.
func (g *Guard) SetBackend(b *Backend) {
	g.health.record(true, nil, 0)
	g.backend.Store(b)
}

// Drain refuses new calls and waits until those in flight have ended or ctx is done.
func (g *Guard) Drain(ctx context.Context) {
	g.draining.Store(true)

	done := make(chan struct{})
	go g.loop(done)

	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (g *Guard) loop(done chan<- struct{}) {
	g.inFlight.Wait()
	close(done)
}

// Serve runs a call or returns a refusal. It waits for the end of a non-idempotent run even if ctx is done, so that
// the run stays counted as a call in flight.
func (g *Guard) Serve(ctx context.Context, c spar.Call) spar.Answer {
	g.inFlight.Add(1)

	a := g.serveThroughGate(ctx, c)
	if a.Response == nil {
		g.inFlight.Done()
	} else {
		a.Response.Body = onClose(a.Response.Body, g.inFlight.Done)
	}

	return a.WithOwner(g.self()).WithLoad(g.limiter.Load())
}

func (g *Guard) serve(ctx context.Context, c spar.Call) spar.Answer {
	b := g.backend.Load()
	if b == nil || g.draining.Load() {
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonLeaving, "no backend server takes calls here")
	}

	a, refusal, ok := g.checkOwnership(c)
	if !ok {
		return refusal
	}

	if !c.Idempotent {
		return g.serveOnce(ctx, *b, c, a)
	}

	return g.admit(ctx, *b, c, a)
}

// admit runs the call when the limiter admits it, provided that its slot is still assigned as before. Identical
// reads that wait for admission may share one run.
func (g *Guard) admit(ctx context.Context, b Backend, c spar.Call, before spar.Assignment) spar.Answer {
	if refusal, ok := g.checkQuarantine(c); !ok {
		return refusal
	}

	enter := func(ctx context.Context, started func() bool) spar.Answer {
		return g.acquireAndRun(ctx, b, c, before, started)
	}

	if load := g.limiter.Load(); load.InFlight < load.Limit || !g.sharer.canShare(c) {
		return enter(ctx, notShared)
	}

	return g.sharer.do(ctx, c, enter)
}

// acquireAndRun waits for a permit, calls started, and runs the call.
func (g *Guard) acquireAndRun(
	ctx context.Context, b Backend, c spar.Call, before spar.Assignment, started func() bool,
) spar.Answer {
	done, reason := g.limiter.Acquire(ctx, c)

	started()

	if reason != spar.ReasonNone {
		return admissionRefusal(reason)
	}

	a, refusal, ok := g.checkOwnership(c)
	if ok && a != before {
		refusal, ok = notOwner(c), false
	}

	if ok {
		refusal, ok = g.checkQuarantine(c)
	}

	if !ok {
		done(0, true)

		return refusal
	}

	if g.crashes != nil && g.crashes.ClaimAttempt(ctx, c) {
		c = c.WithTrial()
	}

	return g.run(ctx, b, c, a, done)
}

// checkOwnership checks whether this node may run the call now. It returns the slot's assignment or a refusal.
func (g *Guard) checkOwnership(c spar.Call) (spar.Assignment, spar.Answer, bool) {
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

	// If the node registered again between the two reads, the old id must not pass with the new lease.
	if g.clock.Now() >= g.lease.Until() || g.self() != self {
		return none, spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNoLease, "this node holds no lease"), false
	}

	return a, spar.Answer{}, true
}

func notOwner(c spar.Call) spar.Answer {
	return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNotOwner, "slot %d is not owned here", c.Slot)
}

// admissionRefusal returns the refusal of a call that got no permit.
func admissionRefusal(reason spar.Reason) spar.Answer {
	if reason == spar.ReasonDeadline {
		return spar.NotRun(http.StatusGatewayTimeout, reason, "deadline passed while waiting for a slot")
	}

	return spar.NotRun(http.StatusTooManyRequests, reason, "backend server is at its limit")
}
