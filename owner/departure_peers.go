package owner

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/peers"
)

// The lease row holds the newest departure of a node's backend server. Other nodes keep it as well, from the node's
// states, since the table may be unavailable when the server departs, or lose the row later. A node asks some of them
// when it starts, and those that know more than its states say notify it.

const (
	// methodDeparture asks for the newest departure that a node knows of the caller's backend server, and
	// methodDeparted notifies a node of the departure of its own backend server.
	methodDeparture = "owner.departure"
	methodDeparted  = "owner.departed"

	// departurePeers is the number of nodes that are told of a departure, or asked for one. They are the first ones in
	// an order that depends on the node's name, so that both are mostly the same.
	departurePeers = 5
	// departureCopies is the number of nodes that must know of a departure which the table has not recorded, unless
	// fewer are alive.
	departureCopies = 2
	// replicateDelay is how long the table may take to record a departure before other nodes are told.
	replicateDelay spar.Millis = 250
	// departureCallTimeout is the timeout of a call that tells or asks another node.
	departureCallTimeout spar.Millis = 300
	// nodesTimeout is how long a starting node waits for the table of nodes after its lease row was read.
	nodesTimeout spar.Millis = 2000
	// departureExpiry is how long departures of a node that is not heard from are kept. Heartbeats arrive seconds late
	// at most.
	departureExpiry spar.Millis = 600_000
)

// departureQuery asks for the newest departure of a node's backend server.
type departureQuery struct {
	Node string `json:"node"`
}

// departureInfo is the newest departure of a node's backend server; zero if there is none.
type departureInfo struct {
	Node     string           `json:"node"`
	Departed spar.Incarnation `json:"left,omitzero"`
}

// departureRecord is the newest departure of another node's backend server.
type departureRecord struct {
	departed spar.Incarnation
	// process is the process of the node that named the departure, in the state with the number seq.
	process string
	seq     int64
	// notified is the process of the node that was last notified of the departure.
	notified string
	// heard is when the node last sent a state.
	heard spar.Millis
}

// departureLog keeps the newest departures of the other nodes' backend servers.
type departureLog struct {
	mu      sync.Mutex
	records map[string]departureRecord
}

func newDepartureLog() *departureLog {
	return &departureLog{records: map[string]departureRecord{}}
}

// update records what the state of a node says, and returns the newest departure of its backend server. A process may
// take back a departure that it has named, if its server no longer drains, but none that an earlier process has named.
func (l *departureLog) update(s mesh.State, now spar.Millis) spar.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()

	r, known := l.records[s.Node]
	if !known {
		if s.Departed.IsZero() {
			return spar.Incarnation{}
		}

		l.removeExpiredLocked(now)
	}

	newer := s.Departed.StartedMs >= r.departed.StartedMs
	if r.process == s.Incarnation {
		newer = s.Seq >= r.seq
	}

	if newer {
		r.departed, r.process, r.seq = s.Departed, s.Incarnation, s.Seq
	}

	r.heard = now
	l.records[s.Node] = r

	return r.departed
}

// newest returns the newest departure of a node's backend server.
func (l *departureLog) newest(node string) spar.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.records[node].departed
}

// beginNotification reports whether a process is to be notified of the departure of its backend server, which it is
// once.
func (l *departureLog) beginNotification(node, process string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	r := l.records[node]
	if r.process == process || r.notified == process {
		return false
	}

	r.notified = process
	l.records[node] = r

	return true
}

// notificationFailed lets a node be notified again.
func (l *departureLog) notificationFailed(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if r, ok := l.records[node]; ok {
		r.notified = ""
		l.records[node] = r
	}
}

func (l *departureLog) removeExpiredLocked(now spar.Millis) {
	for node, r := range l.records {
		if now-r.heard > departureExpiry {
			delete(l.records, node)
		}
	}
}

// registerDepartures serves the calls of other nodes about departures.
func (o *Owner) registerDepartures(mux *peers.Mux) {
	peers.Handle(mux, methodDeparture, func(_ context.Context, q departureQuery) (departureInfo, error) {
		return departureInfo{Node: q.Node, Departed: o.departures.newest(q.Node)}, nil
	})
	peers.Handle(mux, methodDeparted, func(_ context.Context, d departureInfo) (struct{}, error) {
		if d.Node == o.cfg.Node {
			o.learnDeparture(d.Departed)
		}

		return struct{}{}, nil
	})
}

// CheckDeparture records the departure in the state of a peer, and notifies the peer if an earlier process of it has
// named a newer one.
func (o *Owner) CheckDeparture(ctx context.Context, s mesh.State) {
	newest := o.departures.update(s, o.deps.Clock.Now())

	if newest.StartedMs > s.Departed.StartedMs && o.departures.beginNotification(s.Node, s.Incarnation) {
		go o.runNotifyDeparted(ctx, s.PeerAddr, departureInfo{Node: s.Node, Departed: newest})
	}
}

