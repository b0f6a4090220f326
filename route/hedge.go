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

// Policy sets how an entry node hedges, resends and distributes calls. A node that receives a forwarded call
// (header Spar-Hop) does not resend it; only the entry node does.
type Policy struct {
	// Resends is the budget for resends. Each call from a caller adds to it. Resends after a no-owner refusal, and
	// after any retryable refusal in a keyed service, are exempt, because they wait for an owner and the refused
	// attempt did not run. It must not be nil.
	Resends *pick.Budget
	// NewHedger returns the hedger for one service; nil disables hedging.
	NewHedger func() *pick.Hedger
	// ForService returns the policy of the active preset for a service. If it is nil or returns false, the
	// node's configuration applies.
	ForService func(service string) (ServicePolicy, bool)

	mu      sync.Mutex
	hedgers map[string]*pick.Hedger
}

// ServicePolicy is the part of a preset that the entry node applies to calls of one service.
type ServicePolicy struct {
	RoundRobin bool
	Hedging    bool
	Resume     bool
}

// servicePolicy returns the active preset's policy for a service, and whether a preset is active.
func (h *Handler) servicePolicy(service string) (ServicePolicy, bool) {
	if h.policy == nil || h.policy.ForService == nil {
		return ServicePolicy{}, false
	}

	return h.policy.ForService(service)
}

// pickerFor returns the picker of the active preset, or that of the node's configuration.
func (h *Handler) pickerFor(service string) pick.Picker {
	if policy, ok := h.servicePolicy(service); ok && policy.RoundRobin {
		return h.roundRobin
	}

	return h.picker
}

// mayHedge reports whether the call may be sent to a second upstream while the first is slow.
func (h *Handler) mayHedge(c spar.Call) bool {
	if h.policy == nil || h.policy.NewHedger == nil || !c.Idempotent || c.Service.Mode != spar.ModeAny {
		return false
	}

	policy, ok := h.servicePolicy(c.Service.Name)

	return !ok || policy.Hedging
}

// SetPolicy sets the policy. It must be called before the first request is served. Without a policy, calls are not
// hedged and not resent after an overload refusal (ReasonShed); other resends are unlimited.
func (h *Handler) SetPolicy(p *Policy) {
	h.policy = p
}

// hedger returns the hedger for a service and creates it on first use.
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

// dispatch makes one attempt at the call, or two if it is hedged. It returns the answer and all nodes tried so far.
func (h *Handler) dispatch(ctx context.Context, c spar.Call, tried []spar.NodeID) (spar.Answer, []spar.NodeID) {
	n, noOwner, ok := h.selectNode(c, tried)
	if !ok {
		return noOwner, tried
	}

	triedBefore := tried
	tried = append(tried, n.ID)

	if !h.mayHedge(c) {
		a := h.attempt(ctx, n, c)
		h.pullAfterMove(ctx, n, a, triedBefore)

		return a, tried
	}

	r := hedgedCall{handler: h, call: c, first: n, tried: tried}
	a := h.policy.hedger(c.Service.Name).Do(ctx, r.attemptNext)

	return a, r.triedNodes()
}

// hedgedCall is a call that may be in flight at two upstreams at once.
type hedgedCall struct {
	handler *Handler
	call    spar.Call
	first   spar.Node

	mu        sync.Mutex
	firstSent bool
	tried     []spar.NodeID
}

// attemptNext sends the call to the next node; the hedger calls it once for each attempt.
func (r *hedgedCall) attemptNext(ctx context.Context) spar.Answer {
	n, c, ok := r.nextNode()
	if !ok {
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNoOwner, "no second node serves %s", c.Service.Name)
	}

	return r.handler.attempt(ctx, n, c)
}

// nextNode returns the node for the next attempt and the call to send, or false if no untried node is left. The
// second attempt gets its own request id.
func (r *hedgedCall) nextNode() (spar.Node, spar.Call, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !r.firstSent {
		r.firstSent = true

		return r.first, r.call, true
	}

	n, _, ok := r.handler.selectNode(r.call, r.tried)
	if !ok || slices.Contains(r.tried, n.ID) {
		return n, r.call, false
	}

	r.tried = append(r.tried, n.ID)
	return n, r.call.WithID(rand.Text()), true
}

// triedNodes returns a copy of the nodes tried so far, because the losing attempt may still run and add to them.
func (r *hedgedCall) triedNodes() []spar.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()

	return slices.Clone(r.tried)
}

// hasUntried reports whether the service has a serving node that is not in tried.
func (h *Handler) hasUntried(c spar.Call, tried []spar.NodeID) bool {
	return slices.ContainsFunc(h.replica.View().ServingNodes(c.Service.Name), func(n spar.Node) bool {
		return !slices.Contains(tried, n.ID)
	})
}

// takeResend reports whether the entry node may resend the call after answer a, and takes the resend from the budget
// where one applies. earlierUnknown is true if an attempt before this one has an unknown outcome.
func (h *Handler) takeResend(
	ctx context.Context, c spar.Call, a spar.Answer, tried []spar.NodeID, earlierUnknown bool,
) bool {
	switch {
	case a.Outcome == spar.OutcomeCompleted || ctx.Err() != nil:
		return false
	case a.Outcome == spar.OutcomeUnknown:
		// The call may have crashed the backend server, so at most one more backend server may run it.
		return c.Idempotent && !earlierUnknown && interrupted(a.Reason) && h.spendResend()
	case a.Reason == spar.ReasonNoOwner || c.Service.Mode == spar.ModeKeyed && retryable(a):
		return true
	case retryable(a) || h.policy != nil && a.Reason == spar.ReasonShed && h.hasOtherUpstream(c, tried):
		return h.spendResend()
	default:
		return false
	}
}

// interrupted reports whether an attempt with an unknown outcome failed for this reason because a connection, server or
// lease was lost. ReasonNoLease counts, because the guard cancels a run when the node loses ownership. The
// guard also returns ReasonBroken if the deadline passes or the caller leaves during a run that may be shared.
func interrupted(r spar.Reason) bool {
	return r == spar.ReasonBroken || r == spar.ReasonCrashed || r == spar.ReasonNoLease
}

// spendResend takes one resend from the budget. Without a policy, resends are not limited.
func (h *Handler) spendResend() bool {
	return h.policy == nil || h.policy.Resends.Spend()
}

// hasOtherUpstream reports whether another node of a service with mode any is still untried, so that the call need not
// wait for the one that refused it.
func (h *Handler) hasOtherUpstream(c spar.Call, tried []spar.NodeID) bool {
	return c.Service.Mode == spar.ModeAny && h.hasUntried(c, tried)
}
