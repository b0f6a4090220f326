// Package retry keeps the retries of a fleet within one bound for each service, without messages between the nodes.
//
// In every window, the retries for a service may be a ratio of the requests for it, and a number beyond that, the
// slack. Each node uses the ratio of its own requests and an equal part of the slack, so that all nodes together stay
// within the bound whichever of them retry.
package retry

import (
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// ownShare is the part of the bound that nodes use for retries of their own. A run that is a retry makes its calls
	// to other services again, and these can't be told from other requests. The requests for the called service include
	// the calls, so the calls of retried runs take about the same part of its bound. The rest is for retried runs that
	// make more calls than the first runs, which may have failed early.
	ownShare = 0.4
	// buckets is the number of parts of a window in which requests and retries are counted.
	buckets = 20
	// minWindow is the shortest window that has parts of whole milliseconds.
	minWindow spar.Millis = buckets
	// nodesInterval is how long the number of nodes is used before it is asked for again.
	nodesInterval spar.Millis = 1000
)

// Settings are the bound of a fleet's retries.
type Settings struct {
	// Ratio is the number of retries for each request for the same service, and Slack the number beyond that which all
	// nodes together may make in a window.
	Ratio  float64
	Slack  float64
	Window spar.Millis
}

// Deps are the dependencies of a Budget.
type Deps struct {
	Clock spar.Clock
	// Nodes returns the number of nodes that share the slack, or 0 if it is not known.
	Nodes func() int
}

// Budget is a node's part of the retries of each service.
type Budget struct {
	cfg  Settings
	deps Deps
	// started is when the process began. An earlier process of the node may have used up the window before, so this one
	// makes no retries in its first window.
	started spar.Millis

	mu       sync.Mutex
	services map[string]*window
	nodes    int
	nodesAt  spar.Millis
}

// window counts what happened for a service in the last parts of a window.
type window struct {
	// last is the number of the newest part; parts are numbered from the clock's zero.
	last     int64
	requests [buckets + 1]int
	retries  [buckets + 1]int
}

// New returns a Budget without requests. Settings without a ratio and slack permit no retries.
func New(cfg Settings, deps Deps) *Budget {
	cfg.Window = max(cfg.Window, minWindow)

	return &Budget{cfg: cfg, deps: deps, started: deps.Clock.Now(), services: map[string]*window{}}
}

// Earn counts a request for a service at this node.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.windowLocked(service)
	w.requests[w.index(0)]++
}

// Spend takes a retry and reports whether there was one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.windowLocked(service)
	if !b.availableLocked(w) {
		return false
	}

	w.retries[w.index(0)]++

	return true
}

// Available reports whether Spend would take a retry now.
func (b *Budget) Available(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.availableLocked(b.windowLocked(service))
}

// Return returns a retry that Spend took and that was not made.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	w := b.windowLocked(service)

	for age := range buckets + 1 {
		if i := w.index(age); w.retries[i] > 0 {
			w.retries[i]--

			return
		}
	}
}

// Use is the state of a service's budget.
type Use struct {
	// Requests and Retries are those of this node in the last window, and Limit is the number of retries that it may
	// make in a window at present.
	Requests int
	Retries  int
	Limit    float64
}

// Use returns the state of a service's budget.
func (b *Budget) Use(service string) Use {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.useLocked(b.windowLocked(service))
}

func (b *Budget) availableLocked(w *window) bool {
	u := b.useLocked(w)

	return float64(u.Retries+1) <= u.Limit
}

// useLocked counts retries for a little longer than a window and requests for at most a window, so that the bound holds
// in every window, wherever it begins.
func (b *Budget) useLocked(w *window) Use {
	var u Use

	for age := range buckets + 1 {
		u.Retries += w.retries[w.index(age)]

		if age < buckets {
			u.Requests += w.requests[w.index(age)]
		}
	}

	if b.deps.Clock.Now() >= b.started+b.cfg.Window {
		u.Limit = ownShare * (b.cfg.Ratio*float64(u.Requests) + b.slackLocked())
	}

	return u
}

// slackLocked returns this node's part of the slack, which is 0 while the number of nodes is not known.
func (b *Budget) slackLocked() float64 {
	if b.cfg.Slack == 0 {
		return 0
	}

	now := b.deps.Clock.Now()
	if b.nodes == 0 || now-b.nodesAt >= nodesInterval {
		b.nodes, b.nodesAt = b.deps.Nodes(), now
	}

	if b.nodes == 0 {
		return 0
	}

	return b.cfg.Slack / float64(b.nodes)
}

// windowLocked returns the counts of a service after dropping those that are too old.
func (b *Budget) windowLocked(service string) *window {
	number := int64(b.deps.Clock.Now() / (b.cfg.Window / buckets))

	w, ok := b.services[service]
	if !ok {
		w = &window{last: number}
		b.services[service] = w
	}

	for range min(number-w.last, buckets+1) {
		w.last++
		w.requests[w.index(0)], w.retries[w.index(0)] = 0, 0
	}

	w.last = max(w.last, number)

	return w
}

// index returns the position of the part that is the given number of parts older than the newest.
func (w *window) index(age int) int {
	return int((w.last - int64(age) + buckets + 1) % (buckets + 1))
}
