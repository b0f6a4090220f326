package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/tally"
)

const (
	// maxWait and waitShare bound the time for which a request waits for a credit: the latter is a part of the time to
	// its objective.
	maxWait   spar.Millis = 100
	waitShare spar.Millis = 0.125
	// minSleep bounds the sleeps of a waiting request, since a rest of less than a nanosecond would round to 0.
	minSleep spar.Millis = 0.1
	// minLease and leasePerNode determine for how long a node lends its share. A longer lease costs fewer calls, and a
	// shorter one frees the shares of a lost coordinator earlier. Idle nodes renew it after renewShare of it.
	minLease     spar.Millis = 5000
	leasePerNode spar.Millis = 20
	renewShare               = 0.4
	// staleShare is the part of a lease after which a stamp is too old to lend a share with it.
	staleShare = 0.8
	// startShare is the part of a lease for which a new process doesn't lend its share if it hears from at least
	// heardShare of the nodes: an earlier process may have lent it to another coordinator. Otherwise it waits for the
	// whole lease.
	startShare = 0.2
	heardShare = 0.75
	// joinShare is the part of a lease for which a new process asks the coordinators that it will replace, since they
	// need some time to notice it and to hand over.
	joinShare = 0.5
	// tickInterval is the interval between two updates of the view.
	tickInterval spar.Millis = 200
	// aloneTime is how long a node keeps its share to itself after a coordinator referred it to one that it can't
	// reach.
	aloneTime spar.Millis = 2000
	// redirectTime is how long the coordinator that another one named is preferred to the node's own choice, which may
	// be based on an older view.
	redirectTime spar.Millis = 5000
	// successionTime is how long a node goes on with a tenant that was handed over to it, whatever its view is. A leaving
	// node announces that to all others at once.
	successionTime spar.Millis = 2000
)

// Settings configure a Quota.
type Settings struct {
	// Node is the name of this node.
	Node string
}

// Deps are the dependencies of a Quota.
type Deps struct {
	Clock  spar.Clock
	Caller peers.Caller
	// Limits returns the limit of a tenant by the rules in force, and Tenants the names of the tenants with limits.
	Limits  Limits
	Tenants func() []string
	// Nodes returns what is known of the fleet.
	Nodes func() View
	Log   *log.Logger
	// Tally receives the counts of granted and refused requests.
	Tally *tally.Tally
}

// Quota admits the requests of tenants within their limits.
type Quota struct {
	cfg  Settings
	deps Deps

	// mu guards the fields below. It may be held while coordinatorMu is locked, but not the other way round.
	mu       sync.Mutex
	accounts map[string]*account
	links    map[string]*link
	// live are the nodes that may be coordinators by name, with this one unless it is leaving, and usable those of them
	// that answer calls.
	live   map[string]Member
	usable []Member
	// view are the other live nodes in the last view.
	view []Member
	// tops caches the coordinator of each tenant among the usable nodes.
	tops map[string]Member
	// acting are the tenants that this node coordinates. Until the times in successions, it goes on with those that were
	// handed over to it, since its view may not be up to date yet.
	acting      map[string]bool
	successions map[string]spar.Millis
	known       int
	leaving     bool
	started     spar.Millis
	// pending are the links whose calls Run has yet to start, and wake notifies Run of them.
	pending []*link
	wake    chan struct{}

	coordinatorMu sync.Mutex
	coordinator   *Coordinator

	metrics metrics
}

// account is a tenant at this node.
type account struct {
	name   string
	stock  Stock
	demand Demand
	// waiting is the number of requests that wait for a credit, and changed is closed when a reply arrives for them.
	waiting int
	changed chan struct{}
	// nextAsk is the earliest time at which credits are requested again.
	nextAsk spar.Millis
	// holder is the node to which this node's share is lent until holdUntil; it was last renewed at lentAt.
	holder    Member
	holdUntil spar.Millis
	lentAt    spar.Millis
	// redirect is the coordinator that another one named, preferred until redirectUntil. Until aloneUntil, this node
	// keeps its share to itself.
	redirect      Member
	redirectUntil spar.Millis
	aloneUntil    spar.Millis
	counts        counts
}

// New returns a Quota; Run starts it.
func New(cfg Settings, deps Deps) *Quota {
	return &Quota{
		cfg: cfg, deps: deps, accounts: map[string]*account{}, links: map[string]*link{}, live: map[string]Member{},
		tops: map[string]Member{}, acting: map[string]bool{}, successions: map[string]spar.Millis{},
		started: deps.Clock.Now(), wake: make(chan struct{}, 1), coordinator: NewCoordinator(rand.Uint64()),
	}
}

