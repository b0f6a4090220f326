package spar

import (
	"fmt"
	"net/http"
)

// Answer is what one attempt at a call brought: a backend server's response, or a refusal.
type Answer struct {
	Response *http.Response
	Outcome  Outcome
	Reason   Reason
	Status   int
	Detail   string
	Owner    NodeID
	// Load is the load at the node that answered, if it told one.
	Load Load
	// Token is the token that the caller may use for its next non-idempotent call.
	Token string
}

// Completed returns the answer that carries a backend server's response. The receiver of the
// answer closes the body.
func Completed(r *http.Response, owner NodeID) Answer {
	return Answer{Response: r, Outcome: OutcomeCompleted, Status: r.StatusCode, Owner: owner}
}

// NotRun returns the answer to a call that no backend server ran.
func NotRun(status int, reason Reason, format string, args ...any) Answer {
	return Answer{
		Outcome: OutcomeNotRun, Status: status, Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// Uncertain returns the answer to a call that a backend server may have run.
func Uncertain(status int, reason Reason, format string, args ...any) Answer {
	return Answer{
		Outcome: OutcomeUnknown, Status: status, Reason: reason, Detail: fmt.Sprintf(format, args...),
	}
}

// WithOwner returns a with the node that answered.
func (a Answer) WithOwner(id NodeID) Answer {
	a.Owner = id

	return a
}

// WithLoad returns a with the load at the node that answered.
func (a Answer) WithLoad(l Load) Answer {
	a.Load = l

	return a
}

// WithToken returns a with the token for the caller's next call.
func (a Answer) WithToken(token string) Answer {
	a.Token = token

	return a
}

// Close releases the response, if there is one.
func (a Answer) Close() {
	if a.Response != nil {
		_ = a.Response.Body.Close()
	}
}
