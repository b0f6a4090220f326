package entry

import (
	"math/rand/v2"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/spread"
)

const (
	// crossZoneCost is the penalty of a candidate in another availability zone, expressed as a time.
	// crossZoneDownloadCost is added to it for a download, since traffic between zones is expensive.
	crossZoneCost         spar.Millis = 4
	crossZoneDownloadCost spar.Millis = 80
	// utilizationWeight is the weight of the squared utilization in the assumed slowdown of a backend server, since
	// some servers slow down under load.
	utilizationWeight = 0.6
	// sampleSize is the number of random candidates that are compared for each request.
	sampleSize = 3
	// failureWeight is the penalty of a server that fails every request, as a multiple of its service time.
	// The penalty is computed with a service time of at least minFailureTime, since a failing server may respond
	// quickly.
	failureWeight              = 10
	minFailureTime spar.Millis = 150
	// failureSmoothing is the weight of a new outcome in the moving average of failures.
	failureSmoothing = 0.15
	// ejectionDuration is how long an unreachable node gets no requests from this node.
	ejectionDuration spar.Millis = 700
)

// Candidate is a node whose backend server may serve a request.
type Candidate struct {
	Node string
	// Addr is the address to which other nodes send requests for this candidate; empty if it is the local node.
	Addr string
	// InstanceID is the id of the only instance of the backend server that may run the request.
	InstanceID string
	// Local is true if the candidate is the local node.
	Local    bool
	SameZone bool
	// Cold is true if the backend server should get few requests, since it started recently.
	Cold bool
	Load gate.Load
	// LoadAt is when Load was reported, on the local clock.
	LoadAt spar.Millis
}

// Tracker keeps statistics of the requests that this node sends to each node: requests in flight, failures and
// ejections.
type Tracker struct {
	mu    sync.Mutex
	nodes map[string]*nodeStats
}

// nodeStats are the statistics of one node.
type nodeStats struct {
	inFlight int
	// sent is the number of requests sent since the report at reportedAt, and usual is the usual service time.
	sent         int
	reportedAt   spar.Millis
	usual        spar.Millis
	failureRate  float64
	ejectedUntil spar.Millis
}

// NewTracker returns a tracker without statistics.
func NewTracker() *Tracker {
	return &Tracker{nodes: map[string]*nodeStats{}}
}

// stats returns the statistics of a node. The caller holds mu.
func (t *Tracker) stats(node string) *nodeStats {
	n, ok := t.nodes[node]
	if !ok {
		n = &nodeStats{}
		t.nodes[node] = n
	}

	return n
}

// Begin counts a request sent to a node.
func (t *Tracker) Begin(node string) {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := t.stats(node)
	n.inFlight++
	n.sent++
}

// End counts the end of a request to a node and whether it failed.
func (t *Tracker) End(node string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := t.stats(node)
	n.inFlight--

	outcome := 0.0
	if failed {
		outcome = 1
	}

	n.failureRate += failureSmoothing * (outcome - n.failureRate)
}

// Eject marks a node as unreachable, so that it gets no requests for ejectionDuration.
func (t *Tracker) Eject(node string, now spar.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()

	t.stats(node).ejectedUntil = now + ejectionDuration
}

// Ejected reports whether a node is ejected at the moment.
func (t *Tracker) Ejected(node string, now spar.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()

	return now < t.knownLocked(node).ejectedUntil
}

// knownLocked returns a copy of the statistics of a node, without adding an entry for an unknown one.
func (t *Tracker) knownLocked(node string) nodeStats {
	if n, ok := t.nodes[node]; ok {
		return *n
	}

	return nodeStats{}
}

// cost returns a ranking value in milliseconds: the expected duration, increased for failures, other zones and recently
// started servers.
func (t *Tracker) cost(c Candidate, kind rules.Kind) spar.Millis {
	t.mu.Lock()
	n := t.knownLocked(c.Node)
	t.mu.Unlock()

	slots := max(1, c.Load.Slots)
	utilization := float64(max(c.Load.Running+c.Load.Waiting, n.inFlight)) / float64(slots)
	slowdown := 1 + utilizationWeight*utilization*utilization

	// Requests beyond the slots wait.
	if utilization >= 1 {
		slowdown += utilization
	}

	cost := c.Load.MeanServiceTime*spar.Millis(slowdown) + failureCost(c, n.failureRate)

	cost += pathCost(c, kind)

	// A recently started server is ranked as if a request took three times as long, so that it gets fewer.
	if c.Cold {
		cost *= 3
	}

	return cost
}

