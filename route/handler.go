package route

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/pick"
)

const (
	// ownerWait bounds how long a call waits for its slot to have an owner that serves it.
	ownerWait spar.Millis = 3000
	// retryPause is the wait before a call is sent again when nothing changed in between.
	retryPause spar.Millis = 20
	// readTimeout bounds the reading of a caller's body.
	readTimeout = 10 * time.Second
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
	robin   pick.Picker
	clock   spar.Clock
	policy  *Policy
	// resumeEvents takes the events of resumed downloads; nil turns resuming off.
	resumeEvents spar.Recorder
	pull         func(ctx context.Context, addr string)
}

// New returns the handler of one node.
func New(
	self func() spar.NodeID, r *fleet.Replica, local Server, client http.RoundTripper, picker pick.Picker,
	clock spar.Clock,
) *Handler {
	return &Handler{
		self: self, replica: r, local: local, client: client, picker: picker, clock: clock,
		robin: pick.NewRobin(),
	}
}

// PullWith sets the function that brings the replica up to date from the node at a peer address. It
// must be set before the handler serves.
func (h *Handler) PullWith(f func(ctx context.Context, addr string)) {
	h.pull = f
}

// WithResume turns the resuming of cut downloads on, before the handler is used.
func (h *Handler) WithResume(r spar.Recorder) *Handler {
	h.resumeEvents = r

	return h
}

// ServeHTTP answers a caller, or another node if the request has the hop header.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.clock.Now()
	conn := http.NewResponseController(w)

	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))

	c, refusal, ok := Parse(h.replica.View(), r, arrived)
	if !ok {
		// The deadline stays: the server reads on for the rest of a body before it answers.
		h.write(w, refusal, "", 0)

		return
	}

	// The deadline's end would look like a caller that left.
	_ = conn.SetReadDeadline(time.Time{})

	if r.Header.Get(spar.HeaderHop) != "" {
		h.write(w, h.local.Serve(r.Context(), c), c.ID, 1)

		return
	}

	a, attempts := h.send(r.Context(), c, nil)
	h.write(w, h.resumable(r.Context(), c, a), c.ID, attempts)
}

// send sends the call until it was run, was refused for good, or its time is over. Nodes in tried
// are left out where the choice is free.
func (h *Handler) send(ctx context.Context, c spar.Call, tried []spar.NodeID) (spar.Answer, int) {
	patience := min(c.Deadline-retryMargin, h.clock.Now()+ownerWait)
	attempts := 0

	// unsure is the first attempt whose outcome is unknown: it decides the call's outcome unless a
	// later attempt completes.
	var unsure *spar.Answer

	if h.policy != nil {
		h.policy.Retries.Earn()
	}

	for {
		changed := h.replica.Changed()
		known := len(tried)

		var a spar.Answer

		a, tried = h.dispatch(ctx, c.WithID(c.ID+"."+strconv.Itoa(attempts+1)), tried)
		if len(tried) > known {
			attempts++
		}

		if h.clock.Now() >= patience || !h.resend(ctx, c, a, tried, unsure != nil) {
			return final(a, unsure), attempts
		}

		a.Close()

		if a.Outcome == spar.OutcomeUnknown {
			unsure = &a
			c.Trial = a.Reason == spar.ReasonCrashed
		}

		if !h.pause(ctx, changed) {
			gone := spar.NotRun(http.StatusServiceUnavailable, spar.ReasonDeadline, "caller has gone")

			return final(gone, unsure), attempts
		}
	}
}

// final returns the outcome of a whole call: not run only if no attempt is in doubt.
func final(a spar.Answer, unsure *spar.Answer) spar.Answer {
	if a.Outcome == spar.OutcomeNotRun && unsure != nil {
		return *unsure
	}

	return a
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

	nodes := v.Serving(c.Service.Name)
	if len(nodes) == 0 {
		return spar.Node{}, none, false
	}

	return h.pickerOf(c.Service.Name).Pick(nodes, tried), none, true
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