// Take takes a credit for a request of a tenant, which may wait a part of the time to its objective for it. Without a
// credit, it returns false and the time after which there may be one.
func (q *Quota) Take(ctx context.Context, tenant string, objective spar.Millis) (Credit, spar.Millis, bool) {
	if tenant == "" {
		return Credit{}, 0, true
	}

	if _, _, limited := q.deps.Limits(tenant); !limited {
		return Credit{}, 0, true
	}

	now := q.deps.Clock.Now()

	q.mu.Lock()
	defer q.mu.Unlock()

	a := q.account(tenant)
	a.demand.Add(now)

	if c, ok := q.takeLocked(a, now); ok {
		if a.nextAsk <= now && a.stock.Len(now) <= a.demand.Ahead(now)/2 {
			q.askLocked(a, now)
		}

		return c, 0, true
	}

	return q.waitLocked(ctx, a, now, now+min(maxWait, (objective-now)*waitShare))
}

// account returns the account of a tenant.
func (q *Quota) account(tenant string) *account {
	a, ok := q.accounts[tenant]
	if !ok {
		a = &account{name: tenant}
		q.accounts[tenant] = a
	}

	return a
}

// takeLocked takes a credit from the stock.
func (q *Quota) takeLocked(a *account, now spar.Millis) (Credit, bool) {
	expires, granted, ok := a.stock.Take(now)
	if !ok {
		return Credit{}, false
	}

	a.counts.granted++

	if a.holder.Node == q.cfg.Node && !q.isTopLocked(a.name) {
		a.counts.fallback++
	}

	return Credit{Tenant: a.name, Expires: expires, Granted: granted}, true
}

// waitLocked waits for a credit until a time. The lock is released while it waits.
func (q *Quota) waitLocked(ctx context.Context, a *account, now, until spar.Millis) (Credit, spar.Millis, bool) {
	a.waiting++
	defer func() { a.waiting-- }()

	for now < until && a.nextAsk < until && ctx.Err() == nil {
		q.askLocked(a, now)

		if a.changed == nil {
			a.changed = make(chan struct{})
		}

		wake := until
		if a.nextAsk > now {
			wake = a.nextAsk
		}

		q.sleepUnlocked(ctx, a.changed, wake-now)

		now = q.deps.Clock.Now()
		if c, ok := q.takeLocked(a, now); ok {
			return c, 0, true
		}
	}

	a.counts.refused++

	return Credit{}, max(0, a.nextAsk-now), false
}

// sleepUnlocked releases the lock until a reply arrives or d has passed.
func (q *Quota) sleepUnlocked(ctx context.Context, changed <-chan struct{}, d spar.Millis) {
	q.mu.Unlock()
	defer q.mu.Lock()

	t := q.deps.Clock.Timer(max(d, minSleep))
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// Return returns the credit of a request that did not reach a backend server. It stays valid only as long as it was
// when it was granted; if no other request here needs it, a call to the coordinator returns it before that.
func (q *Quota) Return(c Credit) {
	if c.Tenant == "" {
		return
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	a, now := q.account(c.Tenant), q.deps.Clock.Now()
	a.counts.granted--
	a.stock.Add(1, c.Expires, c.Granted, now)
	a.wake()
	q.askLocked(a, now)
}

// wake wakes the requests that wait for a credit.
func (a *account) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// Run updates the view of the fleet, renews leases and makes the calls to coordinators until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	wg.Go(func() { q.loop(ctx) })

	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}

		for _, l := range q.takePending() {
			wg.Go(func() { q.runCalls(ctx, l) })
		}
	}
}

// takePending returns the links whose calls are to be started and clears the list.
func (q *Quota) takePending() []*link {
	q.mu.Lock()
	defer q.mu.Unlock()

	links := q.pending
	q.pending = nil

	return links
}

// loop updates the view at intervals.
func (q *Quota) loop(ctx context.Context) {
	for {
		q.tick(ctx)

		if !q.deps.Clock.Sleep(ctx, tickInterval) {
			return
		}
	}
}

