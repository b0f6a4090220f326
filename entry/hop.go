package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

// The headers of requests and responses between nodes.
const (
	hopService    = "Spar-Service"
	hopInstance   = "Spar-Life"
	hopRemaining  = "Spar-Left-Ms"
	hopObjective  = "Spar-Objective-Ms"
	hopKind       = "Spar-Kind"
	hopPriority   = "Spar-Priority"
	hopCaller     = "Spar-Caller"
	hopKey        = "Spar-Key"
	hopID         = "Spar-Request"
	hopTenant     = "Spar-Tenant"
	hopPipelined  = "Spar-Pipelined"
	hopArrived    = "Spar-Arrived"
	hopRetryAfter = "Spar-Retry-After-Ms"
	hopDetail     = "Spar-Detail"
	hopSlowdown   = "Spar-Slowdown"
	hopPrefix     = "Spar-"
)

// stripInternal removes the headers that are reserved for messages between nodes.
func stripInternal(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, hopPrefix) {
			delete(h, name)
		}
	}
}

// encodeHop returns the header of a request to another node.
func encodeHop(req gate.Request, now spar.Millis) http.Header {
	h := req.Header.Clone()
	h[hopService] = []string{req.Service}
	h[hopInstance] = []string{req.InstanceID}
	h[hopRemaining] = []string{strconv.Itoa(int(req.Deadline - now))}
	h[hopObjective] = []string{strconv.Itoa(int(req.Objective - now))}
	h[hopKind] = []string{string(req.Kind)}
	h[hopPriority] = []string{strconv.Itoa(req.Priority)}
	h[hopCaller] = []string{req.Caller}
	h[hopKey] = []string{strconv.Itoa(req.Key)}
	h[hopID] = []string{req.ID}

	if req.Tenant != "" {
		h[hopTenant] = []string{req.Tenant}
	}

	if req.Pipelined {
		h[hopPipelined] = []string{"1"}
	}

	return h
}

// decodeHop decodes a request from another node.
func decodeHop(r *http.Request, body []byte, now spar.Millis) (gate.Request, error) {
	var numbers [4]int

	for i, name := range [...]string{hopRemaining, hopObjective, hopPriority, hopKey} {
		n, err := strconv.Atoi(r.Header.Get(name))
		if err != nil {
			return gate.Request{}, err
		}

		numbers[i] = n
	}

	req := gate.Request{
		ID: r.Header.Get(hopID), Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header, Body: body,
		Service: r.Header.Get(hopService), Caller: r.Header.Get(hopCaller), InstanceID: r.Header.Get(hopInstance),
		Kind: rules.Kind(r.Header.Get(hopKind)), Priority: numbers[2], Key: numbers[3],
		Tenant:   r.Header.Get(hopTenant),
		Deadline: now + spar.Millis(numbers[0]), Objective: now + spar.Millis(numbers[1]),
		Pipelined: r.Header.Get(hopPipelined) != "",
	}
	stripInternal(req.Header)

	return req, nil
}

// encodeLoad encodes a backend server's load, which each response carries so that the sender's view of the
// load is as recent as its last request.
func encodeLoad(l gate.Load) string {
	return strconv.Itoa(l.Running) + " " + strconv.Itoa(l.Waiting) + " " + strconv.Itoa(l.Slots) + " " +
		strconv.Itoa(int(l.MeanServiceTime)) + " " + strconv.Itoa(int(l.Link))
}

// setLoad sets the headers of a response that report a backend server's load. The slowdown has a header of its own,
// since nodes of earlier builds ignore a load of more than five numbers.
func setLoad(h http.Header, l gate.Load) {
	h[spar.HeaderLoad] = []string{encodeLoad(l)}
	h[hopSlowdown] = []string{strconv.Itoa(l.Slowdown)}
}

// getLoad reverses setLoad. Without a valid slowdown, as from nodes of earlier builds, it is unknown.
func getLoad(h http.Header) (gate.Load, bool) {
	l, ok := decodeLoad(h.Get(spar.HeaderLoad))
	if !ok {
		return gate.Load{}, false
	}

	if n, err := strconv.Atoi(h.Get(hopSlowdown)); err == nil && n > 0 {
		l.Slowdown = n
	}

	return l, true
}

