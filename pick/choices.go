package pick

import (
	"math/rand/v2"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// idleRetention is how long the statistics of an upstream that gets no calls are kept.
	idleRetention spar.Millis = 600_000
	// purgeInterval is the time between two searches for statistics to delete.
	purgeInterval spar.Millis = 60_000

	// randomDraws is the number of random draws before all nodes are searched for an available one.
	randomDraws = 8
)

// Settings are the settings of the picker with two random choices.
type Settings struct {
	// EjectRatio is the multiple of its peers' median latency above which an upstream is ejected.
	EjectRatio float64
	// MaxEjectShare is the maximum share of a service's upstreams that may be ejected at the same time.
	MaxEjectShare float64
	// EjectBackoff is the delay before the first trial call. It grows with repeated ejections.
	EjectBackoff spar.Millis
	// MaxEjectBackoff is the maximum delay before a trial call.
	MaxEjectBackoff spar.Millis
}

// TwoChoices chooses the better of two random upstreams by the measurements of this node and the load that the
// upstreams' guards report, and ejects stragglers. It uses nothing that a backend server reports about itself.
type TwoChoices struct {
	clock  spar.Clock
	cfg    Settings
	events spar.Recorder

	mu    sync.Mutex
	rand  *rand.Rand
	stats map[spar.NodeID]*upstreamStats
	// peerLatency is the median latency of the upstreams of each service.
	peerLatency map[string]spar.Millis
	lastReview  map[string]spar.Millis
	// serviceOf holds the services of the upstreams that were picked for a trial call.
	serviceOf map[spar.NodeID]string
	// dueTrials holds the ejected upstreams of each service that are due for a trial call.
	dueTrials map[string][]spar.Node
	lastPurge spar.Millis
}

// NewTwoChoices returns a picker without any measurements, which draws random numbers from source.
func NewTwoChoices(clock spar.Clock, cfg Settings, events spar.Recorder, source rand.Source) *TwoChoices {
	return &TwoChoices{
		clock: clock, cfg: cfg, events: events, rand: rand.New(source), stats: map[spar.NodeID]*upstreamStats{},
		peerLatency: map[string]spar.Millis{}, lastReview: map[string]spar.Millis{}, serviceOf: map[spar.NodeID]string{},
		dueTrials: map[string][]spar.Node{},
	}
}

// Pick returns the better of two random upstreams, or one that is due for a trial call.
func (c *TwoChoices) Pick(nodes []spar.Node, tried []spar.NodeID) spar.Node {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.clock.Now()
	service := nodes[0].Service

	if at, ok := c.lastReview[service]; !ok || now-at >= reviewInterval {
		c.lastReview[service] = now
		c.purgeIdle(now)
		c.review(now, nodes)
	}

	if n, ok := c.nextTrial(now, service, tried); ok {
		return n
	}

	first, ok := c.randomAvailable(nodes, tried)
	if !ok {
		untried := Untried(nodes, tried)

		return untried[c.rand.IntN(len(untried))]
	}

	second, ok := c.randomAvailable(nodes, append(slices.Clip(tried), first.ID))
	if peers := c.peerLatency[service]; ok &&
		c.statsOf(second.ID).cost(now, peers) < c.statsOf(first.ID).cost(now, peers) {
		return second
	}

	return first
}

// nextTrial returns an ejected upstream that is due for a trial call. Only first attempts are used as trial
// calls.
func (c *TwoChoices) nextTrial(now spar.Millis, service string, tried []spar.NodeID) (spar.Node, bool) {
	if len(tried) > 0 || len(c.dueTrials[service]) == 0 {
		return spar.Node{}, false
	}

	n := c.dueTrials[service][0]
	c.dueTrials[service] = c.dueTrials[service][1:]

	e := &c.statsOf(n.ID).ejection
	if !e.ejected || now < e.nextTrial {
		return n, false
	}

	e.trialPicked, e.nextTrial = true, now+trialTimeout
	c.serviceOf[n.ID] = service

	return n, true
}

// randomAvailable returns a random node that is neither ejected nor tried. A few random draws nearly always find
// one; checking all of 440 nodes for each call would take some 10 us.
func (c *TwoChoices) randomAvailable(nodes []spar.Node, tried []spar.NodeID) (spar.Node, bool) {
	available := func(n spar.Node) bool { return !c.statsOf(n.ID).ejection.ejected && !slices.Contains(tried, n.ID) }

	for range randomDraws {
		if n := nodes[c.rand.IntN(len(nodes))]; available(n) {
			return n, true
		}
	}

	start := c.rand.IntN(len(nodes))
	for i := range nodes {
		if n := nodes[(start+i)%len(nodes)]; available(n) {
			return n, true
		}
	}

	return spar.Node{}, false
}

// Begin records the start of an attempt, and whether it is a trial call.
func (c *TwoChoices) Begin(id spar.NodeID) func(spar.Millis, Result) {
	c.mu.Lock()
	defer c.mu.Unlock()

	u := c.statsOf(id)
	began := c.clock.Now()
	trial := u.ejection.trialPicked
	u.ejection.trialPicked = false
	u.begin(began)

	return func(_ spar.Millis, result Result) {
		c.mu.Lock()
		defer c.mu.Unlock()

		now := c.clock.Now()
		u.end(now, began, result)

		if trial && u.ejection.ejected {
			c.endTrial(now, now-began, id, c.serviceOf[id], result)
		}
	}
}

// Report stores the load that the upstream's guard has sent with its answer.
func (c *TwoChoices) Report(id spar.NodeID, l spar.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.statsOf(id).report(c.clock.Now(), l)
}

// Ejected returns the upstreams that are ejected at the moment.
func (c *TwoChoices) Ejected() []spar.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()

	var ids []spar.NodeID

	for id, u := range c.stats {
		if u.ejection.ejected {
			ids = append(ids, id)
		}
	}

	slices.Sort(ids)

	return ids
}

// statsOf returns the statistics of an upstream, which it creates if there are none.
func (c *TwoChoices) statsOf(id spar.NodeID) *upstreamStats {
	u, ok := c.stats[id]
	if !ok {
		u = &upstreamStats{}
		c.stats[id] = u
	}

	return u
}

// purgeIdle deletes the statistics of upstreams that have had no calls for idleRetention.
func (c *TwoChoices) purgeIdle(now spar.Millis) {
	if now-c.lastPurge < purgeInterval {
		return
	}

	c.lastPurge = now

	for id, u := range c.stats {
		if len(u.startTimes) == 0 && now-max(u.lastSample, u.ejection.nextTrial, u.loadAt) > idleRetention {
			delete(c.stats, id)
			delete(c.serviceOf, id)
		}
	}
}