// runNotifyDeparted notifies a peer of the departure of its backend server.
func (o *Owner) runNotifyDeparted(ctx context.Context, addr string, d departureInfo) {
	ctx, cancel := context.WithTimeout(ctx, departureCallTimeout.Duration())
	defer cancel()

	if err := o.deps.Peers.Call(ctx, addr, methodDeparted, d, nil); err != nil {
		o.deps.Log.Info("node not notified of its backend server's departure", "node", d.Node, "cause", err)
		o.departures.notificationFailed(d.Node)
	}
}

// NodesRead lets a starting node ask the others for earlier departures. It is called when the table of nodes has been
// read.
func (o *Owner) NodesRead() {
	o.mu.Lock()
	defer o.mu.Unlock()

	if !o.nodesKnown {
		o.nodesKnown = true
		close(o.nodesRead)
	}
}

// runLearn learns the departures that earlier processes of this node acknowledged, from the lease row and from other
// nodes. Heartbeats are accepted after that.
func (o *Owner) runLearn(ctx context.Context) {
	select {
	case <-o.earlierRead:
	case <-ctx.Done():
		return
	}

	t := o.deps.Clock.Timer(nodesTimeout)
	defer t.Stop()

	select {
	case <-o.nodesRead:
	case <-t.C:
		o.deps.Log.Warn("table of nodes not read; departures may be missing")
	case <-ctx.Done():
		return
	}

	o.askDepartures(ctx)
	close(o.departuresKnown)
}

// askDepartures asks other nodes for the departure of this node's backend server, and waits for their replies.
func (o *Owner) askDepartures(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	for _, p := range o.firstPeers(func(mesh.Peer) bool { return true }) {
		wg.Go(func() { o.runAskDeparture(ctx, p) })
	}
}

// runAskDeparture asks one node for the departure of this node's backend server.
func (o *Owner) runAskDeparture(ctx context.Context, p mesh.Peer) {
	ctx, cancel := context.WithTimeout(ctx, departureCallTimeout.Duration())
	defer cancel()

	d, err := o.askDeparture(ctx, p)
	if err != nil {
		o.deps.Log.Info("node not asked for departures", "peer", p.Node, "cause", err)

		return
	}

	o.learnDeparture(d.Departed)
}

// runReplicate tells other nodes of a departure, unless ctx ends before replicateDelay has passed. It sends on
// replicated whether enough of them know it.
func (o *Owner) runReplicate(ctx context.Context, departed spar.Incarnation, replicated chan<- bool) {
	if !o.deps.Clock.Sleep(ctx, replicateDelay) {
		replicated <- false

		return
	}

	now, timeout := o.deps.Clock.Now(), o.deps.Mesh.LivenessTimeout()
	list := o.firstPeers(func(p mesh.Peer) bool { return p.LastHeard > 0 && p.Alive(now, timeout) && !p.Leaving })
	known := make(chan bool, len(list))

	for _, p := range list {
		go o.runTellDeparture(ctx, p, departed, known)
	}

	copies := 0

	for range list {
		if <-known {
			copies++
		}
	}

	replicated <- copies > 0 && copies >= min(departureCopies, len(list))
}

// runTellDeparture sends this node's state, which names the newest departure, to a peer. It sends on known whether the
// peer knows a departure then.
func (o *Owner) runTellDeparture(ctx context.Context, p mesh.Peer, departed spar.Incarnation, known chan<- bool) {
	ctx, cancel := context.WithTimeout(ctx, departureCallTimeout.Duration())
	defer cancel()

	err := o.deps.Mesh.Exchange(ctx, p)

	var d departureInfo
	if err == nil {
		d, err = o.askDeparture(ctx, p)
	}

	if err != nil {
		o.deps.Log.Info("node not told of the departure", "peer", p.Node, "cause", err)
	}

	known <- err == nil && d.Departed == departed
}

// askDeparture asks a peer for the newest departure that it knows of this node's backend server.
func (o *Owner) askDeparture(ctx context.Context, p mesh.Peer) (departureInfo, error) {
	var d departureInfo

	err := o.deps.Peers.Call(ctx, p.PeerAddr, methodDeparture, departureQuery{Node: o.cfg.Node}, &d)

	return d, err
}

// firstPeers returns the first departurePeers of the peers that fit, in the order of the hash of their and this node's
// names.
func (o *Owner) firstPeers(fits func(mesh.Peer) bool) []mesh.Peer {
	list := slices.DeleteFunc(o.deps.Mesh.Peers(), func(p mesh.Peer) bool { return p.Node == o.cfg.Node || !fits(p) })
	rank := func(p mesh.Peer) uint64 { return xxhash.Sum64String(o.cfg.Node + "\x00" + p.Node) }

	slices.SortFunc(list, func(a, b mesh.Peer) int { return cmp.Compare(rank(b), rank(a)) })

	return list[:min(departurePeers, len(list))]
}
