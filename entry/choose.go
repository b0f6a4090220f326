package entry

import (
	"math/rand/v2"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

const (
	// farCost is what a request to another availability zone costs, as a time, and farDownload what a
	// download does, whose bytes between zones are dear.
	farCost     spar.Millis = 4
	farDownload spar.Millis = 80
	// busyWeight is how much a fully used backend server counts as slower, since some are.
	busyWeight = 0.6
	// looks is the number of candidates that are compared.
	looks = 3
	// failWeight is how many times its service time a failing backend server counts as slower, and failLeast
	// the least service time for that, since failing may be quick.
	failWeight             = 10
	failLeast  spar.Millis = 150
	// failGain is the weight of a new outcome in the share of failures.
	failGain = 0.15
	// shunFor is how long a node that could not be reached gets no requests.
	shunFor spar.Millis = 700
)

// Candidate is a node whose backend server may serve a request.
type Candidate struct {
	Node  string
	Addr  string
	Life  string
	Local bool
	Near  bool
	Cold  bool
	Load  gate.Load
}

// Tracker keeps this node's own view of the others: requests under way, failures, unreachable nodes.
type Tracker struct {
	mu    sync.Mutex
	nodes map[string]*track
}

type track struct {
	open  int
	fails float64
	shun  spar.Millis
}

// NewTracker returns a tracker that knows nothing.
func NewTracker() *Tracker {
	return &Tracker{nodes: map[string]*track{}}
}

func (t *Tracker) at(node string) *track {
	n, ok := t.nodes[node]
	if !ok {
		n = &track{}
		t.nodes[node] = n
	}

	return n
}

// Begin counts a request sent to a node.
func (t *Tracker) Begin(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.at(node).open++
}

// End counts its result.
func (t *Tracker) End(node string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := t.at(node)
	n.open--

	now := 0.0
	if failed {
		now = 1
	}

	n.fails += failGain * (now - n.fails)
}

// Shun keeps requests from a node for a while.
func (t *Tracker) Shun(node string, now spar.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.at(node).shun = now + shunFor
}

// Shunned reports whether a node gets no requests.
func (t *Tracker) Shunned(node string, now spar.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return now < t.at(node).shun
}

// cost estimates how long a request would take at a candidate, and what it costs besides.
func (t *Tracker) cost(c Candidate, kind rules.Kind) spar.Millis {
	t.mu.Lock()
	n := *t.at(c.Node)
	t.mu.Unlock()

	slots := max(1, c.Load.Slots)
	busy := float64(max(c.Load.Running+c.Load.Waiting, n.open)) / float64(slots)
	slower := 1 + busyWeight*busy*busy

	if busy >= 1 {
		slower += busy
	}

	cost := c.Load.Service*spar.Millis(slower) + max(c.Load.Service, failLeast)*spar.Millis(failWeight*n.fails)

	if !c.Near {
		cost += farCost
		if kind == rules.Download {
			cost += farDownload
		}
	}

	if !c.Local && kind == rules.Download {
		cost += c.Load.Link
	}

	if c.Cold {
		cost *= 3
	}

	return cost
}

// Best returns the candidate with the lowest cost among some that are neither tried nor shunned. It
// looks at a few random ones only: if all nodes took the best of all, those whose loads were told last
// would get the requests of the whole fleet until they are told again.
func (t *Tracker) Best(list []Candidate, kind rules.Kind, tried map[string]bool, now spar.Millis) (Candidate, bool) {
	usable := make([]Candidate, 0, len(list))

	for _, c := range list {
		if !tried[c.Node] && !t.Shunned(c.Node, now) {
			usable = append(usable, c)
		}
	}

	var (
		best  Candidate
		least spar.Millis
	)

	for i := range min(looks, len(usable)) {
		j := i + rand.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]

		if cost := t.cost(usable[i], kind); i == 0 || cost < least {
			best, least = usable[i], cost
		}
	}

	return best, len(usable) > 0
}
