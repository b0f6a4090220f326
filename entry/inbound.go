package entry

import (
	"io"
	"net/http"
	"strconv"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
)

// Inbound serves the requests that other nodes send for the backend server beside this one.
type Inbound struct {
	gate      *gate.Gate
	clock     spar.Clock
	log       *log.Logger
	bodyBytes int64
	buffers   *copyBuffers
}

// NewInbound returns a handler over a gate.
func NewInbound(g *gate.Gate, clock spar.Clock, l *log.Logger, bodyBytes int64) *Inbound {
	return &Inbound{gate: g, clock: clock, log: l, bodyBytes: bodyBytes, buffers: newCopyBuffers()}
}

// ServeHTTP runs a request and answers with its result.
func (i *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, i.bodyBytes+1))
	if err != nil || int64(len(body)) > i.bodyBytes {
		i.log.Warn("request of a node can't be read", "bytes", len(body), "cause", err)
		i.write(w, r.Header.Get(hopID), gate.Refused(spar.ReasonBadRequest, 0))

		return
	}

	req, err := decodeHop(r, body, i.clock.Now())
	if err != nil {
		i.log.Warn("request of a node can't be decoded", "cause", err)
		i.write(w, r.Header.Get(hopID), gate.Refused(spar.ReasonBadRequest, 0))

		return
	}

	i.write(w, req.ID, i.gate.Serve(r.Context(), req))
}

func (i *Inbound) write(w http.ResponseWriter, id string, r gate.Result) {
	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}

	h[hopID] = []string{id}
	h[spar.HeaderOutcome] = []string{string(r.Outcome)}
	h[spar.HeaderLoad] = []string{encodeLoad(i.gate.Load())}

	if r.Outcome == spar.OutcomeCompleted {
		i.buffers.copyAnswer(w, r)

		return
	}

	h[spar.HeaderReason] = []string{string(r.Reason)}
	h[hopRetryAfter] = []string{strconv.Itoa(int(r.RetryAfter))}

	if r.Detail != "" {
		h[hopDetail] = []string{r.Detail}
	}

	if r.Arrived {
		h[hopArrived] = []string{"1"}
	}

	w.WriteHeader(http.StatusServiceUnavailable)
}
