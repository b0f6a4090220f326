package relay

import (
	"context"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/peers"
)

const (
	// methodRules requests the row of the rules that a peer has in force.
	methodRules = "relay.rules"
	// rulesPullDelay is how long the store may take to deliver a version that a peer has announced, before the
	// version is pulled from the peer.
	rulesPullDelay spar.Millis = 250
	// rulesTimeout bounds the call to a peer. A row of the maximum size takes 70 ms over 10 Mbit/s.
	rulesTimeout spar.Millis = 800
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

// rulesReply holds the row of the rules that a node has in force. Without rules, its revision is 0.
type rulesReply struct {
	Row spar.Row `json:"row"`
}

// registerRules lets peers request the rules in force.
func (r *Relay) registerRules() {
	peers.Handle(r.mux, methodRules, func(context.Context, struct{}) (rulesReply, error) {
		return rulesReply{Row: r.operator.rulesRow()}, nil
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

// checkRules compares the version that a peer has in force with this node's. If the store does not deliver a
// newer version within rulesPullDelay, it is requested from both the store and the peer, since the store may refuse
// this node.
func (r *Relay) checkRules(s mesh.State) {
	if s.RulesVersion <= r.operator.version() {
		return
	}

	r.announced.add(s.RulesVersion, r.deps.Clock.Now())

	if r.pullingRules.CompareAndSwap(false, true) {
		go r.runPullRules(s)
	}
}

// runPullRules requests the rules that a peer has announced, unless the store delivers them within rulesPullDelay.
func (r *Relay) runPullRules(s mesh.State) {
	defer r.pullingRules.Store(false)

	if !r.deps.Clock.Sleep(r.work, rulesPullDelay) || s.RulesVersion <= r.operator.version() {
		return
	}

	r.operator.feed.Refresh()
	r.pullRules(s)
}

// pullRules requests the rules from a peer and puts them in force.
func (r *Relay) pullRules(s mesh.State) {
	ctx, cancel := context.WithTimeout(r.work, rulesTimeout.Duration())
	defer cancel()

	var reply rulesReply
	if err := r.peerPool.Call(ctx, s.PeerAddr, methodRules, struct{}{}, &reply); err != nil {
		r.deps.Log.Warn("cannot pull rules from peer", "peer", s.Node, "version", s.RulesVersion, "cause", err)

		return
	}

	if reply.Row.Revision > 0 {
		r.operator.updateRules([]spar.Row{reply.Row})
	}
}
