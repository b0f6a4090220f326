package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/rules"
)

// responseHeadBytes is the usual size in bytes of the header of a response between nodes.
const responseHeadBytes = 400

// Inbound serves the requests that other nodes send to the backend server of this VM.
type Inbound struct {
	gate         *gate.Gate
	link         *pace.Link
	clock        spar.Clock
	log          *log.Logger
	maxBodyBytes int64
	buffers      *copyBufferPool
}

// NewInbound returns a handler that passes requests to a gate and paces responses over the VM's link.
func NewInbound(g *gate.Gate, link *pace.Link, clock spar.Clock, l *log.Logger, maxBodyBytes int64) *Inbound {
	return &Inbound{gate: g, link: link, clock: clock, log: l, maxBodyBytes: maxBodyBytes, buffers: newCopyBufferPool()}
}

// ServeHTTP runs a request and sends its result back.
func (i *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, i.maxBodyBytes+1))
	if err != nil || int64(len(body)) > i.maxBodyBytes {
		i.log.Warn("cannot read request from node", "bytes", len(body), "cause", err)
		i.write(w, r.Header.Get(hopID), gate.Refused(spar.ReasonBadRequest, 0))

		return
	}

	req, err := decodeHop(r, body, i.clock.Now())
	if err != nil {
		i.log.Warn("cannot decode request from node", "cause", err)
		i.write(w, r.Header.Get(hopID), gate.Refused(spar.ReasonBadRequest, 0))

		return
	}

	i.write(w, req.ID, i.serve(r.Context(), req))
}

// serve runs a request. A download is refused if the link could not send its response by the request's objective.
func (i *Inbound) serve(ctx context.Context, req gate.Request) gate.Result {
	if req.Kind != rules.Download {
		r := i.gate.Serve(ctx, req)
		i.link.Record(max(0, r.Length))

		return r
	}

	t, after, ok := i.link.Reserve(req.Objective)
	if !ok {
		r := gate.Refused(spar.ReasonShed, after)
		r.Detail = "link is busy"

		return r
	}

	r := i.gate.Serve(ctx, req)
	if r.Outcome != spar.OutcomeCompleted {
		t.Close(false)

		return r
	}

	t.Resize(r.Length)
	r.Body = &pacedBody{ReadCloser: r.Body, ctx: ctx, transfer: t}

	return r
}

// pacedBody reads a response no faster than the link can send it.
type pacedBody struct {
	io.ReadCloser

	ctx      context.Context //nolint:containedctx // Read has no context of its own.
	transfer *pace.Transfer
	complete bool
}

// Read reads the next part of the response once the link may send it.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), pace.ChunkBytes)])
	b.complete = errors.Is(err, io.EOF)

	if n > 0 {
		if e := b.transfer.Acquire(b.ctx, n); e != nil {
			return 0, e
		}
	}

	return n, err
}

// Close ends the transfer and closes the response.
func (b *pacedBody) Close() error {
	b.transfer.Close(b.complete)

	return b.ReadCloser.Close()
}

// write sends a result to the node that sent the request, with the current load of the backend server.
func (i *Inbound) write(w http.ResponseWriter, id string, r gate.Result) {
	i.link.Record(responseHeadBytes)

	h := w.Header()
	for name, values := range r.Header {
		h[name] = values
	}

	h[hopID] = []string{id}
	h[spar.HeaderOutcome] = []string{string(r.Outcome)}
	setLoad(h, i.gate.Load())

	if r.Outcome == spar.OutcomeCompleted {
		i.buffers.copyResponse(w, r)

		return
	}

	h[spar.HeaderReason] = []string{string(r.Reason)}
	h[hopRetryAfter] = []string{strconv.Itoa(int(r.RetryAfter))}

	if r.Detail != "" {
		h[hopDetail] = []string{r.Detail}
	}

	if r.ReachedServer {
		h[hopArrived] = []string{"1"}
	}

	w.WriteHeader(http.StatusServiceUnavailable)
}
