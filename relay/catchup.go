package relay

import (
	"context"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/zones"
)

const (
	// methodOperator requests what a peer knows of the operators' table. Its name is that of the method which returned
	// the rules alone, so that nodes of the builds before and after can call each other.
	methodOperator = "relay.rules"
	// operatorPullDelay is how long the store may take to deliver a change that a peer has announced, before the
	// change is pulled from the peer.
	operatorPullDelay spar.Millis = 250
	// operatorTimeout bounds the call to a peer. A row of the maximum size takes 70 ms over 10 Mbit/s.
	operatorTimeout spar.Millis = 800
)

// announcements are the versions of the rules that peers have announced and this node lacks, in ascending order.
type announcements struct {
	mu   sync.Mutex
	list []announcement
}

// announcement is a version and the time when it was first announced.
type announcement struct {
	version uint64
	at      spar.Millis
}

// add records a version that a peer has in force.
func (a *announcements) add(version uint64, now spar.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if k := len(a.list); k == 0 || a.list[k-1].version < version {
		a.list = append(a.list, announcement{version: version, at: now})
	}
}

// since returns when the first version above the given one was announced, and whether there is any.
func (a *announcements) since(version uint64) (spar.Millis, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.list = slices.DeleteFunc(a.list, func(x announcement) bool { return x.version <= version })
	if len(a.list) == 0 {
		return 0, false
	}

	return a.list[0].at, true
}

// operatorReply holds the row of the rules that a node has in force, and the withdrawn zones. Without rules, the
// revision of the row is 0.
type operatorReply struct {
	Row   spar.Row       `json:"row"`
	Zones zones.Snapshot `json:"zones"`
}

// registerOperator lets peers request what this node knows of the operators' table.
func (r *Relay) registerOperator() {
	peers.Handle(r.mux, methodOperator, func(context.Context, struct{}) (operatorReply, error) {
		return operatorReply{Row: r.operator.rulesRow(), Zones: r.operator.zones.Snapshot()}, nil
	})
}

// rulesLag returns how long peers have been known to have newer rules, and whether they have any.
func (r *Relay) rulesLag() (spar.Millis, bool) {
	at, ok := r.announced.since(r.operator.version())
	if !ok {
		return 0, false
	}

	return r.deps.Clock.Now() - at, true
}

// behind reports whether a peer knows newer rules, or other withdrawn zones as of a newer revision.
func (o *operator) behind(s mesh.State) bool {
	known := o.zones.Snapshot()

	return s.RulesVersion > o.version() || s.ZonesRevision > known.Revision && s.ZonesDigest != known.Digest()
}

// checkOperator compares what a peer knows of the operators' table with what this node knows. If the store does not
// deliver a change within operatorPullDelay, it is requested from both the store and the peer, since the store may
// refuse this node or leave its long poll without a response.
func (r *Relay) checkOperator(s mesh.State) {
	if !r.operator.behind(s) {
		return
	}

	if s.RulesVersion > r.operator.version() {
		r.announced.add(s.RulesVersion, r.deps.Clock.Now())
	}

	if r.pullingOperator.CompareAndSwap(false, true) {
		go r.runPullOperator(s)
	}
}

// runPullOperator requests the changes that a peer has announced, unless the store delivers them within
// operatorPullDelay.
func (r *Relay) runPullOperator(s mesh.State) {
	defer r.pullingOperator.Store(false)

	if !r.deps.Clock.Sleep(r.work, operatorPullDelay) || !r.operator.behind(s) {
		return
	}

	r.operator.feed.Refresh()
	r.pullOperator(s)
}

// pullOperator requests what a peer knows of the operators' table and applies it.
func (r *Relay) pullOperator(s mesh.State) {
	ctx, cancel := context.WithTimeout(r.work, operatorTimeout.Duration())
	defer cancel()

	var reply operatorReply
	if err := r.peerPool.Call(ctx, s.PeerAddr, methodOperator, struct{}{}, &reply); err != nil {
		r.deps.Log.Warn("cannot pull operators' changes from peer", "peer", s.Node, "version", s.RulesVersion,
			"zones_revision", s.ZonesRevision, "cause", err)

		return
	}

	r.operator.replaceZones(reply.Zones)

	if reply.Row.Revision > 0 {
		r.operator.updateRules([]spar.Row{reply.Row})
	}
}
