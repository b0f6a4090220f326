package route

import (
	"context"
	"crypto/rand"
	"net/http"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/pick"
)

// Policy bounds what the entry node does beyond the first attempt at a call. Calls with the hop
// header come from an entry node and are never sent again.
type Policy struct {
	// Retries is earned by callers' calls and spent by resends, except for those that wait for an
	// owner: nothing reaches a backend server by them.
	Retries *pick.Budget
	// NewHedger makes the hedger of one service; nil means no hedging.
	NewHedger func() *pick.Hedger
	// Choices returns what the preset in force says of a service; nil, or false, leaves the settings
	// in force.
	Choices func(service string) (Choices, bool)

	mu      sync.Mutex
	hedgers map[string]*pick.Hedger
}

// Choices is the part of a preset's policy that the entry node follows.
type Choices struct {
	RoundRobin bool
	Hedging    bool
	Resume     bool
}

// choices returns the preset's choices for a service, and whether a preset is in force.
func (h *Handler) choices(service string) (Choices, bool) {
	if h.policy == nil || h.policy.Choices == nil {
		return Choices{}, false
	}

	return h.policy.Choices(service)
}

// pickerOf returns the picker that the preset in force names, or that of the settings.
func (h *Handler) pickerOf(service string) pick.Picker {
	if c, ok := h.choices(service); ok && c.RoundRobin {
		return h.robin
	}

	return h.picker
}

// hedges reports whether the call may go to a second upstream while the first is slow.
func (h *Handler) hedges(c spar.Call) bool {
	if h.policy == nil || h.policy.NewHedger == nil || !c.Idempotent || c.Service.Mode != spar.ModeAny {
		return false
	}

	choices, ok := h.choices(c.Service.Name)

	return !ok || choices.Hedging
}

// Use sets the policy. It is called before the first call is served; without it calls are neither
// hedged nor sent again after a shed or broken attempt.
func (h *Handler) Use(p *Policy) {
	h.policy = p
}

func (p *Policy) hedger(service string) *pick.Hedger {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.hedgers == nil {
		p.hedgers = map[string]*pick.Hedger{}
	}

	if _, ok := p.hedgers[service]; !ok {
		p.hedgers[service] = p.NewHedger()
	}

	return p.hedgers[service]
}

// dispatch makes one attempt at the call, or two if it is hedged, and returns the nodes tried so far.
func (h *Handler) dispatch(ctx context.Context, c spar.Call, tried []spar.NodeID) (spar.Answer, []spar.NodeID) {
	n, none, ok := h.target(c, tried)
	if !ok {
		return none, tried
	}

	before := tried
	tried = append(tried, n.ID)

	if !h.hedges(c) {
		a := h.attempt(ctx, n, c)
		h.learn(ctx, n, a, before)

		return a, tried
	}

	r := hedged{handler: h, call: c, first: n, tried: tried}
	a := h.policy.hedger(c.Service.Name).Do(ctx, r.attempt)

	return a, r.nodes()
}

// hedged is a call that may be on two upstreams at once.
type hedged struct {
	handler *Handler
	call    spar.Call
	first   spar.Node

	mu    sync.Mutex
	begun bool
	tried []spar.NodeID
}

func (r *hedged) attempt(ctx context.Context) spar.Answer {
	n, c, ok := r.next()
	if !ok {
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNoOwner, "no second node serves %s", c.Service.Name)
	}

	return r.handler.attempt(ctx, n, c)
}

// next returns the node of an attempt. The second attempt has an identifier of its own.
func (r *hedged) next() (spar.Node, spar.Call, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !r.begun {
		r.begun = true

		return r.first, r.call, true
	}

	n, _, ok := r.handler.target(r.call, r.tried)
	if !ok || slices.Contains(r.tried, n.ID) {
		return n, r.call, false
	}

	r.tried = append(r.tried, n.ID)
	return n, r.call.WithID(rand.Text()), true
}

func (r *hedged) nodes() []spar.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.tried)
}

// untried reports whether a live upstream of the service is not among tried.
func (h *Handler) untried(c spar.Call, tried []spar.NodeID) bool {
	return slices.ContainsFunc(h.replica.View().Serving(c.Service.Name), func(n spar.Node) bool {
		return !slices.Contains(tried, n.ID)
	})
}

// resend reports whether the entry node may send the call again after answer a; unsure tells that an
// earlier attempt may have run.
func (h *Handler) resend(ctx context.Context, c spar.Call, a spar.Answer, tried []spar.NodeID, unsure bool) bool {
	switch {
	case a.Outcome == spar.OutcomeCompleted || ctx.Err() != nil:
		return false
	case a.Outcome == spar.OutcomeUnknown:
		// The call may have crashed its backend server: it gets at most one more.
		return c.Idempotent && !unsure && interrupted(a.Reason) && h.spend()
	case a.Reason == spar.ReasonNoOwner || c.Service.Mode == spar.ModeKeyed && again(a):
		return true
	case again(a) || h.policy != nil && a.Reason == spar.ReasonShed && h.atOnce(c, tried):
		return h.spend()
	default:
		return false
	}
}

// interrupted reports whether an attempt ended without the backend server's answer, before the
// call's time was over.
func interrupted(r spar.Reason) bool {
	return r == spar.ReasonBroken || r == spar.ReasonCrashed || r == spar.ReasonNoLease
}

// spend takes a resend from the budget, if there is one.
func (h *Handler) spend() bool {
	return h.policy == nil || h.policy.Retries.Spend()
}

// atOnce reports whether a resend has another upstream to go to, so that waiting gains nothing.
func (h *Handler) atOnce(c spar.Call, tried []spar.NodeID) bool {
	return c.Service.Mode == spar.ModeAny && h.untried(c, tried)
}
