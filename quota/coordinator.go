package quota

import (
	"math"

	spar "sardinespar.example/spar"
)

const (
	// maxLease bounds the time for which a node can lend its share.
	maxLease spar.Millis = 60_000
	// waitTime is how long a node that got fewer credits than it asked for counts as one that waits for credits.
	waitTime spar.Millis = 500
	// minRetry and maxRetry bound the time after which a node asks again.
	minRetry spar.Millis = 20
	maxRetry spar.Millis = 500
	// noShareRetry is the time after which a node asks again at a coordinator to which no share is lent.
	noShareRetry spar.Millis = 100
)

// Stamp is a time on a coordinator's clock. A node returns the newest stamp when it lends its share, and the lease of
// the share counts from the stamp. Therefore the lease ends in time at the coordinator even if the call is delayed or
// the coordinator is suspended. Run identifies the coordinator's process.
type Stamp struct {
	Run uint64      `json:"run"`
	At  spar.Millis `json:"at"`
}

// Unused is a number of credits that a node will not use, and when they were granted on the coordinator's clock.
type Unused struct {
	At      spar.Millis `json:"at"`
	Credits int         `json:"credits"`
}

// Lending describes how a node lends its share of limits.
type Lending struct {
	// Node is the node that lends, and Share its share.
	Node  string
	Share float64
	// Lease is the time from Stamp for which the share is lent.
	Lease spar.Millis
	Stamp Stamp
}

// Coordinator grants the credits of the tenants whose shares are lent to this node.
type Coordinator struct {
	run   uint64
	pools map[string]*pool
}

// pool is the bucket of one tenant with the shares that are lent to it.
type pool struct {
	bucket  *Bucket
	lenders map[string]*lender
	// share is the sum of the lenders' shares. Before nextExpiry, none of them ends.
	share      float64
	nextExpiry spar.Millis
}

// lender is a node that lends its share or asks for credits.
type lender struct {
	share float64
	until spar.Millis
	// released is the time of the stamp up to which lending is void, since the share was released.
	released spar.Millis
	// returned is the time of the newest stamp with which credits were returned. A call that arrives again has the same
	// stamp, and its credits do not count again.
	returned spar.Millis
	// waitsUntil is the time until which the node counts as one that waits for credits.
	waitsUntil spar.Millis
}

// NewCoordinator returns a coordinator to which no share is lent. Each process has another run.
func NewCoordinator(run uint64) *Coordinator {
	return &Coordinator{run: run, pools: map[string]*pool{}}
}

// Stamp returns the stamp for a reply.
func (c *Coordinator) Stamp(now spar.Millis) Stamp {
	return Stamp{Run: c.run, At: now}
}

// pool returns the pool of a tenant as of now. A new one is empty, since an earlier coordinator may have granted all
// credits of the burst.
func (c *Coordinator) pool(now spar.Millis, tenant string, limit Limit) *pool {
	p, ok := c.pools[tenant]
	if !ok {
		p = &pool{bucket: NewBucket(now), lenders: map[string]*lender{}, nextExpiry: now}
		c.pools[tenant] = p
	}

	p.expire(now)
	p.bucket.Advance(now, limit, p.share)

	return p
}

// expire removes the shares whose leases have ended.
func (p *pool) expire(now spar.Millis) {
	if now < p.nextExpiry {
		return
	}

	p.nextExpiry = now + maxLease
	p.share = 0

	for node, l := range p.lenders {
		if l.until <= now {
			l.share = 0
		}

		if l.share == 0 && now > max(l.until, l.released+maxLease, l.waitsUntil, l.returned+unusedTime) {
			delete(p.lenders, node)

			continue
		}

		if l.share > 0 {
			p.share += l.share
			p.nextExpiry = min(p.nextExpiry, l.until)
		}
	}

	p.share = min(1, p.share)
}

func (p *pool) lender(node string) *lender {
	l, ok := p.lenders[node]
	if !ok {
		l = &lender{released: spar.Millis(math.Inf(-1)), returned: spar.Millis(math.Inf(-1))}
		p.lenders[node] = l
	}

	return l
}

// Lend adds the share of a node to a tenant's bucket, or renews its lease. A stamp of another process, or one from
// before the share was released, is void.
func (c *Coordinator) Lend(now spar.Millis, tenant string, limit Limit, lending Lending) {
	p := c.pool(now, tenant, limit)
	l := p.lender(lending.Node)
	until := lending.Stamp.At + min(lending.Lease, maxLease)

	if lending.Stamp.Run != c.run || lending.Stamp.At > now || lending.Stamp.At <= l.released || until <= now ||
		!(lending.Share > 0 && lending.Share <= 1) {
		return
	}

	l.share, l.until = lending.Share, max(l.until, until)
	p.nextExpiry = now
	p.expire(now)
}

