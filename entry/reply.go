package entry

import (
	"io"
	"net/http"
	"strconv"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

const (
	// oldRulesRetry is when a request comes back that was refused since the rules are old.
	oldRulesRetry spar.Millis = 300
	// retryAfterMost bounds the time that a refused caller is sent away for.
	retryAfterMost spar.Millis = 1000
)

// refusal is an answer of this node's own.
type refusal struct {
	status int
	cause  string
}

// deliver passes a backend server's answer on to the caller.
func (e *Entry) deliver(w http.ResponseWriter, r gate.Result) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}

	if e.deps.Closing() {
		h["Connection"] = []string{"close"}
	}

	e.buffers.copyAnswer(w, r)
}

// reject answers a request that can't be routed.
func (e *Entry) reject(w http.ResponseWriter, r *http.Request, bad refusal) {
	e.deps.Tally.Count("spar_entry_rejected_total")

	if _, ok := e.failed.Allow(); !ok {
		e.end(w, bad.status, bad.cause)

		return
	}

	e.deps.Log.Warn("request rejected", "id", r.Header.Get(e.cfg.Names.RequestID), "status", bad.status,
		"cause", bad.cause, "host", r.Host, "path", r.URL.Path)
	e.end(w, bad.status, bad.cause)
}

// refuseOldRules refuses a request that only rules which this node does not have yet can judge.
func (e *Entry) refuseOldRules(w http.ResponseWriter, r *http.Request, set *rules.Set, since spar.Millis) {
	e.deps.Tally.Count("spar_entry_" + string(spar.ReasonOldRules) + "_total")

	if left, ok := e.failed.Allow(); ok {
		e.deps.Log.Warn("request refused: rules are old", "id", r.Header.Get(e.cfg.Names.RequestID),
			"rules", set.Version, "behind_ms", int(since), "host", r.Host, "path", r.URL.Path, "left_out", left)
	}

	e.refuse(w, gate.Refused(spar.ReasonOldRules, oldRulesRetry))
}

// refuse answers a request that no backend server answered. Only a request that has not run gets the
// status that says so.
func (e *Entry) refuse(w http.ResponseWriter, result gate.Result) {
	status := http.StatusBadGateway

	switch {
	case result.Outcome == spar.OutcomeNotRun:
		status = http.StatusServiceUnavailable
		after := min(retryAfterMost, max(retryLeast, result.RetryAfter))
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(after)/1000, 'f', 3, 64))
	case result.Reason == spar.ReasonDeadline:
		status = http.StatusGatewayTimeout
	}

	e.end(w, status, string(result.Reason))
}

func (e *Entry) end(w http.ResponseWriter, status int, text string) {
	if e.deps.Closing() {
		w.Header().Set("Connection", "close")
	}

	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
