// Package gate admits requests to the one backend server on this VM and runs them there.
package gate

import (
	"io"
	"net/http"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/rules"
)

// NoKey is the key of a request without a key.
const NoKey = -1

// Request is one attempt to run a caller's request at a backend server. Times are those of the local clock.
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
	// Tenant is the name of the tenant that sent the request; empty if there is none.
	Tenant   string
	Deadline spar.Millis
	// BodyGrace is how long after Deadline the rest of a response may still arrive whose header has arrived in time. It
	// is 0 for requests of other nodes.
	BodyGrace spar.Millis
	// Objective is the time after which the response is of little use to the caller.
	Objective spar.Millis
	// Pipelined reports whether responses to later requests of the caller's connection wait for this one.
	Pipelined bool
	// InstanceID is the instance id of the backend server that must run the request; empty means any.
	InstanceID string
}

// Result is the result of an attempt. Body is set if the outcome is completed.
type Result struct {
	Outcome spar.Outcome
	Reason  spar.Reason
	Status  int
	Header  http.Header
	Body    io.ReadCloser
	// Length is the length of the body, or -1.
	Length int64
	// Whole reports whether the complete body is in memory.
	Whole bool
	// RetryAfter is the time after which a refused request may be retried.
	RetryAfter spar.Millis
	// ReachedServer reports whether the request reached a backend server, which then refused it or may have run it.
	ReachedServer bool
	// Attempts is the number of nodes that the request was sent to.
	Attempts int
	// Service and Node are the target of the last attempt, for the log.
	Service string
	Node    string
	// Detail describes the cause for the log; it is also passed between nodes.
	Detail string
}

// Discard closes the response of a result that is not passed on.
func (r Result) Discard() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// Refused returns the result of a request that has not run.
func Refused(reason spar.Reason, after spar.Millis) Result {
	return Result{Outcome: spar.OutcomeNotRun, Reason: reason, RetryAfter: after}
}

// UnknownOutcome returns the result of a request with an unknown outcome: it may have run.
func UnknownOutcome(reason spar.Reason, detail string) Result {
	return Result{Outcome: spar.OutcomeUnknown, Reason: reason, Detail: detail, ReachedServer: true}
}