// Release ends the lease of a node's share immediately.
func (c *Coordinator) Release(now spar.Millis, tenant string, limit Limit, node string) {
	p := c.pool(now, tenant, limit)
	l := p.lender(node)
	l.share, l.until, l.released = 0, now, now
	p.nextExpiry = now
	p.expire(now)
}

// Return puts back the credits that a node will not use. Each stamp of this coordinator permits one return, so that a
// call that arrives twice returns nothing the second time.
func (c *Coordinator) Return(now spar.Millis, tenant string, limit Limit, node string, stamp Stamp, unused []Unused) {
	p := c.pool(now, tenant, limit)
	l := p.lender(node)

	if stamp.Run != c.run || stamp.At > now || stamp.At <= l.returned {
		return
	}

	l.returned = stamp.At

	for _, u := range unused {
		// A credit that was granted after the stamp would outlive the record of the return.
		if u.At <= stamp.At {
			p.bucket.Return(now, limit, p.share, u.At, u.Credits)
		}
	}
}

// Take grants a node up to n credits. If it grants fewer, it returns the time after which the node should ask again.
// If several nodes wait for credits, each gets an equal part of those that are left.
func (c *Coordinator) Take(now spar.Millis, tenant string, limit Limit, node string, n int) (int, spar.Millis) {
	const second = 1000

	p := c.pool(now, tenant, limit)
	waiting := p.waiting(now, node)
	// Rounded up, since the tokens of many waiting nodes would otherwise exceed the capacity before each gets a second.
	most := max(1, math.Ceil(p.bucket.Level()/float64(waiting)))
	granted := p.bucket.Take(int(min(float64(n), most)))
	l := p.lender(node)

	if granted >= n {
		if n > 0 {
			l.waitsUntil = now
		}

		return granted, 0
	}

	l.waitsUntil = now + waitTime

	if p.share == 0 || limit.Rate <= 0 {
		return granted, noShareRetry
	}

	missing := max(0, 1-p.bucket.Level()) + float64(p.waiting(now, node)-1)
	after := spar.Millis(missing / (limit.Rate * p.share) * second)

	return granted, min(maxRetry, max(minRetry, after))
}

// waiting returns the number of nodes that wait for credits, with the given one.
func (p *pool) waiting(now spar.Millis, node string) int {
	n := 1

	for name, l := range p.lenders {
		if name != node && now < l.waitsUntil {
			n++
		}
	}

	return n
}

// Share returns the sum of the shares that are lent for a tenant.
func (c *Coordinator) Share(now spar.Millis, tenant string) float64 {
	p, ok := c.pools[tenant]
	if !ok {
		return 0
	}

	p.expire(now)

	return p.share
}

// Tenants returns the tenants that have a bucket.
func (c *Coordinator) Tenants() []string {
	list := make([]string, 0, len(c.pools))
	for name := range c.pools {
		list = append(list, name)
	}

	return list
}

// Level is what a coordinator hands over to the next one: the tokens of a bucket, and the number of granted credits
// that may still be unused.
type Level struct {
	Tenant string  `json:"tenant"`
	Level  float64 `json:"level"`
	Unused float64 `json:"unused,omitempty"`
}

// Drain empties a tenant's bucket and returns its level.
func (c *Coordinator) Drain(now spar.Millis, tenant string, limit Limit) Level {
	level, unused := c.pool(now, tenant, limit).bucket.Drain()

	return Level{Tenant: tenant, Level: level, Unused: unused}
}

// Receive adds the level that another coordinator handed over. Its tokens are kept for a time, within which the nodes
// lend their shares to this coordinator.
func (c *Coordinator) Receive(now spar.Millis, limit Limit, l Level, keep spar.Millis) {
	p := c.pool(now, l.Tenant, limit)
	p.bucket.Receive(now, limit, p.share, l.Level, l.Unused, now+min(keep, maxLease))
}

// Forget removes the bucket of a tenant if no share is lent to it and it is empty. Tokens of a tenant without a limit
// are lost, since nothing else would remove them; a new bucket starts empty.
func (c *Coordinator) Forget(now spar.Millis, tenant string, limited bool) {
	p, ok := c.pools[tenant]
	if !ok {
		return
	}

	p.expire(now)

	p.bucket.roll(now)

	empty := p.bucket.Level() < epsilon || !limited
	if empty && len(p.lenders) == 0 && p.bucket.Unused() == 0 {
		delete(c.pools, tenant)
	}
}