// tick updates the view, renews leases, hands over the buckets of tenants that have another coordinator, and publishes
// the metrics.
func (q *Quota) tick(ctx context.Context) {
	names := q.deps.Tenants()
	if len(names) == 0 && q.unused() {
		return
	}

	view, now := q.deps.Nodes(), q.deps.Clock.Now()

	q.mu.Lock()
	q.updateView(view)

	limited := make(map[string]bool, len(names))

	for _, name := range names {
		limited[name] = true
		q.askLocked(q.account(name), now)
	}

	for name, a := range q.accounts {
		if !limited[name] && a.waiting == 0 && now >= a.holdUntil && a.stock.Len(now) == 0 {
			q.metrics.removed = q.metrics.removed.plus(a.counts)
			delete(q.accounts, name)
		}
	}

	maps.DeleteFunc(q.successions, func(_ string, until spar.Millis) bool { return until <= now })
	// Calls may name tenants that the rules of this node do not contain, or no longer.
	maps.DeleteFunc(q.acting, func(name string, _ bool) bool {
		_, succeeds := q.successions[name]

		return !limited[name] && !succeeds
	})
	q.probeLocked(now)
	q.publishLocked(now)
	q.mu.Unlock()

	q.forget(now)
	q.handOver(ctx)
}

// unused reports whether no tenant has had a limit so far, so that there is nothing to do.
func (q *Quota) unused() bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.accounts) == 0 && len(q.live) == 0
}

// updateView replaces the view of the fleet.
func (q *Quota) updateView(view View) {
	q.known = view.Known

	if len(q.live) > 0 && slices.Equal(view.Live, q.view) {
		return
	}

	q.view = view.Live
	clear(q.live)

	if !q.leaving {
		q.live[q.cfg.Node] = Member{Node: q.cfg.Node}
	}

	for _, m := range view.Live {
		q.live[m.Node] = m
	}

	q.updateUsable()
}

// updateUsable updates the usable nodes after a change of the live ones or of those that answer.
func (q *Quota) updateUsable() {
	q.usable = q.usable[:0]
	clear(q.tops)

	for _, m := range q.live {
		if !q.failing(m) {
			q.usable = append(q.usable, m)
		}
	}
}

// failing reports whether a node does not answer calls.
func (q *Quota) failing(m Member) bool {
	l, ok := q.links[m.Node]

	return ok && l.failing
}

// topLocked returns the coordinator of a tenant among the usable nodes.
func (q *Quota) topLocked(tenant string) (Member, bool) {
	if m, ok := q.tops[tenant]; ok {
		return m, true
	}

	m, ok := Choose(tenant, q.usable)
	if ok {
		q.tops[tenant] = m
	}

	return m, ok
}

// isTopLocked reports whether this node is the coordinator of a tenant.
func (q *Quota) isTopLocked(tenant string) bool {
	m, ok := q.topLocked(tenant)

	return ok && m.Node == q.cfg.Node
}

// pick returns the coordinator from which this node requests the credits of a tenant. It stays with the one to which
// its share is lent until that one no longer answers or releases the share, as a leaving node does.
func (q *Quota) pick(a *account, now spar.Millis) (Member, bool) {
	self := Member{Node: q.cfg.Node}

	switch {
	case (now < a.aloneUntil || q.acting[a.name]) && !q.leaving:
		return self, true
	case now < a.holdUntil && a.holder != self && !q.failing(a.holder):
		return a.holder, true
	case now < a.redirectUntil && !q.failing(a.redirect):
		return a.redirect, true
	case now < q.started+q.lease()*joinShare && q.isTopLocked(a.name) && len(q.usable) > 1:
		// The others have not handed the tenant over yet.
		return q.secondLocked(a.name)
	default:
		return q.topLocked(a.name)
	}
}

// secondLocked returns the coordinator of a tenant among the usable nodes without this one.
func (q *Quota) secondLocked(tenant string) (Member, bool) {
	return Choose(tenant, slices.DeleteFunc(slices.Clone(q.usable), func(m Member) bool { return m.Node == q.cfg.Node }))
}

// lease returns the time for which shares are lent.
func (q *Quota) lease() spar.Millis {
	return min(maxLease, max(minLease, leasePerNode*spar.Millis(q.known)))
}

// mayLend reports whether this node's share of a tenant's limit may be lent to a node now.
func (q *Quota) mayLend(a *account, m Member, now spar.Millis) bool {
	wait := q.lease()
	if float64(len(q.live)) >= heardShare*float64(q.known) {
		wait *= startShare
	}

	if q.known <= 0 || now < q.started+wait {
		return false
	}

	return now >= a.holdUntil || a.holder.Node == m.Node || a.holder.Node == q.cfg.Node
}

// Leave hands over the buckets to the next coordinators and grants no further credits.
func (q *Quota) Leave(ctx context.Context) {
	q.mu.Lock()
	q.leaving = true
	delete(q.live, q.cfg.Node)
	q.updateUsable()
	q.mu.Unlock()

	q.handOver(ctx)
}
