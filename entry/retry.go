package entry

import (
	"context"
	"net/http"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

// A result remains the result of its request until a further attempt begins: only then is its response discarded. A
// retry is taken from the budget once nothing else is missing for the attempt, and returned if the attempt reaches no
// backend server.

// mayRetry reports whether a request may be sent again after a result.
func (e *Entry) mayRetry(ctx context.Context, req gate.Request, rule rules.Rule, r gate.Result, d *delivery) bool {
	switch {
	case ctx.Err() != nil || r.Reason == spar.ReasonQuarantined:
		return false
	case !needsRetry(r):
		return true
	case r.Outcome == spar.OutcomeCompleted && r.Status < http.StatusInternalServerError:
		return false
	case r.Outcome != spar.OutcomeNotRun && !req.Kind.Repeatable():
		return false
	}

	remaining := req.Deadline - e.deps.Clock.Now()

	return d.sent < max(1, rule.Attempts) && remaining > minRetryAfter && e.retries.Available(req.Service)
}

// needsRetry reports whether a further attempt after a result takes a retry from the budget.
func needsRetry(r gate.Result) bool {
	return r.Outcome != spar.OutcomeNotRun || r.ReachedServer
}

// takeRetry takes a retry from the budget, and a credit of the tenant's quota, if a further attempt after a result
// needs them. It takes both or none.
func (e *Entry) takeRetry(ctx context.Context, req gate.Request, r gate.Result, d *delivery) bool {
	if !needsRetry(r) {
		return true
	}

	if !e.retries.Spend(req.Service) {
		return false
	}

	if !d.renew(ctx, req.Objective) {
		e.retries.Return(req.Service)

		return false
	}

	d.retrying = true

	return true
}

// recordAttempt records the result of an attempt. It returns the attempt's retry if no backend server was reached.
func (e *Entry) recordAttempt(req gate.Request, r gate.Result, d *delivery) {
	d.record(r)

	if d.retrying && !needsRetry(r) {
		e.retries.Return(req.Service)
	}

	d.retrying = false
}
