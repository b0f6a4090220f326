package entry

import (
	"context"
	"math/rand/v2"
	"net/http"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

const (
	// minRetryAfter is the shortest retry delay that is sent to a refused caller. A node itself resends a request
	// that may have reached a backend server only if more than this time remains until the deadline.
	minRetryAfter spar.Millis = 50
	// ownerRetryInterval is the delay between two attempts at the owner of a key, unless a map changes earlier.
	ownerRetryInterval spar.Millis = 40
	// ownerWaitShare is the part of the time to its objective for which a request may wait for its key's owner.
	ownerWaitShare = 0.45
	// maxAttempts is the maximum number of nodes to which one request without a key is sent.
	maxAttempts = 4
)

// routeAdmitted routes a request, or refuses it if the process is about to end, the request crashes backend servers, or
// its tenant has used up its quota.
func (e *Entry) routeAdmitted(ctx context.Context, req gate.Request, rule rules.Rule) gate.Result {
	// The process may have begun to end while the request waited for its body or its turn.
	if e.deps.Closed() {
		return gate.Refused(spar.ReasonLeaving, minRetryAfter)
	}

	if after, quarantined := e.deps.Quarantined(req); quarantined {
		return gate.Refused(spar.ReasonQuarantined, after)
	}

	d, refusal, ok := e.begin(ctx, req)
	if !ok {
		return refusal
	}
	defer d.end()

	return e.route(ctx, req, rule, d)
}

// route sends a request to one node after another until it is answered or may not be sent again.
func (e *Entry) route(ctx context.Context, req gate.Request, rule rules.Rule, d *delivery) gate.Result {
	if req.Key != gate.NoKey {
		return e.routeKeyed(ctx, req, rule, d)
	}

	var (
		tried   = map[string]bool{}
		last    = gate.Refused(spar.ReasonUnreachable, minRetryAfter)
		earlier history
	)

	for len(tried) < maxAttempts {
		c, ok := e.choose(req, tried)
		if !ok || !e.takeRetry(ctx, req, last, d) {
			break
		}

		earlier.add(last)

		tried[c.Node] = true
		last = e.attempt(ctx, c, req, d)
		last.Attempts = len(tried)

		if !e.mayRetry(ctx, req, rule, last, d) {
			break
		}
	}

	return earlier.final(last)
}

// choose returns the node for the next attempt of a request without a key.
func (e *Entry) choose(req gate.Request, tried map[string]bool) (Candidate, bool) {
	candidates, now := e.candidates(req.Service), e.deps.Clock.Now()
	if e.cfg.SpreadByReports {
		return e.tracker.Spread(candidates, req.Kind, tried, now)
	}

	return e.tracker.Best(candidates, req.Kind, tried, now)
}

// attempt sends a request to one node and records the result.
func (e *Entry) attempt(ctx context.Context, c Candidate, req gate.Request, d *delivery) gate.Result {
	e.tracker.Begin(c.Node)
	start := e.deps.Clock.Now()
	r := e.send(ctx, c, req)
	r.Node = c.Node
	e.recordAttempt(req, r, d)
	e.deps.Tally.Observe("spar_entry_attempt_ms", e.deps.Clock.Now()-start)
	failed := r.ReachedServer || r.Outcome == spar.OutcomeCompleted && r.Status >= http.StatusInternalServerError
	e.tracker.End(c.Node, failed && ctx.Err() == nil)

	if !c.Local && r.Reason == spar.ReasonUnreachable && ctx.Err() == nil {
		e.tracker.Eject(c.Node, e.deps.Clock.Now())
	}

	return r
}

// routeKeyed sends a request to the owner of its key. While no owner accepts it, the request waits for a part
// of the time to its objective, since moving a key to another server takes about that long.
func (e *Entry) routeKeyed(ctx context.Context, req gate.Request, rule rules.Rule, d *delivery) gate.Result {
	var (
		start    = e.deps.Clock.Now()
		until    = start + ownerWait(req, start)
		attempts int
		last     = gate.Refused(spar.ReasonNoOwner, minRetryAfter)
		earlier  history
	)

	for {
		changed := e.deps.Maps.Changed()
		c, missing := e.ownerOf(req)

		switch {
		case missing != "":
			last.Detail = missing
		case !e.takeRetry(ctx, req, last, d):
			return earlier.final(last)
		default:
			earlier.add(last)

			attempts++
			last = e.attempt(ctx, c, req, d)
			last.Attempts = attempts

			if !e.mayRetry(ctx, req, rule, last, d) || last.Reason == spar.ReasonShed && !last.ReachedServer {
				return earlier.final(last)
			}
		}

		if e.deps.Clock.Now() >= until || !e.awaitMapChange(ctx, changed) {
			return earlier.final(withJitter(last))
		}
	}
}

// ownerWait returns how long a request that arrives now may wait for the owner of its key.
func ownerWait(req gate.Request, now spar.Millis) spar.Millis {
	return (req.Objective - now) * ownerWaitShare
}

// withJitter spreads the retries of callers whose key has no owner over the time that moving a key takes.
func withJitter(r gate.Result) gate.Result {
	const minDelay, jitter = 100, 300

	r.RetryAfter = max(r.RetryAfter, minDelay+spar.Millis(rand.IntN(jitter)))

	return r
}

// ownerOf returns the node that owns a request's key, or the reason why the request can't be sent there.
func (e *Entry) ownerOf(req gate.Request) (c Candidate, missing string) {
	owner, ok := e.deps.Maps.Find(req.Service, req.Key)
	if !ok {
		return Candidate{}, "key has no owner"
	}

	if owner.Node == e.cfg.Node {
		return Candidate{Node: owner.Node, InstanceID: owner.Incarnation.ID, Local: true}, ""
	}

	p, ok := e.deps.Mesh.Peer(owner.Node)

	switch {
	case !ok || p.InboundAddr == "":
		return Candidate{}, "owner " + owner.Node + " has no known address"
	case e.tracker.Ejected(owner.Node, e.deps.Clock.Now()):
		return Candidate{}, "owner " + owner.Node + " is ejected as unreachable"
	}

	return Candidate{Node: p.Node, Addr: p.InboundAddr, InstanceID: owner.Incarnation.ID}, ""
}

// awaitMapChange waits for a change of the maps of owners, at most for ownerRetryInterval. It returns false if
// ctx has ended.
func (e *Entry) awaitMapChange(ctx context.Context, changed <-chan struct{}) bool {
	t := e.deps.Clock.Timer(ownerRetryInterval)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}

	return true
}
