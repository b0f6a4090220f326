// Package load sends open-loop traffic and records what became of each request.
package load

import (
	spar "sardinespar.example/spar"
)

// Result is what became of one request as its caller saw it.
type Result struct {
	Traffic string       `json:"traffic"`
	Service string       `json:"service"`
	Key     string       `json:"key"`
	Token   string       `json:"token,omitempty"`
	Outcome spar.Outcome `json:"outcome"`
	Status  int          `json:"status"`
	Reason  string       `json:"reason,omitempty"`
	Error   string       `json:"error,omitempty"`
	// Entry is the address of the node that the request was last sent to.
	Entry string `json:"entry"`
	// Sends counts how often the caller sent the request.
	Sends int `json:"sends"`
	// ArrivalMs, FirstMs and DoneMs are milliseconds since the start of the run: when the request
	// was due, when its answer began, and when the answer was complete.
	ArrivalMs float64 `json:"arrival_ms"`
	// SentMs is when the request was first sent to a VM that did not fail with it.
	SentMs  float64 `json:"sent_ms"`
	FirstMs float64 `json:"first_ms"`
	DoneMs  float64 `json:"done_ms"`
	// Mixed is set if the answer belongs to another request, Cut if it ended early but looked whole.
	Mixed bool `json:"mixed,omitempty"`
	Cut   bool `json:"cut,omitempty"`
	// Lost is set if a download began and did not end.
	Lost bool `json:"lost,omitempty"`
}

// Completed reports whether the caller got a backend server's whole answer.
func (r Result) Completed() bool {
	return r.Outcome == spar.OutcomeCompleted && !r.Lost
}

// LatencyMs returns the time from the moment the request was due to the whole answer.
func (r Result) LatencyMs() float64 {
	return r.DoneMs - r.ArrivalMs
}