// decodeLoad reverses encodeLoad.
func decodeLoad(s string) (gate.Load, bool) {
	var n [5]int

	fields := strings.Fields(s)
	if len(fields) != len(n) {
		return gate.Load{}, false
	}

	for i, f := range fields {
		v, err := strconv.Atoi(f)
		if err != nil {
			return gate.Load{}, false
		}

		n[i] = v
	}

	return gate.Load{
		Running: n[0], Waiting: n[1], Slots: n[2], MeanServiceTime: spar.Millis(n[3]), Link: spar.Millis(n[4]),
	}, true
}

// send sends a request to the candidate's node.
func (e *Entry) send(ctx context.Context, c Candidate, req gate.Request) gate.Result {
	req.InstanceID = c.InstanceID

	if c.Local {
		return e.deps.Gate.Serve(ctx, req)
	}

	if r, ok := e.checkLink(req); !ok {
		return r
	}

	resp, failure := e.deps.Pool.Send(ctx, c.Addr, conns.Request{
		Method: req.Method, URI: req.URI, Host: req.Host, Body: req.Body,
		Header: encodeHop(req, e.deps.Clock.Now()),
		Match:  func(h http.Header) conns.Match { return conns.RequireID(h.Get(hopID), req.ID) },

		BodyGrace: req.BodyGrace,
	})
	if failure != nil {
		return sendFailure(ctx, failure)
	}

	if l, ok := getLoad(resp.Header); ok {
		e.deps.Mesh.UpdateLoad(c.Node, l)
	}

	return receiveShort(ctx, decodeResult(resp))
}

// checkLink refuses a request to another node that would leave this VM only after its deadline, since the link is busy.
// Its caller's departure could not overtake it either, so that the server would run it for nobody.
func (e *Entry) checkLink(req gate.Request) (gate.Result, bool) {
	backlog := e.deps.Link.Backlog()
	if backlog == 0 || e.deps.Clock.Now()+backlog < req.Deadline {
		return gate.Result{}, true
	}

	e.deps.Tally.Count("spar_entry_link_busy_total")

	r := gate.Refused(spar.ReasonShed, backlog)
	r.Detail = "link to other nodes is busy for " + strconv.Itoa(int(backlog)) + " ms"

	return r, false
}

// receiveShort reads the body of a response that is not longer than a piece. If it is truncated, the outcome of the
// request is unknown, and the request may be sent again.
func receiveShort(ctx context.Context, r gate.Result) gate.Result {
	if r.Outcome != spar.OutcomeCompleted || r.Length < 0 || r.Length > pieceBytes {
		return r
	}
	defer r.Discard()

	var b bytes.Buffer

	b.Grow(int(r.Length) + bytes.MinRead)

	if _, err := b.ReadFrom(r.Body); err != nil {
		return incomplete(ctx.Err() != nil, err)
	}

	r.Body, r.Whole = io.NopCloser(&b), true

	return r
}

// sendFailure returns the result of a request to another node that got no response.
func sendFailure(ctx context.Context, f *conns.SendError) gate.Result {
	switch {
	case !f.Sent:
		r := gate.Refused(spar.ReasonUnreachable, 0)
		r.Detail = f.Error()

		return r
	case ctx.Err() != nil:
		return gate.UnknownOutcome(spar.ReasonDeadline, f.Error())
	default:
		return gate.UnknownOutcome(spar.ReasonBroken, f.Error())
	}
}

// decodeResult decodes the response of another node.
func decodeResult(resp *http.Response) gate.Result {
	r := gate.Result{
		Outcome:       spar.Outcome(resp.Header.Get(spar.HeaderOutcome)),
		Reason:        spar.Reason(resp.Header.Get(spar.HeaderReason)),
		ReachedServer: resp.Header.Get(hopArrived) != "",
		Detail:        resp.Header.Get(hopDetail),
		Status:        resp.StatusCode, Header: resp.Header, Body: resp.Body, Length: resp.ContentLength,
	}

	if ms, err := strconv.Atoi(resp.Header.Get(hopRetryAfter)); err == nil {
		r.RetryAfter = spar.Millis(ms)
	}

	gate.StripHopHeaders(r.Header)
	stripInternal(r.Header)

	switch r.Outcome {
	case spar.OutcomeCompleted:
		return r
	case spar.OutcomeNotRun, spar.OutcomeUnknown:
	default:
		r = gate.UnknownOutcome(spar.ReasonBroken, "response without a valid outcome header")
	}

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.Body = nil

	return r
}
