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

// answerHead is the usual size of an answer's header between nodes in bytes.
const answerHead = 400

// Inbound serves the requests that other nodes send for the backend server beside this one.
type Inbound struct {
	gate      *gate.Gate
	link      *pace.Link
	clock     spar.Clock
	log       *log.Logger
	bodyBytes int64
	buffers   *copyBuffers
}

// NewInbound returns a handler over a gate. Answers go over the VM's link.
func NewInbound(g *gate.Gate, link *pace.Link, clock spar.Clock, l *log.Logger, bodyBytes int64) *Inbound {
	return &Inbound{gate: g, link: link, clock: clock, log: l, bodyBytes: bodyBytes, buffers: newCopyBuffers()}
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

	i.write(w, req.ID, i.serve(r.Context(), req))
}

// serve runs a request. A download is refused if the link has no room for its answer in time.
func (i *Inbound) serve(ctx context.Context, req gate.Request) gate.Result {
	if req.Kind != rules.Download {
		r := i.gate.Serve(ctx, req)
		i.link.Note(max(0, r.Length))

		return r
	}

	t, after, ok := i.link.Book(req.Objective)
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

// pacedBody reads an answer no faster than the link sends it.
type pacedBody struct {
	io.ReadCloser

	ctx      context.Context //nolint:containedctx // Read has no context of its own.
	transfer *pace.Transfer
	whole    bool
}

// Read reads the next part of the answer once the link may send it.
func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(len(p), pace.ChunkBytes)])
	b.whole = errors.Is(err, io.EOF)

	if n > 0 {
		if e := b.transfer.Take(b.ctx, n); e != nil {
			return 0, e
		}
	}

	return n, err
}

// Close ends the answer.
func (b *pacedBody) Close() error {
	b.transfer.Close(b.whole)

	return b.ReadCloser.Close()
}

func (i *Inbound) write(w http.ResponseWriter, id string, r gate.Result) {
	i.link.Note(answerHead)

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
