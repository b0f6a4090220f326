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
	"sardinespar.example/spar/fleet"
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

	backend atomic.Pointer[Backend]
	closing atomic.Bool
	flight  sync.WaitGroup
}

// New returns a guard without a backend server.
func New(
	self func() spar.NodeID, r *fleet.Replica, l spar.Lease, limiter admit.Limiter,
	client http.RoundTripper, clock spar.Clock,
) *Guard {
	return &Guard{
		self: self, replica: r, lease: l, limiter: limiter, client: client, clock: clock,
		gate: NewGate(self, r, clock, NoRecords{}), sharer: newSharer(clock, 0),
	}
}

// ShareReads lets queued identical reads of a key share one run whose body has at most maxBytes.
// It is called before the first call is served; 0 shares nothing.
func (g *Guard) ShareReads(maxBytes int) {
	g.sharer = newSharer(g.clock, maxBytes)
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

// Serve runs a call or says why not.
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

	if refusal, ok := g.check(c); !ok {
		return refusal
	}

	admitted := func(ctx context.Context, started func() bool) spar.Answer { return g.admit(ctx, *b, c, started) }
	if load := g.limiter.Load(); load.InFlight < load.Limit || !g.sharer.fits(c) {
		return admitted(ctx, alone)
	}

	return g.sharer.do(ctx, c, admitted)
}

// admit waits for a permit and runs the call; started is called when the wait is over.
func (g *Guard) admit(ctx context.Context, b Backend, c spar.Call, started func() bool) spar.Answer {
	done, reason := g.limiter.Acquire(ctx, c)

	started()

	if reason != spar.ReasonNone {
		return shed(reason)
	}

	if refusal, ok := g.check(c); !ok {
		done(0, true)

		return refusal
	}

	return g.run(ctx, b, c, done)
}

// check tells whether this node may run the call at this moment.
func (g *Guard) check(c spar.Call) (spar.Answer, bool) {
	if g.clock.Now() >= c.Deadline {
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run"), false
	}

	if c.Service.Mode != spar.ModeKeyed {
		return spar.Answer{}, true
	}

	if g.replica.View().Assignment(c.Service, c.Slot).Owner != g.self() {
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNotOwner, "slot %d is not owned here", c.Slot), false
	}

	if g.clock.Now() >= g.lease.Until() {
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNoLease, "this node holds no lease"), false
	}

	return spar.Answer{}, true
}

func shed(reason spar.Reason) spar.Answer {
	if reason == spar.ReasonDeadline {
		return spar.NotRun(http.StatusGatewayTimeout, reason, "deadline passed while waiting for a slot")
	}

	return spar.NotRun(http.StatusTooManyRequests, reason, "backend server is at its limit")
}
