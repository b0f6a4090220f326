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
	// retryLeast is the shortest time after which a refused caller may come back.
	retryLeast spar.Millis = 50
	// lookAgain is the pause between two tries at the owner of a key, unless the map changes.
	lookAgain spar.Millis = 40
	// waitShare is the part of a request's objective for which it may wait for its key's owner.
	waitShare = 0.45
	// mostTries bounds the nodes that are asked for one request.
	mostTries = 4
)

// route sends a request until it is answered or nothing more may be done for it.
func (e *Entry) route(ctx context.Context, req gate.Request, rule rules.Rule) gate.Result {
	if req.Key != gate.NoKey {
		return e.routeKeyed(ctx, req, rule)
	}

	var (
		tried = map[string]bool{}
		sent  int
		last  = gate.Refused(spar.ReasonUnreachable, retryLeast)
		doubt bool
	)

	for range mostTries {
		c, ok := e.tracker.Best(e.candidates(req.Service), req.Kind, tried, e.deps.Clock.Now())
		if !ok {
			break
		}

		tried[c.Node] = true

		r := e.attempt(ctx, c, req)
		r.Tries = len(tried)

		if !e.again(ctx, req, rule, r, &sent) {
			return settle(r, doubt)
		}

		doubt = doubt || r.Outcome == spar.OutcomeUnknown
		last = r
	}

	return settle(last, doubt)
}

// settle returns the final result: after one attempt that may have run, a later refusal can't say that
// the request has not run.
func settle(r gate.Result, doubt bool) gate.Result {
	if doubt && r.Outcome == spar.OutcomeNotRun {
		r.Outcome = spar.OutcomeUnknown
	}

	return r
}

// again reports whether a request may be sent once more after a result, and takes what that costs.
func (e *Entry) again(ctx context.Context, req gate.Request, rule rules.Rule, r gate.Result, sent *int) bool {
	if ctx.Err() != nil {
		return false
	}

	if r.Arrived || r.Outcome == spar.OutcomeCompleted {
		*sent++
	}

	switch r.Outcome {
	case spar.OutcomeNotRun:
		return !r.Arrived || e.mayRepeat(req, rule, *sent)
	case spar.OutcomeUnknown:
		return req.Kind.Repeatable() && e.mayRepeat(req, rule, *sent)
	case spar.OutcomeCompleted:
		if r.Status < http.StatusInternalServerError || !req.Kind.Repeatable() || !e.mayRepeat(req, rule, *sent) {
			return false
		}

		_ = r.Body.Close()

		return true
	}

	return false
}

// mayRepeat takes a repeat from the budget, if the rule and the time allow one.
func (e *Entry) mayRepeat(req gate.Request, rule rules.Rule, sent int) bool {
	left := req.Deadline - e.deps.Clock.Now()

	return sent < max(1, rule.Attempts) && left > retryLeast && e.budget.Spend(req.Service)
}

// attempt sends a request to one node.
func (e *Entry) attempt(ctx context.Context, c Candidate, req gate.Request) gate.Result {
	e.tracker.Begin(c.Node)
	start := e.deps.Clock.Now()
	r := e.send(ctx, c, req)
	r.Node = c.Node
	e.deps.Tally.Observe("spar_entry_attempt_ms", e.deps.Clock.Now()-start)
	failed := r.Arrived || r.Outcome == spar.OutcomeCompleted && r.Status >= http.StatusInternalServerError
	e.tracker.End(c.Node, failed && ctx.Err() == nil)

	if !c.Local && r.Reason == spar.ReasonUnreachable && ctx.Err() == nil {
		e.tracker.Shun(c.Node, e.deps.Clock.Now())
	}

	return r
}

// candidates returns the nodes whose backend servers may serve a service.
func (e *Entry) candidates(service string) []Candidate {
	now := e.deps.Clock.Now()
	silence := e.deps.Mesh.Silence()

	var list []Candidate

	if u := e.deps.Gate.Upstream(); u.Service == service && u.Ready && !u.Down && !e.deps.Evacuated(e.cfg.Zone) {
		list = append(list, Candidate{
			Node: e.cfg.Node, Life: u.Life.ID, Local: true, Near: true, Cold: u.Cold(now), Load: e.deps.Gate.Load(),
		})
	}

	for _, p := range e.deps.Mesh.Peers() {
		if p.Service == service && p.Ready && p.Alive(now, silence) && !e.deps.Evacuated(p.Zone) {
			list = append(list, Candidate{
				Node: p.Node, Addr: p.Inbound, Life: p.Life.ID, Near: p.Zone == e.cfg.Zone,
				Cold: p.ColdMS > now-p.Heard, Load: p.Load,
			})
		}
	}

	return list
}

// routeKeyed sends a request to the owner of its key. While the key has none that takes it, the request
// waits for a part of its objective, since a move takes about that long.
func (e *Entry) routeKeyed(ctx context.Context, req gate.Request, rule rules.Rule) gate.Result {
	var (
		start = e.deps.Clock.Now()
		until = start + (req.Objective-start)*waitShare
		sent  int
		tries int
		doubt bool
		last  = gate.Refused(spar.ReasonNoOwner, retryLeast)
	)

	for {
		changed := e.deps.Maps.Changed()

		c, missing := e.ownerOf(req)
		if missing == "" {
			tries++
			r := e.attempt(ctx, c, req)
			r.Tries = tries

			if !e.again(ctx, req, rule, r, &sent) || r.Reason == spar.ReasonShed && !r.Arrived {
				return settle(r, doubt)
			}

			doubt = doubt || r.Outcome == spar.OutcomeUnknown
			last = r
		} else {
			last.Detail = missing
		}

		if e.deps.Clock.Now() >= until || !e.pause(ctx, changed) {
			return settle(withSpread(last), doubt)
		}
	}
}

// withSpread spreads the return of callers whose key has no owner over the time that a move takes.
func withSpread(r gate.Result) gate.Result {
	const least, spread = 100, 300

	r.RetryAfter = max(r.RetryAfter, least+spar.Millis(rand.IntN(spread)))

	return r
}

// ownerOf returns the node that owns a request's key, or what is missing to send the request there.
func (e *Entry) ownerOf(req gate.Request) (c Candidate, missing string) {
	owner, ok := e.deps.Maps.Find(req.Service, req.Key)
	if !ok {
		return Candidate{}, "key without an owner"
	}

	if owner.Node == e.cfg.Node {
		return Candidate{Node: owner.Node, Life: owner.Life.ID, Local: true}, ""
	}

	p, ok := e.deps.Mesh.Peer(owner.Node)

	switch {
	case !ok || p.Inbound == "":
		return Candidate{}, "owner " + owner.Node + " has not been heard"
	case e.tracker.Shunned(owner.Node, e.deps.Clock.Now()):
		return Candidate{}, "owner " + owner.Node + " could not be reached"
	}

	return Candidate{Node: p.Node, Addr: p.Inbound, Life: owner.Life.ID}, ""
}

// pause waits for a change of the maps, or a short while.
func (e *Entry) pause(ctx context.Context, changed <-chan struct{}) bool {
	t := e.deps.Clock.Timer(lookAgain)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}

	return true
}
