package meter

import (
	"expvar"
	"net/http"

	spar "sardinespar.example/spar"
)

// Entry counts the requests that a handler answers: callers' by outcome, other nodes' as forwards.
type Entry struct {
	Inner    http.Handler
	Outcomes *Counters
	Refusals *Counters
	Forwards *expvar.Int
}

// ServeHTTP passes the request on and reads the outcome from the answer's headers.
func (e Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(spar.HeaderHop) != "" {
		e.Forwards.Add(1)
		e.Inner.ServeHTTP(w, r)

		return
	}

	// Deferred, because a cut answer ends in a panic that aborts the caller's connection.
	defer func() {
		e.Outcomes.Add(w.Header().Get(spar.HeaderOutcome))

		if reason := w.Header().Get(spar.HeaderReason); reason != "" {
			e.Refusals.Add(reason)
		}
	}()

	e.Inner.ServeHTTP(w, r)
}

// Sender counts the requests sent to other nodes.
type Sender struct {
	Inner http.RoundTripper
	Sent  *expvar.Int
}

// RoundTrip sends a request.
func (s Sender) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(spar.HeaderHop) != "" {
		s.Sent.Add(1)
	}

	return s.Inner.RoundTrip(r)
}
