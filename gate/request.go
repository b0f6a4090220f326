// Package gate decides what the one backend server beside this node may run, and when, and runs it.
package gate

import (
	"io"
	"net/http"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/rules"
)

// NoKey marks a request without a key.
const NoKey = -1

// Request is one attempt of a caller at a backend server. Times are on the local clock.
type Request struct {
	ID       string
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     []byte
	Service  string
	Caller   string
	Key      int
	Kind     rules.Kind
	Priority int
	Deadline spar.Millis
	// Objective is when the answer loses most of its worth to the caller.
	Objective spar.Millis
	// Life names the backend server that the sender means; empty means any.
	Life string
}

// Result is what became of an attempt. Body is set if the outcome is completed.
type Result struct {
	Outcome spar.Outcome
	Reason  spar.Reason
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// Length is the length of the body, or -1.
	Length int64
	// RetryAfter is when a refused request may come back.
	RetryAfter spar.Millis
	// Arrived says that the request reached a backend server, which then refused it or may have run it.
	Arrived bool
	// Tries is the number of nodes that were asked.
	Tries int
	// Service and Node are where the last attempt went, for the log.
	Service string
	Node    string
	// Detail is for the log.
	Detail string
}

// Refused returns the result of a request that has not run.
func Refused(reason spar.Reason, after spar.Millis) Result {
	return Result{Outcome: spar.OutcomeNotRun, Reason: reason, RetryAfter: after}
}

// Doubtful returns the result of a request that may have run.
func Doubtful(reason spar.Reason, detail string) Result {
	return Result{Outcome: spar.OutcomeUnknown, Reason: reason, Detail: detail, Arrived: true}
}
