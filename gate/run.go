package gate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
)

// run sends a request that has a slot to the backend server. The slot is freed when the response body is closed,
// or at once if there is no response.
func (g *Gate) run(ctx context.Context, w *Waiter, req Request) Result {
	incarnation := g.Upstream().Incarnation
	start := g.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, (req.Deadline - start).Duration())

	resp, failure := g.deps.Pool.Send(ctx, g.cfg.Addr, conns.Request{
		Method: req.Method, URI: req.URI, Host: req.Host, Body: req.Body,
		Header: g.header(req, incarnation, start),
		Match:  g.matchesID(req.ID),
		Check:  g.checkResponse,

		BodyGrace: req.BodyGrace,
	})
	if failure != nil {
		// cancel is deferred, because handleSendFailure checks whether ctx had already ended.
		defer cancel()
		defer g.queue.Release(w)

		return g.handleSendFailure(ctx, req, incarnation, failure)
	}

	b := &slotBody{
		ReadCloser: resp.Body, gate: g, waiter: w, request: req, incarnation: incarnation, start: start, ctx: ctx,
		cancel: cancel,
	}
	b.serverError = resp.StatusCode >= http.StatusInternalServerError
	g.slowdown.Observe(resp.Header.Get(g.cfg.Names.Load), g.deps.Clock.Now())

	if g.refusedByServer(resp) {
		// This closes the connection, so that no later attempt of the request can get a second copy of the refusal.
		_ = b.Close()

		r := Refused(spar.ReasonShed, g.Load().MeanServiceTime)
		r.ReachedServer = true
		r.Detail = "backend server answered " + strconv.Itoa(resp.StatusCode)

		return r
	}

	return g.readResponse(ctx, req, resp, b)
}

// matchesID returns a function that compares the request id that the backend server echoes with id.
func (g *Gate) matchesID(id string) func(http.Header) conns.Match {
	return func(h http.Header) conns.Match {
		return conns.MatchID(h.Get(g.cfg.Names.RequestID), id)
	}
}

var (
	errNoRequestID = errors.New("it names no request")
	errNoSeal      = errors.New("it is a success without a seal")
)

// checkResponse returns an error for a response that the backend server can't have meant so, since fields of its header
// are missing. A faulty server may send such bytes in place of a response, and the rest of its header as the body. Only
// a refusal needs no request id, and only a success needs a seal.
func (g *Gate) checkResponse(resp *http.Response) error {
	switch {
	case g.refusedByServer(resp):
	case lacks(resp.Header, g.cfg.Names.RequestID):
		g.deps.Tally.Count("spar_gate_response_without_id_total")

		return errNoRequestID
	case isSuccess(resp.StatusCode) && lacks(resp.Header, g.cfg.Names.Seal):
		g.deps.Tally.Count("spar_gate_response_without_seal_total")

		return errNoSeal
	}

	return nil
}

// lacks reports whether a deployment uses a header and h does not have it.
func lacks(h http.Header, name string) bool {
	return name != "" && h.Get(name) == ""
}

// isSuccess reports whether a status is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// refusedByServer reports whether the backend server states that it has not run the request.
func (g *Gate) refusedByServer(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(g.cfg.Names.NotRun) != ""
}

// readResponse buffers a response that is shorter than MaxBufferedBytes. If it is truncated, nothing has been passed to
// the caller, and the entry node can still send an idempotent request again. A longer response is passed on as it
// arrives.
func (g *Gate) readResponse(ctx context.Context, req Request, resp *http.Response, b io.ReadCloser) Result {
	r := Result{
		Outcome: spar.OutcomeCompleted, Status: resp.StatusCode, Header: resp.Header, Body: b,
		Length: resp.ContentLength,
	}
	StripHopHeaders(r.Header)

	// ContentLength is -1 if it is unknown.
	head := bytes.NewBuffer(make([]byte, 0, max(512, min(g.cfg.MaxBufferedBytes, resp.ContentLength))))
	if _, err := io.CopyN(head, b, g.cfg.MaxBufferedBytes); err == nil {
		r.Body = prefixedBody{Reader: io.MultiReader(head, b), Closer: b}

		return r
	} else if !errors.Is(err, io.EOF) {
		_ = b.Close()
		g.suspectRestart(context.WithoutCancel(ctx), req.Service)

		return UnknownOutcome(spar.ReasonBroken, "answer cut: "+errorText(ctx, err))
	}

	_ = b.Close()
	r.Length = int64(head.Len())

	if req.Method == http.MethodHead {
		r.Length = resp.ContentLength
	}

	r.Body, r.Whole = io.NopCloser(head), true

	return r
}

