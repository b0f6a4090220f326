// Package load sends open-loop traffic and records the result of each request.
package load

import (
	spar "sardinespar.example/spar"
)

// Result is the result of one request as its caller saw it.
type Result struct {
	Traffic string       `json:"traffic"`
	Service string       `json:"service"`
	Key     string       `json:"key"`
	Token   string       `json:"token,omitempty"`
	Outcome spar.Outcome `json:"outcome"`
	Status  int          `json:"status"`
	Reason  string       `json:"reason,omitempty"`
	Error   string       `json:"error,omitempty"`
	// Entry is the address of the node to which the request was last sent.
	Entry string `json:"entry"`
	// Sends is the number of attempts.
	Sends int `json:"sends"`
	// ArrivalMs, FirstMs and DoneMs are milliseconds since the start of the run: when the request
	// was due, when its response began, and when its response was complete.
	ArrivalMs float64 `json:"arrival_ms"`
	// SentMs is when the request was first sent to a VM that did not fail during that attempt.
	SentMs  float64 `json:"sent_ms"`
	FirstMs float64 `json:"first_ms"`
	DoneMs  float64 `json:"done_ms"`
	// Mismatched is set if the response belongs to another request, Truncated if it ended early
	// without an error.
	Mismatched bool `json:"mixed,omitempty"`
	Truncated  bool `json:"cut,omitempty"`
	// Lost is set if a download began and ended with an error.
	Lost bool `json:"lost,omitempty"`
}

// Completed reports whether the outcome is completed and the response did not end with an error.
func (r Result) Completed() bool {
	return r.Outcome == spar.OutcomeCompleted && !r.Lost
}

// LatencyMs returns the time from the moment the request was due until its response was complete.
func (r Result) LatencyMs() float64 {
	return r.DoneMs - r.ArrivalMs
}
