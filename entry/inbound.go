package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/budget"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

// responseHeadBytes is the usual size in bytes of the header of a response between nodes.
const responseHeadBytes = 400

// InboundDeps are the dependencies of an Inbound.
type InboundDeps struct {
	Clock spar.Clock
	Gate  *gate.Gate
	// Link is the VM's network link, over which responses are paced.
	Link *pace.Link
	Log  *log.Logger
	// Memory bounds the memory that requests hold. It may be nil.
	Memory *budget.Budget
	EndsAt EndTime
}

// Inbound serves the requests that other nodes send to the backend server of this VM.
type Inbound struct {
	deps         InboundDeps
	maxBodyBytes int64
	pieces       *piecePool
	// failedLog limits the log lines of requests that can't be read.
	failedLog *tally.Limiter
}

// NewInbound returns a handler that passes requests with bodies of up to maxBodyBytes to a gate.
func NewInbound(maxBodyBytes int64, deps InboundDeps) *Inbound {
	return &Inbound{
		deps: deps, maxBodyBytes: maxBodyBytes, pieces: newPiecePool(),
		failedLog: tally.NewLimiter(deps.Clock, maxFailedLines),
	}
}

// ServeHTTP runs a request and sends its result back.
func (i *Inbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	account := i.deps.Memory.Open(r.RemoteAddr)
	defer account.Close()

	body, err := i.readRequest(r, account)
	if err != nil {
		i.rejectBody(w, r, err)

		return
	}

	req, err := decodeHop(r, body, i.deps.Clock.Now())
	if err != nil {
		i.deps.Log.Warn("cannot decode request from node", "cause", err)
		i.write(w, r, r.Header.Get(hopID), gate.Refused(spar.ReasonBadRequest, 0))

		return
	}

	req.Deadline = i.deps.EndsAt.bound(req.Deadline)
	req.Objective = min(req.Objective, req.Deadline)
	i.write(w, r, req.ID, i.serve(r.Context(), req))
}

// readRequest reads the body of a request, for which there must be memory together with its head. Nodes always send the
// length of a body; the longest is assumed for one without.
func (i *Inbound) readRequest(r *http.Request, account *budget.Account) ([]byte, error) {
	length := r.ContentLength
	if length < 0 {
		length = i.maxBodyBytes
	}

	if !account.Take(headBytes(r.Header) + min(length, i.maxBodyBytes)) {
		return nil, errNoMemory
	}

	return readBody(r, i.maxBodyBytes, account)
}

// rejectBody responds to a request whose body was not read to its end.
func (i *Inbound) rejectBody(w http.ResponseWriter, r *http.Request, err error) {
	if dropped, ok := i.failedLog.Allow(); ok {
		i.deps.Log.Warn("cannot read request from node", "bytes", r.ContentLength, "cause", err, "left_out", dropped)
	}

	w.Header().Set("Connection", "close")

	result := gate.Refused(spar.ReasonBadRequest, 0)
	if errors.Is(err, errNoMemory) {
		result = gate.Refused(spar.ReasonMemory, memoryRetryAfter)
	}

	i.write(w, r, r.Header.Get(hopID), result)
}

// serve runs a request. A download is refused if the link could not send its response by the request's objective.
func (i *Inbound) serve(ctx context.Context, req gate.Request) gate.Result {
	if req.Kind != rules.Download {
		r := i.deps.Gate.Serve(ctx, req)
		i.deps.Link.Record(max(0, r.Length))

		return r
	}

	t, after, ok := i.deps.Link.Reserve(req.Objective)
	if !ok {
		r := gate.Refused(spar.ReasonShed, after)
		r.Detail = "link is busy"

		return r
	}

	r := i.deps.Gate.Serve(ctx, req)
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

// write sends a result to the node that sent the request r, with the current load of the backend server.
func (i *Inbound) write(w http.ResponseWriter, r *http.Request, id string, result gate.Result) {
	i.deps.Link.Record(responseHeadBytes)

	var response *prefetched

	if result.Outcome == spar.OutcomeCompleted {
		var err error
		if response, err = i.pieces.prefetch(r.Context(), result); err != nil {
			result = incomplete(r.Context().Err() != nil, err)
		}
	}

	h := w.Header()
	h[hopID] = []string{id}
	h[spar.HeaderOutcome] = []string{string(result.Outcome)}
	setLoad(h, i.deps.Gate.Load())

	if response != nil {
		i.pass(w, id, response)

		return
	}

	h[spar.HeaderReason] = []string{string(result.Reason)}
	h[hopRetryAfter] = []string{strconv.Itoa(int(result.RetryAfter))}

	if result.Detail != "" {
		h[hopDetail] = []string{result.Detail}
	}

	if result.ReachedServer {
		h[hopArrived] = []string{"1"}
	}

	w.WriteHeader(http.StatusServiceUnavailable)
}

// pass passes the backend server's response on.
func (i *Inbound) pass(w http.ResponseWriter, id string, response *prefetched) {
	h := w.Header()
	for name, values := range response.result.Header {
		if _, own := h[name]; !own {
			h[name] = values
		}
	}

	if err := response.send(w); err != nil {
		i.deps.Log.Warn("response to node cut", "id", id, "status", response.result.Status, "cause", err)
		panic(http.ErrAbortHandler)
	}
}
