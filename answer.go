package spar

import (
	"fmt"
	"net/http"
)

// Answer is the result of one attempt at a call: a backend server's response, or a rejection.
type Answer struct {
	Response *http.Response
	Outcome  Outcome
	Reason   Reason
	Status   int
	Detail   string
	// Owner is the node that answered.
	Owner NodeID
	// Load is the load at the node that answered, if it reported one.
	Load Load
	// Token is the token that the caller may use for its next non-idempotent call.
	Token string
}

// Completed returns an answer that carries a backend server's response. The receiver of the
// answer must close the body.
func Completed(r *http.Response, owner NodeID) Answer {
	return Answer{Response: r, Outcome: OutcomeCompleted, Status: r.StatusCode, Owner: owner}
}

// NotRun returns an answer for a call that no backend server ran.
func NotRun(status int, reason Reason, format string, args ...any) Answer {
	return Answer{
		Outcome: OutcomeNotRun, Status: status, Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// UnknownOutcome returns an answer for a call with an unknown outcome: a backend server may have run it.
func UnknownOutcome(status int, reason Reason, format string, args ...any) Answer {
	return Answer{
		Outcome: OutcomeUnknown, Status: status, Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// WithOwner returns a copy of a with the node that answered.
func (a Answer) WithOwner(id NodeID) Answer {
	a.Owner = id

	return a
}

// WithLoad returns a copy of a with the load at the node that answered.
func (a Answer) WithLoad(l Load) Answer {
	a.Load = l

	return a
}

// WithToken returns a copy of a with the token for the caller's next non-idempotent call.
func (a Answer) WithToken(token string) Answer {
	a.Token = token

	return a
}

// Close closes the body of the response, if there is one.
func (a Answer) Close() {
	if a.Response != nil {
		_ = a.Response.Body.Close()
	}
}
