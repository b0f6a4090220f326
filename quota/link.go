package quota

import (
	"context"
	"errors"
	"math/rand/v2"

	spar "sardinespar.example/spar"
)

const (
	// methodTake requests credits and lends shares, and methodHandover passes the levels of buckets on.
	methodTake     = "quota.take"
	methodHandover = "quota.handover"
	// callTimeout bounds a call. Credits that arrive later would expire soon.
	callTimeout spar.Millis = 400
	// retryDelay is the delay after a failed call. After maxFailures in a row, the node counts as failing and is only
	// probed every probeInterval.
	retryDelay    spar.Millis = 50
	maxFailures               = 3
	probeInterval spar.Millis = 1000
	// goneInterval is the time between two calls to a coordinator that is leaving or not heard from.
	goneInterval spar.Millis = 500
	// returnTime is the rest of its validity in which a credit that is not expected to be used is returned. The view is
	// updated at least once in this time, and the call needs some time to arrive.
	returnTime spar.Millis = 300
)

// errReply is returned for a reply that does not answer the request.
var errReply = errors.New("reply has no stamp or not one grant for each tenant")

// ask is the part of a request that concerns one tenant. With Lend, the node lends its share of the tenant's limit.
type ask struct {
	Tenant  string `json:"tenant"`
	Credits int    `json:"credits"`
	Lend    bool   `json:"lend,omitempty"`
	// Unused are credits that the coordinator granted and the node will not use.
	Unused []Unused `json:"unused,omitempty"`
}

// takeRequest carries everything that a node wants from one coordinator.
type takeRequest struct {
	Node  string  `json:"node"`
	Take  []ask   `json:"take"`
	Share float64 `json:"share,omitempty"`
	// LeaseMS is the time for which the share is lent from Stamp, the newest stamp that the coordinator sent.
	LeaseMS spar.Millis `json:"lease_ms,omitempty"`
	Stamp   Stamp       `json:"stamp,omitzero"`
}

// grant is the answer for one tenant.
type grant struct {
	Tenant       string      `json:"tenant"`
	Credits      int         `json:"credits"`
	RetryAfterMS spar.Millis `json:"retry_after_ms,omitempty"`
	// Next is set if another node is the coordinator. The share of the requesting node is then released.
	Next Member `json:"next,omitzero"`
}

// takeReply is the reply to a takeRequest.
type takeReply struct {
	Grants []grant `json:"grants"`
	Stamp  Stamp   `json:"stamp"`
}

// link is a coordinator from which this node requests credits. It has at most one call in flight.
type link struct {
	member Member
	busy   bool
	// stamp is the newest stamp, which was received at stampedAt.
	stamp     Stamp
	stampedAt spar.Millis
	// failures is the number of failed calls in a row.
	failures  int
	failing   bool
	nextProbe spar.Millis
}

// link returns the link to a node.
func (q *Quota) link(m Member) *link {
	l, ok := q.links[m.Node]
	if !ok {
		l = &link{}
		q.links[m.Node] = l
	}

	l.member = m

	return l
}

// askLocked starts a call to the tenant's coordinator if one is due and none is in flight.
func (q *Quota) askLocked(a *account, now spar.Millis) {
	m, ok := q.pick(a, now)
	if !ok {
		return
	}

	l := q.link(m)
	if _, due := q.wanted(a, l, now); due && !l.busy {
		q.startCalls(l)
	}
}

