package route

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/pick"
)

const (
	// ownerWait bounds how long a call waits for its slot to have an owner that serves it.
	ownerWait spar.Millis = 3000
	// retryPause is the wait before a call is sent again when nothing changed in between.
	retryPause spar.Millis = 20
	// retryMargin is left before the deadline: an attempt that can't be answered in time would turn a
	// call that was not run into one whose outcome is unknown.
	retryMargin spar.Millis = 50
)

// Server runs a call on the backend server beside this node.
type Server interface {
	Serve(ctx context.Context, c spar.Call) spar.Answer
}

// Handler serves callers and other nodes.
type Handler struct {
	self    func() spar.NodeID
	replica *fleet.Replica
	local   Server
	client  http.RoundTripper
	picker  pick.Picker
	clock   spar.Clock
	policy  *Policy
	pull    func(ctx context.Context, addr string)
}

// New returns the handler of one node.
func New(
	self func() spar.NodeID, r *fleet.Replica, local Server, client http.RoundTripper, picker pick.Picker,
	clock spar.Clock,
) *Handler {
	return &Handler{self: self, replica: r, local: local, client: client, picker: picker, clock: clock}
}

// PullWith sets the function that brings the replica up to date from the node at a peer address. It
// must be set before the handler serves.
func (h *Handler) PullWith(f func(ctx context.Context, addr string)) {
	h.pull = f
}

// ServeHTTP answers a caller, or another node if the request has the hop header.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, refusal, ok := Parse(h.replica.View(), r, h.clock.Now())
	if !ok {
		h.write(w, refusal, 0)

		return
	}

	if r.Header.Get(spar.HeaderHop) != "" {
		h.write(w, h.local.Serve(r.Context(), c), 1)

		return
	}

	a, attempts := h.send(r.Context(), c)
	h.write(w, a, attempts)
}

// send sends the call until it was run, was refused for good, or its time is over.
func (h *Handler) send(ctx context.Context, c spar.Call) (spar.Answer, int) {
	patience := min(c.Deadline-retryMargin, h.clock.Now()+ownerWait)

	var (
		tried  []spar.NodeID
		a      spar.Answer
		broken int
	)

	if h.policy != nil {
		h.policy.Retries.Earn()
	}

	for attempts := 1; ; attempts++ {
		changed := h.replica.Changed()

		a, tried = h.dispatch(ctx, c, tried)
		if a.Outcome == spar.OutcomeUnknown {
			broken++
		}

		if h.clock.Now() >= patience || !h.resend(ctx, c, a, tried, broken) {
			return doubted(a, broken), attempts
		}

		a.Close()

		if !h.atOnce(c, tried) && !h.pause(ctx, changed) {
			a = spar.NotRun(http.StatusServiceUnavailable, spar.ReasonDeadline, "caller has gone")

			return doubted(a, broken), attempts
		}
	}
}

// learn pulls from a node that has refused the call twice because it does not own the slot any more: a
// node without a registration gets no pushes, and its own scans are too far apart to wait for.
func (h *Handler) learn(ctx context.Context, n spar.Node, a spar.Answer, tried []spar.NodeID) {
	moved := a.Reason == spar.ReasonMoved || a.Reason == spar.ReasonNotOwner
	if moved && h.pull != nil && n.ID != h.self() && slices.Contains(tried, n.ID) {
		h.pull(ctx, n.PeerAddr)
	}
}

func again(a spar.Answer) bool {
	return a.Reason.Retryable() || a.Reason == spar.ReasonNoOwner
}

func (h *Handler) pause(ctx context.Context, changed <-chan struct{}) bool {
	t := h.clock.Timer(retryPause)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	case <-t.C:
		return true
	}
}

// target returns the node to send the call to.
func (h *Handler) target(c spar.Call, tried []spar.NodeID) (spar.Node, spar.Answer, bool) {
	v := h.replica.View()
	none := spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNoOwner, "no node serves %s now", c.Service.Name)

	if c.Service.Mode == spar.ModeKeyed {
		n, ok := v.Node(v.Assignment(c.Service, c.Slot).Owner)

		return n.Value, none, ok && n.Value.State != spar.NodeLost
	}

	var nodes []spar.Node

	for _, n := range v.NodesOf(c.Service.Name) {
		if n.State == spar.NodeLive && !v.Withdrawn(n) {
			nodes = append(nodes, n)
		}
	}

	if len(nodes) == 0 {
		return spar.Node{}, none, false
	}

	return h.picker.Pick(nodes, tried), none, true
}

func (h *Handler) attempt(ctx context.Context, n spar.Node, c spar.Call) spar.Answer {
	ended := h.picker.Begin(n.ID)
	began := h.clock.Now()

	var a spar.Answer
	if n.ID == h.self() {
		a = h.local.Serve(ctx, c)
	} else {
		a = h.forward(ctx, n, c)
	}

	ended(h.clock.Now()-began, pick.EndOf(ctx, a))

	if a.Load.Limit > 0 {
		h.picker.Report(n.ID, a.Load)
	}

	return a
}

// write gives the caller an answer. A body that ends early aborts the caller's connection, so that
// a cut answer never looks whole.
func (h *Handler) write(w http.ResponseWriter, a spar.Answer, attempts int) {
	defer a.Close()

	out := w.Header()

	if a.Response != nil {
		for name, values := range a.Response.Header {
			out[name] = values
		}

		for _, name := range hopHeaders {
			out.Del(name)
		}
	}

	out.Set(spar.HeaderOutcome, string(a.Outcome))
	out.Set(spar.HeaderAttempts, strconv.Itoa(attempts))
	out.Set(spar.HeaderOwner, string(a.Owner))

	out.Del(spar.HeaderLoad)

	if a.Load.Limit > 0 {
		out.Set(spar.HeaderLoad, a.Load.String())
	}

	if n, ok := h.replica.View().Node(a.Owner); ok {
		out.Set(spar.HeaderOwnerURL, "http://"+n.Value.HTTPAddr)
	}

	if a.Response == nil {
		h.writeRefusal(w, a)

		return
	}

	w.WriteHeader(a.Status)

	if _, err := io.Copy(w, a.Response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) writeRefusal(w http.ResponseWriter, a spar.Answer) {
	out := w.Header()
	out.Set(spar.HeaderReason, string(a.Reason))
	out.Set("Content-Type", "text/plain; charset=utf-8")

	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		out.Set("Retry-After", "1")
	}

	w.WriteHeader(a.Status)
	_, _ = io.WriteString(w, string(a.Outcome)+": "+a.Detail+"\n")
}
