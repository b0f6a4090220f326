package pick

import (
	"math/rand/v2"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// forgetAfter is how long an upstream that gets no calls stays known.
	forgetAfter spar.Millis = 600_000
	// forgetPause is the time between two searches for such upstreams.
	forgetPause spar.Millis = 60_000

	openDraws = 8
)

// Settings are the settings of the picker with two choices.
type Settings struct {
	// EjectRatio is the multiple of its peers' median latency at which an upstream is ejected.
	EjectRatio float64
	// EjectShare bounds the share of a service's upstreams that are ejected at once.
	EjectShare float64
	// EjectPause is the first pause before a trial call, EjectPauseMost the longest.
	EjectPause     spar.Millis
	EjectPauseMost spar.Millis
}

// Choices chooses the better of two random upstreams by its own measurements, and leaves out
// stragglers. It uses nothing that a backend server reports about itself.
type Choices struct {
	clock  spar.Clock
	cfg    Settings
	events spar.Recorder

	mu       sync.Mutex
	rand     *rand.Rand
	known    map[spar.NodeID]*upstream
	usual    map[string]spar.Millis
	reviewed map[string]spar.Millis
	service  map[spar.NodeID]string
	due      map[string][]spar.Node
	forgot   spar.Millis
}

// NewChoices returns a picker that knows no upstream yet.
func NewChoices(clock spar.Clock, cfg Settings, events spar.Recorder, source rand.Source) *Choices {
	return &Choices{
		clock: clock, cfg: cfg, events: events, rand: rand.New(source), known: map[spar.NodeID]*upstream{},
		usual: map[string]spar.Millis{}, reviewed: map[string]spar.Millis{}, service: map[spar.NodeID]string{},
		due: map[string][]spar.Node{},
	}
}

// Pick chooses the better of two upstreams, or one that is due for a trial call.
func (c *Choices) Pick(nodes []spar.Node, tried []spar.NodeID) spar.Node {
	c.mu.Lock()
	defer c.mu.Unlock()

	now := c.clock.Now()
	service := nodes[0].Service

	if at, ok := c.reviewed[service]; !ok || now-at >= reviewPause {
		c.reviewed[service] = now
		c.forget(now)
		c.review(now, nodes)
	}

	if n, ok := c.trial(now, service, tried); ok {
		return n
	}

	first, ok := c.open(nodes, tried)
	if !ok {
		left := Untried(nodes, tried)

		return left[c.rand.IntN(len(left))]
	}

	second, ok := c.open(nodes, append(slices.Clip(tried), first.ID))
	if usual := c.usual[service]; ok && c.of(second.ID).cost(now, usual) < c.of(first.ID).cost(now, usual) {
		return second
	}

	return first
}

// trial returns an ejected upstream that is due for a trial call. Only first attempts are trial calls.
func (c *Choices) trial(now spar.Millis, service string, tried []spar.NodeID) (spar.Node, bool) {
	if len(tried) > 0 || len(c.due[service]) == 0 {
		return spar.Node{}, false
	}

	n := c.due[service][0]
	c.due[service] = c.due[service][1:]

	e := &c.of(n.ID).ejection
	if !e.out || now < e.until {
		return n, false
	}

	e.granted, e.until = true, now+trialMost
	c.service[n.ID] = service

	return n, true
}

// open returns a random node that is neither ejected nor tried. A few random draws nearly always find
// one; looking at all of 440 nodes for each call would take some 10 us.
func (c *Choices) open(nodes []spar.Node, tried []spar.NodeID) (spar.Node, bool) {
	fits := func(n spar.Node) bool { return !c.of(n.ID).ejection.out && !slices.Contains(tried, n.ID) }

	for range openDraws {
		if n := nodes[c.rand.IntN(len(nodes))]; fits(n) {
			return n, true
		}
	}

	start := c.rand.IntN(len(nodes))
	for i := range nodes {
		if n := nodes[(start+i)%len(nodes)]; fits(n) {
			return n, true
		}
	}

	return spar.Node{}, false
}

// Begin counts an attempt in.
func (c *Choices) Begin(id spar.NodeID) func(spar.Millis, End) {
	c.mu.Lock()
	defer c.mu.Unlock()

	u := c.of(id)
	began := c.clock.Now()
	trial := u.ejection.granted
	u.ejection.granted = false
	u.begin(began)

	return func(_ spar.Millis, end End) {
		c.mu.Lock()
		defer c.mu.Unlock()

		now := c.clock.Now()
		u.end(now, began, end)

		if trial && u.ejection.out {
			c.tried(now, now-began, id, c.service[id], end)
		}
	}
}

// Report takes the load that a guard told with its answer.
func (c *Choices) Report(id spar.NodeID, l spar.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.of(id).report(c.clock.Now(), l)
}

// Ejected returns the upstreams that are left out at the moment.
func (c *Choices) Ejected() []spar.NodeID {
	c.mu.Lock()
	defer c.mu.Unlock()

	var ids []spar.NodeID

	for id, u := range c.known {
		if u.ejection.out {
			ids = append(ids, id)
		}
	}

	slices.Sort(ids)

	return ids
}

func (c *Choices) of(id spar.NodeID) *upstream {
	u, ok := c.known[id]
	if !ok {
		u = &upstream{}
		c.known[id] = u
	}

	return u
}

// forget drops what is known about upstreams that have got no calls for long.
func (c *Choices) forget(now spar.Millis) {
	if now-c.forgot < forgetPause {
		return
	}

	c.forgot = now

	for id, u := range c.known {
		if len(u.begun) == 0 && now-max(u.sampled, u.ejection.until, u.reported) > forgetAfter {
			delete(c.known, id)
			delete(c.service, id)
		}
	}
}