// startCalls makes Run start the calls of a link.
func (q *Quota) startCalls(l *link) {
	l.busy = true
	q.pending = append(q.pending, l)

	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// probeLocked checks whether the live nodes that do not answer do so again.
func (q *Quota) probeLocked(now spar.Millis) {
	for node, l := range q.links {
		switch _, live := q.live[node]; {
		case l.busy:
		case !live:
			// Its shares are not lent anymore once its leases have ended; a node that returns has a new link.
			if now-l.stampedAt > maxLease {
				delete(q.links, node)
			}
		case l.failing && now >= l.nextProbe:
			q.startCalls(l)
		}
	}
}

// wanted returns what to ask a coordinator for, and whether a call is due for that.
func (q *Quota) wanted(a *account, l *link, now spar.Millis) (ask, bool) {
	w := ask{Tenant: a.name}

	if now >= a.nextAsk {
		w.Credits = BatchSize(a.waiting, a.stock.Len(now), a.demand.Ahead(now))
	}

	surplus := w.Credits == 0 && a.surplus(l, now) > 0

	if !q.mayLend(a, l.member, now) {
		return w, w.Credits > 0 || surplus
	}

	lease := q.lease()
	w.Lend = l.stamp != Stamp{} && now-l.stampedAt < lease*staleShare

	renew := lease * renewShare
	if _, ok := q.live[l.member.Node]; !ok {
		// The coordinator is leaving and releases the share when it is asked.
		renew = goneInterval
	}

	// Without a fresh stamp, the first of two calls gets one.
	due := w.Credits > 0 || surplus || a.holder.Node != l.member.Node || now-a.lentAt >= renew || now >= a.holdUntil

	return w, due
}

// surplus returns the number of credits to return to a coordinator.
func (a *account) surplus(l *link, now spar.Millis) int {
	if l.stamp == (Stamp{}) {
		return 0
	}

	return a.stock.Surplus(now, returnTime, a.waiting+a.demand.Ahead(now), l.stamp.Run)
}

// runCalls makes one call after the other while any is due.
func (q *Quota) runCalls(ctx context.Context, l *link) {
	for {
		req, member, ok := q.prepare(l)
		if !ok {
			return
		}

		reply, err := q.call(ctx, member, req.takeRequest)
		q.finish(l, req, reply, err)

		if err != nil && !q.deps.Clock.Sleep(ctx, retryDelay) {
			// No call follows, since ctx has ended.
			return
		}
	}
}

// prepared is a request with its accounts and the time at which it was prepared.
type prepared struct {
	takeRequest

	accounts []*account
	at       spar.Millis
}

// prepare builds the next request of a link, or marks the link as idle if none is due.
func (q *Quota) prepare(l *link) (prepared, Member, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.deps.Clock.Now()
	p := prepared{at: now}
	p.Node, p.Share, p.LeaseMS = q.cfg.Node, Share(q.known), q.lease()

	if l.member.Node == q.cfg.Node {
		q.coordinatorMu.Lock()
		l.stamp, l.stampedAt = q.coordinator.Stamp(now), now
		q.coordinatorMu.Unlock()
	}

	p.Stamp = l.stamp
	anyDue := l.failing && now >= l.nextProbe

	for _, a := range q.accounts {
		if m, ok := q.pick(a, now); !ok || m.Node != l.member.Node {
			continue
		}

		w, due := q.wanted(a, l, now)
		anyDue = anyDue || due

		if due || w.Lend {
			// The credits are removed before they are sent: a call without a reply may have arrived.
			w.Unused = a.stock.Remove(a.surplus(l, now), l.stamp.Run)
			p.Take = append(p.Take, w)
			p.accounts = append(p.accounts, a)
		}
	}

	if !anyDue {
		l.busy = false

		return prepared{}, Member{}, false
	}

	q.holdLocked(p, l)

	return p, l.member, true
}

// holdLocked records which shares a request lends, before it is sent: a call without a reply may have arrived.
func (q *Quota) holdLocked(p prepared, l *link) {
	for i, a := range p.accounts {
		if !p.Take[i].Lend {
			continue
		}

		if a.holder.Node == q.cfg.Node && l.member.Node != q.cfg.Node {
			q.releaseSelfLocked(a, p.at)
		}

		a.holder, a.lentAt = l.member, p.at
		// The coordinator issued the stamp before it arrived here, so its lease ends before this one.
		a.holdUntil = max(a.holdUntil, l.stampedAt+p.LeaseMS)
	}
}

// releaseSelfLocked takes this node's share from its own coordinator.
func (q *Quota) releaseSelfLocked(a *account, now spar.Millis) {
	rate, burst, _ := q.deps.Limits(a.name)

	q.coordinatorMu.Lock()
	defer q.coordinatorMu.Unlock()

	q.coordinator.Release(now, a.name, Limit{Rate: rate, Burst: burst}, q.cfg.Node)
	a.holdUntil = now
}

// call sends a request to a coordinator, which may be this node.
func (q *Quota) call(ctx context.Context, m Member, req takeRequest) (takeReply, error) {
	if m.Node == q.cfg.Node {
		return q.serveTake(ctx, req)
	}

	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()

	var reply takeReply

	err := q.deps.Caller.Call(ctx, m.Addr, methodTake, req, &reply)
	if err == nil && (reply.Stamp == Stamp{} || len(reply.Grants) != len(req.Take)) {
		err = errReply
	}

	return reply, err
}

// finish applies the reply to a request.
func (q *Quota) finish(l *link, p prepared, reply takeReply, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.deps.Clock.Now()

	if err != nil {
		q.failedLocked(l, now, err)

		return
	}

	l.failures = 0
	if l.failing {
		l.failing = false
		q.updateUsable()
		q.deps.Log.Info("quota coordinator answers again", "node", l.member.Node)
	}

	l.stamp, l.stampedAt = reply.Stamp, now

	// The grants are in the order of the request.
	for i, g := range reply.Grants {
		q.applyLocked(p.accounts[i], g, p.Take[i], l, p.at, now)
	}
}

// applyLocked applies the answer for one tenant to a request that was sent at the given time.
func (q *Quota) applyLocked(a *account, g grant, w ask, l *link, sent, now spar.Millis) {
	if g.Next.Node != "" {
		if a.holder.Node == l.member.Node {
			a.holdUntil, a.lentAt = now, 0
		}

		q.redirectLocked(a, g.Next, now)
		a.wake()

		return
	}

	a.stock.Add(min(max(0, g.Credits), w.Credits), sent+creditTTL, l.stamp, now)

	if g.Credits < w.Credits {
		a.nextAsk = now + max(minRetry, min(maxRetry, g.RetryAfterMS))*spar.Millis(1+retryJitter*rand.Float64())
	}

	a.wake()
}

// retryJitter is the part by which the time until a node asks again varies, so that nodes do not ask all at once.
const retryJitter = 0.25

// redirectLocked follows a coordinator's reference to another one.
func (q *Quota) redirectLocked(a *account, next Member, now spar.Millis) {
	if next.Node == q.cfg.Node {
		next.Addr = ""
	}

	if q.failing(next) || next.Node == q.cfg.Node && !q.isTopLocked(a.name) {
		// The two nodes disagree about which nodes are alive.
		a.aloneUntil = now + aloneTime

		return
	}

	a.redirect, a.redirectUntil = next, now+redirectTime
}

// failedLocked counts a failed call.
func (q *Quota) failedLocked(l *link, now spar.Millis, err error) {
	l.failures++
	l.nextProbe = now + probeInterval

	if l.failures < maxFailures || l.failing {
		return
	}

	l.failing = true
	q.updateUsable()
	q.deps.Log.Warn("quota coordinator does not answer", "node", l.member.Node, "cause", err)
}
