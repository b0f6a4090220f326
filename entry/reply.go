package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

const (
	// staleRulesRetryAfter is the retry delay of a request that is refused because the rules are stale.
	staleRulesRetryAfter spar.Millis = 300
	// memoryRetryAfter is the retry delay of a request for whose body there is no memory.
	memoryRetryAfter spar.Millis = 300
	// maxRetryAfter is the longest retry delay that is sent to a refused caller.
	maxRetryAfter spar.Millis = 1000
)

// rejection is the response to a request that this node can't route.
type rejection struct {
	status int
	cause  string
}

// dependsOnRules reports whether newer rules may serve the request: they may contain the missing route or key.
func (r rejection) dependsOnRules() bool {
	return r.status == http.StatusNotFound || r.status == http.StatusUnauthorized
}

// deliver passes a backend server's response on to the caller. If it ends early, the caller's connection is aborted.
func (e *Entry) deliver(w http.ResponseWriter, req gate.Request, response *prefetched) {
	h := w.Header()
	for name, values := range response.result.Header {
		h[name] = values
	}

	if e.deps.Closing() {
		h["Connection"] = []string{"close"}
	}

	err := response.send(w)
	if err == nil {
		return
	}

	if !errors.Is(err, errReceiver) {
		e.deps.Tally.Count("spar_entry_cut_total")
		e.logCut(req, response.result, err)
	}

	panic(http.ErrAbortHandler)
}

// logCut logs that a response ended after a part of it had been sent.
func (e *Entry) logCut(req gate.Request, r gate.Result, cause error) {
	if dropped, ok := e.failedLog.Allow(); ok {
		e.deps.Log.Warn("response cut", "id", req.ID, "service", req.Service, "node", r.Node, "status", r.Status,
			"bytes", r.Length, "left_ms", int(req.Deadline-e.deps.Clock.Now()), "cause", cause, "left_out", dropped)
	}
}

// reject responds to a request that can't be routed.
func (e *Entry) reject(w http.ResponseWriter, r *http.Request, bad rejection) {
	e.deps.Tally.Count("spar_entry_rejected_total")

	if bad.status == http.StatusServiceUnavailable {
		setRetryAfter(w, memoryRetryAfter)
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
	}

	if bad.status == http.StatusUnauthorized {
		e.deps.Tally.Count("spar_entry_unauthorized_total")
	}

	if _, ok := e.failedLog.Allow(); !ok {
		e.writeText(w, bad.status, bad.cause)

		return
	}

	e.deps.Log.Warn("request rejected", "id", r.Header.Get(e.cfg.Names.RequestID), "status", bad.status,
		"cause", bad.cause, "host", r.Host, "path", r.URL.Path)
	e.writeText(w, bad.status, bad.cause)
}

// refuseStaleRules refuses a request that may be subject to newer rules, which this node has not yet received.
func (e *Entry) refuseStaleRules(w http.ResponseWriter, r *http.Request, set *rules.Set, lag spar.Millis) {
	e.deps.Tally.Count("spar_entry_" + string(spar.ReasonOldRules) + "_total")

	if dropped, ok := e.failedLog.Allow(); ok {
		e.deps.Log.Warn("request refused: rules are stale", "id", r.Header.Get(e.cfg.Names.RequestID),
			"rules", set.Version, "behind_ms", int(lag), "host", r.Host, "path", r.URL.Path, "left_out", dropped)
	}

	e.refuse(w, staleRulesRefusal())
}

// staleRulesRefusal returns the refusal of a request that may be subject to newer rules.
func staleRulesRefusal() gate.Result {
	return gate.Refused(spar.ReasonOldRules, staleRulesRetryAfter)
}

// refuse responds to a request that no backend server answered. Only a request that certainly has not run
// gets status 503, or 429 if its tenant has used up its quota, and Retry-After.
func (e *Entry) refuse(w http.ResponseWriter, result gate.Result) {
	status, after := refusalStatus(result)
	if after > 0 {
		setRetryAfter(w, after)
	}

	e.writeText(w, status, string(result.Reason))
}

// refusalStatus returns the status and the retry delay of the response to a request that no backend server answered.
// The delay is 0 if the request may have run.
func refusalStatus(result gate.Result) (status int, after spar.Millis) {
	switch {
	case result.Outcome == spar.OutcomeNotRun:
		after = max(minRetryAfter, result.RetryAfter)

		switch result.Reason {
		case spar.ReasonQuarantined:
			// A quarantine lasts longer than any shortage.
			return http.StatusServiceUnavailable, after
		case spar.ReasonQuota:
			// A shorter delay for some would bring their retries together.
			return http.StatusTooManyRequests, after
		default:
			return http.StatusServiceUnavailable, min(maxRetryAfter, after)
		}
	case result.Reason == spar.ReasonDeadline:
		return http.StatusGatewayTimeout, 0
	}

	return http.StatusBadGateway, 0
}

func setRetryAfter(w http.ResponseWriter, after spar.Millis) {
	w.Header().Set("Retry-After", strconv.FormatFloat(float64(after)/1000, 'f', 3, 64))
}

// writeText writes a response that consists of a status and a line of text.
func (e *Entry) writeText(w http.ResponseWriter, status int, text string) {
	if e.deps.Closing() {
		w.Header().Set("Connection", "close")
	}

	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
