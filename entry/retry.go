package entry

import (
	"context"
	"net/http"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

// A result remains the result of its request until a further attempt begins. A retry is taken from the budget once
// nothing else is missing for the attempt, and returned if the attempt reaches no backend server.

// history is what the earlier attempts of a request leave for its final result.
type history struct {
	// mayHaveRun is true if an attempt has run the request, or may have.
	mayHaveRun bool
	// failure is the last server error that is kept; nil if there is none.
	failure *gate.Result
}

// add takes over the result of an attempt when a further one begins. It keeps a short server error and discards any
// other response.
func (h *history) add(r gate.Result) {
	h.mayHaveRun = h.mayHaveRun || r.Outcome != spar.OutcomeNotRun

	if r.Outcome == spar.OutcomeCompleted && r.Whole && r.Length <= pieceBytes {
		h.failure = &r
	} else {
		r.Discard()
	}
}

// final returns the result of all attempts, of which last is that of the last one. If that one is not completed, it is
// the server error of an earlier one. If an earlier one may have run, a refusal doesn't prove that the request has not.
func (h *history) final(last gate.Result) gate.Result {
	switch {
	case last.Outcome == spar.OutcomeCompleted:
	case h.failure != nil:
		failure := *h.failure
		failure.Attempts = last.Attempts

		return failure
	case h.mayHaveRun && last.Outcome == spar.OutcomeNotRun:
		last.Outcome = spar.OutcomeUnknown
	}

	return last
}

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
	if d.sent >= max(1, rule.Attempts) || remaining <= minRetryAfter {
		return false
	}

	available := e.retries.Available(req.Service)
	if !available {
		e.deps.Tally.Count("spar_entry_retries_refused_total")
	}

	return available
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
	e.deps.Tally.Count("spar_entry_retries_total")

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
