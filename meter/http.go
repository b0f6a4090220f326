package meter

import (
	"expvar"
	"net/http"

	spar "sardinespar.example/spar"
)

// CountingHandler is an HTTP handler that counts the requests it passes to Inner: those of callers by outcome and
// refusal reason, those of other nodes as forwards.
type CountingHandler struct {
	Inner            http.Handler
	Outcomes         *Counters
	Refusals         *Counters
	ForwardsReceived *expvar.Int
}

// ServeHTTP passes the request to Inner and reads the outcome from the response headers.
func (h CountingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(spar.HeaderHop) != "" {
		h.ForwardsReceived.Add(1)
		h.Inner.ServeHTTP(w, r)

		return
	}

	// Deferred, because Inner panics to abort the caller's connection if a response is cut off.
	defer func() {
		h.Outcomes.Add(w.Header().Get(spar.HeaderOutcome))

		if reason := w.Header().Get(spar.HeaderReason); reason != "" {
			h.Refusals.Add(reason)
		}
	}()

	h.Inner.ServeHTTP(w, r)
}

// CountingTransport is a round tripper that counts the requests sent to other nodes.
type CountingTransport struct {
	Inner        http.RoundTripper
	ForwardsSent *expvar.Int
}

// RoundTrip sends a request through Inner.
func (t CountingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Header.Get(spar.HeaderHop) != "" {
		t.ForwardsSent.Add(1)
	}

	return t.Inner.RoundTrip(r)
}