// failureCost returns the penalty of a candidate that fails a share of its requests.
func failureCost(c Candidate, rate float64) spar.Millis {
	return max(c.Load.MeanServiceTime, minFailureTime) * spar.Millis(failureWeight*rate)
}

// pathCost returns the penalty of a candidate for the network path to it.
func pathCost(c Candidate, kind rules.Kind) spar.Millis {
	var cost spar.Millis

	if !c.SameZone {
		cost += crossZoneCost
		if kind == rules.Download {
			cost += crossZoneDownloadCost
		}
	}

	if !c.Local && kind == rules.Download {
		cost += c.Load.Link
	}

	return cost
}

// usable returns the candidates that were not yet tried for a request and are not ejected.
func (t *Tracker) usable(candidates []Candidate, tried map[string]bool, now spar.Millis) []Candidate {
	list := make([]Candidate, 0, len(candidates))

	for _, c := range candidates {
		if !tried[c.Node] && !t.Ejected(c.Node, now) {
			list = append(list, c)
		}
	}

	return list
}

// Spread returns the candidate that package spread chooses among those that were not yet tried for this request and are
// not ejected. It returns false if there is none.
func (t *Tracker) Spread(
	candidates []Candidate, kind rules.Kind, tried map[string]bool, now spar.Millis,
) (Candidate, bool) {
	usable := t.usable(candidates, tried, now)

	i := spread.Choose(t.servers(usable, kind, now), rand.Float64)
	if i < 0 {
		return Candidate{}, false
	}

	return usable[i], true
}

// servers returns what is known of the candidates' backend servers.
func (t *Tracker) servers(candidates []Candidate, kind rules.Kind, now spar.Millis) []spread.Server {
	t.mu.Lock()
	defer t.mu.Unlock()

	list := make([]spread.Server, len(candidates))

	for i, c := range candidates {
		n := t.stats(c.Node)
		*n = n.withReport(c)
		list[i] = n.server(c, kind, now)
	}

	return list
}

// withReport returns the statistics after the load report of a candidate.
func (n nodeStats) withReport(c Candidate) nodeStats {
	// Another request may have observed a newer report between this one's list of candidates and now.
	if c.LoadAt > n.reportedAt {
		n.usual = spread.UsualTime(n.usual, c.Load.MeanServiceTime, c.LoadAt-n.reportedAt)
		n.sent, n.reportedAt = 0, c.LoadAt
	}

	return n
}

// server returns what is known of a candidate's backend server.
func (n nodeStats) server(c Candidate, kind rules.Kind, now spar.Millis) spread.Server {
	return spread.Server{
		Slots: c.Load.Slots, Load: c.Load.Running + c.Load.Waiting, ServiceTime: n.usual,
		Slowdown: float64(c.Load.Slowdown) / 100, Age: now - c.LoadAt, Sent: n.sent, Near: c.SameZone,
		InFlight: n.inFlight, FailureRate: n.failureRate,
		Penalty: failureCost(c, n.failureRate) + pathCost(c, kind), Cold: c.Cold,
	}
}

// Best returns the candidate with the lowest cost among a few random ones that were not yet tried for this request and
// are not ejected. It returns false if there is none. It does not compare all candidates: otherwise every node would
// choose the server with the lowest reported load, which would get the requests of the whole fleet until its next
// report.
func (t *Tracker) Best(
	candidates []Candidate, kind rules.Kind, tried map[string]bool, now spar.Millis,
) (Candidate, bool) {
	usable := t.usable(candidates, tried, now)

	var (
		best   Candidate
		lowest spar.Millis
	)

	for i := range min(sampleSize, len(usable)) {
		j := i + rand.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]

		if cost := t.cost(usable[i], kind); i == 0 || cost < lowest {
			best, lowest = usable[i], cost
		}
	}

	return best, len(usable) > 0
}
