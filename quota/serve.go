package quota

import (
	"context"
	"errors"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
)

// errNoNode is returned for a request that does not name the node that sent it.
var errNoNode = errors.New("request names no node")

// Register adds the handlers for calls of other nodes to mux.
func (q *Quota) Register(mux *peers.Mux) {
	peers.Handle(mux, methodTake, q.serveTake)
	peers.Handle(mux, methodHandover, q.serveHandover)
}

// serveTake grants credits to a node. It releases the node's share of tenants that have another coordinator.
func (q *Quota) serveTake(_ context.Context, req takeRequest) (takeReply, error) {
	if req.Node == "" {
		return takeReply{}, errNoNode
	}

	grants := make([]grant, len(req.Take))
	for i, w := range req.Take {
		grants[i] = grant{Tenant: w.Tenant}
	}

	if req.Node != q.cfg.Node {
		q.redirect(grants)
	}

	now := q.deps.Clock.Now()
	lending := Lending{Node: req.Node, Share: req.Share, Lease: req.LeaseMS, Stamp: req.Stamp}

	q.coordinatorMu.Lock()
	defer q.coordinatorMu.Unlock()

	for i, w := range req.Take {
		q.grantLocked(now, &grants[i], w, lending)
	}

	return takeReply{Grants: grants, Stamp: q.coordinator.Stamp(now)}, nil
}

// redirect sets the next coordinator in the answers for tenants that this node does not coordinate. A coordinator that
// sees a new one goes on until it has handed the tenant over.
func (q *Quota) redirect(grants []grant) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for i, g := range grants {
		switch m, ok := q.topLocked(g.Tenant); {
		case q.acting[g.Tenant] || !ok:
		case m.Node == q.cfg.Node:
			q.acting[g.Tenant] = true
		default:
			grants[i].Next = m
		}
	}
}

// grantLocked completes the answer for one tenant. Without a limit in the rules of this node, which may be older than
// those of the other one, nothing is granted.
func (q *Quota) grantLocked(now spar.Millis, g *grant, w ask, lending Lending) {
	rate, burst, limited := q.deps.Limits(w.Tenant)
	limit := Limit{Rate: rate, Burst: burst}

	switch {
	case !limited:
		g.RetryAfterMS = noShareRetry
	case g.Next.Node != "":
		q.coordinator.Release(now, w.Tenant, limit, lending.Node)
	default:
		if w.Lend {
			q.coordinator.Lend(now, w.Tenant, limit, lending)
		}

		if len(w.Unused) > 0 {
			q.coordinator.Return(now, w.Tenant, limit, lending.Node, lending.Stamp, w.Unused)
		}

		g.Credits, g.RetryAfterMS = q.coordinator.Take(now, w.Tenant, limit, lending.Node, min(w.Credits, maxCredits))
	}
}

// handoverRequest carries the levels of buckets to the next coordinator.
type handoverRequest struct {
	Levels []Level `json:"levels"`
}

// serveHandover receives the levels of buckets from their former coordinator.
func (q *Quota) serveHandover(_ context.Context, req handoverRequest) (struct{}, error) {
	now := q.deps.Clock.Now()

	q.mu.Lock()
	keep := q.lease()

	for _, l := range req.Levels {
		if !q.leaving {
			q.acting[l.Tenant] = true
			q.successions[l.Tenant] = now + successionTime
		}
	}

	q.mu.Unlock()

	q.coordinatorMu.Lock()
	defer q.coordinatorMu.Unlock()

	for _, l := range req.Levels {
		if rate, burst, limited := q.deps.Limits(l.Tenant); limited {
			q.coordinator.Receive(now, Limit{Rate: rate, Burst: burst}, l, keep)
		}
	}

	return struct{}{}, nil
}

// forget removes the unused buckets.
func (q *Quota) forget(now spar.Millis) {
	q.coordinatorMu.Lock()
	defer q.coordinatorMu.Unlock()

	for _, name := range q.coordinator.Tenants() {
		_, _, limited := q.deps.Limits(name)
		q.coordinator.Forget(now, name, limited)
	}
}

// handOver sends the levels of the buckets that belong to other coordinators, and waits for the replies. This node
// then refers other nodes to them.
func (q *Quota) handOver(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	for m, levels := range q.drain() {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			defer cancel()

			// The levels are lost if the call fails: the node may have received them.
			err := q.deps.Caller.Call(ctx, m.Addr, methodHandover, handoverRequest{Levels: levels}, &struct{}{})
			if err != nil {
				q.deps.Log.Warn("quotas not handed over", "node", m.Node, "tenants", len(levels), "cause", err)
			}

			q.mu.Lock()
			defer q.mu.Unlock()

			for _, l := range levels {
				delete(q.acting, l.Tenant)
			}
		})
	}
}

// drain empties the buckets of the tenants that another node coordinates, and returns their levels by that node. The
// shares that nodes still lend to this one go on filling such a bucket until they are released.
func (q *Quota) drain() map[Member][]Level {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.coordinatorMu.Lock()
	defer q.coordinatorMu.Unlock()

	now := q.deps.Clock.Now()
	next := map[Member][]Level{}

	for _, name := range q.coordinator.Tenants() {
		m, ok := q.topLocked(name)
		if !ok || m.Node == q.cfg.Node || q.keepsLocked(name, now) {
			continue
		}

		rate, burst, _ := q.deps.Limits(name)
		if l := q.coordinator.Drain(now, name, Limit{Rate: rate, Burst: burst}); l.Level > 0 || q.acting[name] {
			next[m] = append(next[m], l)
		}
	}

	return next
}

// keepsLocked reports whether this node keeps the bucket of a tenant that another one should coordinate: the tenant was
// just handed over to it, or the bucket has this node's own share, since it can't reach the coordinator.
func (q *Quota) keepsLocked(tenant string, now spar.Millis) bool {
	if q.leaving {
		return false
	}

	a, ok := q.accounts[tenant]
	alone := ok && a.holder.Node == q.cfg.Node && now < a.holdUntil && !q.acting[tenant]

	return alone || now < q.successions[tenant]
}
