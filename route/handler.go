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
	// maxOwnerWait limits how long the entry node keeps trying to find an owner that accepts the call.
	maxOwnerWait spar.Millis = 3000
	// retryDelay is the delay before a call is sent again, unless the replica changes earlier.
	retryDelay spar.Millis = 20
	// readTimeout limits how long reading a caller's request body may take.
	readTimeout = 10 * time.Second
	// retryMargin is the time before the deadline in which no further attempt starts. An attempt that
	// can't be answered in time would change the outcome from not run to unknown.
	retryMargin spar.Millis = 50
)

// Server runs a call on the backend server on this VM.
type Server interface {
	Serve(ctx context.Context, c spar.Call) spar.Answer
}

// Handler serves the HTTP requests of callers and of other nodes.
type Handler struct {
	self       func() spar.NodeID
	replica    *fleet.Replica
	local      Server
	client     http.RoundTripper
	picker     pick.Picker
	roundRobin pick.Picker
	clock      spar.Clock
	policy     *Policy
	// resumeEvents records resumed downloads; nil disables resuming.
	resumeEvents spar.Recorder
	// pull brings the replica up to date from the node at a peer address; it may be nil.
	pull func(ctx context.Context, addr string)
}

// New returns the handler of one node.
func New(
	self func() spar.NodeID, r *fleet.Replica, local Server, client http.RoundTripper, picker pick.Picker,
	clock spar.Clock,
) *Handler {
	return &Handler{
		self: self, replica: r, local: local, client: client, picker: picker, clock: clock,
		roundRobin: pick.NewRoundRobin(),
	}
}

// SetPull sets the function that brings the replica up to date from the node at a peer address. It
// must be called before the handler serves requests.
func (h *Handler) SetPull(f func(ctx context.Context, addr string)) {
	h.pull = f
}

// SetResume enables resuming of interrupted downloads and returns h. It must be called before the handler
// serves requests.
func (h *Handler) SetResume(r spar.Recorder) *Handler {
	h.resumeEvents = r

	return h
}

// ServeHTTP serves a request of a caller, or of another node if it has the hop header.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.clock.Now()
	conn := http.NewResponseController(w)

	_ = conn.SetReadDeadline(time.Now().Add(readTimeout))

	c, refusal, ok := Parse(h.replica.View(), r, arrived)
	if !ok {
		// The read deadline stays set, because net/http reads the rest of the body before it answers.
		h.writeAnswer(w, refusal, "", 0)

		return
	}

	// An expired read deadline would look like a caller that disconnected.
	_ = conn.SetReadDeadline(time.Time{})

	if r.Header.Get(spar.HeaderHop) != "" {
		h.writeAnswer(w, h.local.Serve(r.Context(), c), c.ID, 1)

		return
	}

	a, attempts := h.send(r.Context(), c, nil)
	h.writeAnswer(w, h.makeResumable(r.Context(), c, a), c.ID, attempts)
}

// send makes attempts at the call until one completes, the refusal is final, or no time is left. It returns
// the answer and the number of attempts. Nodes in tried are avoided if the service allows any node.
func (h *Handler) send(ctx context.Context, c spar.Call, tried []spar.NodeID) (spar.Answer, int) {
	retryUntil := min(c.Deadline-retryMargin, h.clock.Now()+maxOwnerWait)
	attempts := 0

	// firstUnknown is the answer of the first attempt whose outcome is unknown. It is the answer to the call
	// unless a later attempt completes.
	var firstUnknown *spar.Answer

	if h.policy != nil {
		h.policy.Resends.Earn()
	}

	for {
		changed := h.replica.Changed()
		triedBefore := len(tried)

		var a spar.Answer

		a, tried = h.dispatch(ctx, c.WithID(c.ID+"."+strconv.Itoa(attempts+1)), tried)
		if len(tried) > triedBefore {
			attempts++
		}

		if h.clock.Now() >= retryUntil || !h.takeResend(ctx, c, a, tried, firstUnknown != nil) {
			return finalAnswer(a, firstUnknown), attempts
		}

		a.Close()

		if a.Outcome == spar.OutcomeUnknown {
			firstUnknown = &a
			c.Trial = a.Reason == spar.ReasonCrashed
		}

		if !h.waitBeforeRetry(ctx, changed) {
			canceled := spar.NotRun(http.StatusServiceUnavailable, spar.ReasonDeadline, "caller has gone")

			return finalAnswer(canceled, firstUnknown), attempts
		}
	}
}

// finalAnswer returns the answer to the whole call. Its outcome is not run only if no attempt has an unknown
// outcome.
func finalAnswer(a spar.Answer, firstUnknown *spar.Answer) spar.Answer {
	if a.Outcome == spar.OutcomeNotRun && firstUnknown != nil {
		return *firstUnknown
	}

	return a
}

// pullAfterMove pulls rows from a node that has refused the call twice because it no longer owns the slot.
// A node without a registration gets no pushes, and its periodic scans are too infrequent to wait for.
func (h *Handler) pullAfterMove(ctx context.Context, n spar.Node, a spar.Answer, tried []spar.NodeID) {
	moved := a.Reason == spar.ReasonMoved || a.Reason == spar.ReasonNotOwner
	if moved && h.pull != nil && n.ID != h.self() && slices.Contains(tried, n.ID) {
		h.pull(ctx, n.PeerAddr)
	}
}

// retryable reports whether the refusal may be followed by another attempt.
func retryable(a spar.Answer) bool {
	return a.Reason.Retryable() || a.Reason == spar.ReasonNoOwner
}

// waitBeforeRetry waits until the replica changes or retryDelay has passed. It returns false if ctx ends first.
func (h *Handler) waitBeforeRetry(ctx context.Context, changed <-chan struct{}) bool {
	t := h.clock.Timer(retryDelay)
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

// selectNode returns the node to send the call to, or a refusal if there is none.
func (h *Handler) selectNode(c spar.Call, tried []spar.NodeID) (spar.Node, spar.Answer, bool) {
	v := h.replica.View()
	noOwner := spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNoOwner, "no node serves %s now", c.Service.Name)

	if c.Service.Mode == spar.ModeKeyed {
		n, ok := v.Node(v.Assignment(c.Service, c.Slot).Owner)

		return n.Value, noOwner, ok && n.Value.State != spar.NodeLost
	}

	nodes := v.ServingNodes(c.Service.Name)
	if len(nodes) == 0 {
		return spar.Node{}, noOwner, false
	}

	return h.pickerFor(c.Service.Name).Pick(nodes, tried), noOwner, true
}

// attempt runs the call at node n and reports duration, result and load to the picker.
func (h *Handler) attempt(ctx context.Context, n spar.Node, c spar.Call) spar.Answer {
	done := h.picker.Begin(n.ID)
	started := h.clock.Now()

	var a spar.Answer
	if n.ID == h.self() {
		a = h.local.Serve(ctx, c)
	} else {
		a = h.forward(ctx, n, c)
	}

	done(h.clock.Now()-started, pick.ResultOf(ctx, a))

	if a.Load.Limit > 0 {
		h.picker.Report(n.ID, a.Load)
	}

	return a
}
