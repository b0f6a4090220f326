package meter

import (
	"expvar"
	"net/http"

	spar "sardinespar.example/spar"
)

// Entry is an HTTP handler that counts the requests it passes to Inner: those of callers by outcome and
// refusal reason, those of other nodes as forwards.
type Entry struct {
	Inner    http.Handler
	Outcomes *Counters
	Refusals *Counters
	Forwards *expvar.Int
}

// ServeHTTP passes the request to Inner and reads the outcome from the response headers.
func (e Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(spar.HeaderHop) != "" {
		e.Forwards.Add(1)
		e.Inner.ServeHTTP(w, r)

		return
	}

	// Deferred, because Inner panics to abort the caller's connection if a response is cut off.
	defer func() {
		e.Outcomes.Add(w.Header().Get(spar.HeaderOutcome))

		if reason := w.Header().Get(spar.HeaderReason); reason != "" {
			e.Refusals.Add(reason)
		}
	}()

	e.Inner.ServeHTTP(w, r)
}

// Sender is a round tripper that counts the requests sent to other nodes.
type Sender struct {
	Inner http.RoundTripper
	Sent  *expvar.Int
}

// RoundTrip sends a request through Inner.
func (s Sender) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(spar.HeaderHop) != "" {
		s.Sent.Add(1)
	}

	return s.Inner.RoundTrip(r)
}