// prefixedBody is a body of which the first part has already been read.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// errorText returns the text of the context's error if ctx has ended, and otherwise that of err. The end of ctx
// closes the connection, so err then says nothing about the cause.
func errorText(ctx context.Context, err error) string {
	if ctx.Err() != nil {
		return ctx.Err().Error()
	}

	return err.Error()
}

// handleSendFailure returns the result of a request without a response. If the request was not sent although ctx has
// not ended, it marks the backend server as down. It has the server checked after a broken connection and after
// an invalid response.
func (g *Gate) handleSendFailure(
	ctx context.Context, req Request, incarnation spar.Incarnation, f *conns.SendError,
) Result {
	ended := ctx.Err() != nil

	if !ended && !f.Sent {
		g.Update(func(u Upstream) Upstream {
			if u.Incarnation == incarnation {
				u.Down = true
			}

			return u
		})
		g.deps.Log.Warn("backend server refuses connections", "id", incarnation.ID, "cause", f.Err)
	}

	switch {
	case !f.Sent:
		r := Refused(spar.ReasonUnreachable, minRetryAfter)
		r.Detail = f.Error()

		return r
	case ended:
		return UnknownOutcome(spar.ReasonDeadline, f.Error())
	case errors.Is(f, conns.ErrInvalid):
		g.responseInvalid(ctx, req, incarnation)
	default:
		g.connectionBroken(ctx, req, incarnation)
	}

	return UnknownOutcome(spar.ReasonBroken, f.Error())
}

// header returns the header that the backend server gets.
func (g *Gate) header(req Request, incarnation spar.Incarnation, now spar.Millis) http.Header {
	h := req.Header.Clone()
	if h == nil {
		h = http.Header{}
	}

	StripHopHeaders(h)
	// Nodes of earlier builds pass on what the caller sent under these names.
	StripTenantHeaders(h, g.cfg.Names)

	remaining := max(1, int(req.Deadline-now))
	for _, f := range [][2]string{
		{g.cfg.Names.RequestID, req.ID},
		{g.cfg.Names.Deadline, strconv.Itoa(remaining)},
		{g.cfg.Names.Caller, req.Caller},
		{g.cfg.Names.ExpectedInstance, incarnation.ID},
	} {
		if f[0] != "" {
			h.Set(f[0], f[1])
		}
	}

	if g.cfg.Names.Tenant != "" && req.Tenant != "" {
		h.Set(g.cfg.Names.Tenant, req.Tenant)
	}

	return h
}

// StripHopHeaders removes the hop-by-hop fields, which concern a single connection only, and Content-Length and
// Expect, which each hop determines itself.
func StripHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range [...]string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect",
	} {
		delete(h, name)
	}
}

// StripTenantHeaders removes the caller's API key and the tenant's name, in any spelling that a server may take for
// that of the header: upper or lower case, and underscores in place of hyphens.
func StripTenantHeaders(h http.Header, names spar.HeaderNames) {
	for name := range h {
		if sameHeader(name, names.APIKey) || sameHeader(name, names.Tenant) {
			delete(h, name)
		}
	}
}

// sameHeader reports whether two header names differ only in case and in underscores in place of hyphens.
func sameHeader(a, b string) bool {
	return len(a) == len(b) && strings.EqualFold(strings.ReplaceAll(a, "_", "-"), strings.ReplaceAll(b, "_", "-"))
}

// slotBody is the body of a response; closing it frees the request's slot.
type slotBody struct {
	io.ReadCloser

	gate   *Gate
	waiter *Waiter
	// request was sent to the incarnation of the backend server.
	request     Request
	incarnation spar.Incarnation
	start       spar.Millis
	ctx         context.Context //nolint:containedctx // Read has no context of its own.
	cancel      func()
	// serverError reports whether the backend server responded with a server error. The duration of such a
	// response is no measure of the service time.
	serverError bool
	closed      bool
}

// Read reads the body. It records whether the backend server sent the complete response or broke the connection.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)

	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.gate.deps.Crashes.Completed(b.request)
	case b.ctx.Err() == nil:
		b.gate.connectionBroken(b.ctx, b.request, b.incarnation)
	}

	return n, err
}

// Close closes the body, records the time since the request was sent and frees the slot. The time counts for the
// mean service time only if the server did not respond with an error.
func (b *slotBody) Close() error {
	if b.closed {
		return nil
	}

	b.closed = true
	err := b.ReadCloser.Close()
	b.cancel()
	took := b.gate.deps.Clock.Now() - b.start
	b.gate.deps.Tally.Observe("spar_gate_run_ms", took)

	if !b.serverError {
		b.gate.queue.Observe(b.waiter.class(), took)
	}

	b.gate.queue.Release(b.waiter)

	return err
}
