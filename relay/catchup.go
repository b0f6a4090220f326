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
	// methodRules asks a peer for the row of the rules that it has in force.
	methodRules = "relay.rules"
	// storeDelay is how long the store's own answer may come after a peer announced a version.
	storeDelay spar.Millis = 250
	// rulesTimeout bounds the call of a peer. A row of the greatest size takes 70 ms over 10 Mbit/s.
	rulesTimeout spar.Millis = 800
)

// announcements are the versions of the rules that peers have in force and this node lacks.
type announcements struct {
	mu   sync.Mutex
	list []announcement
}

// announcement is when a version was first heard of.
type announcement struct {
	version uint64
	at      spar.Millis
}

// note takes a version that a peer has in force.
func (n *announcements) note(version uint64, now spar.Millis) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if k := len(n.list); k == 0 || n.list[k-1].version < version {
		n.list = append(n.list, announcement{version: version, at: now})
	}
}

// since returns when the oldest version above one was announced, and whether there is any.
func (n *announcements) since(version uint64) (spar.Millis, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.list = slices.DeleteFunc(n.list, func(t announcement) bool { return t.version <= version })
	if len(n.list) == 0 {
		return 0, false
	}

	return n.list[0].at, true
}

// rulesReply is the row of the rules that a node has in force; none has no revision.
type rulesReply struct {
	Row spar.Row `json:"row"`
}

// registerRules serves the rules in force to peers.
func (r *Relay) registerRules() {
	peers.Handle(r.mux, methodRules, func(context.Context, struct{}) (rulesReply, error) {
		return rulesReply{Row: r.operator.row()}, nil
	})
}

// behind reports whether peers are known to have newer rules, and for how long.
func (r *Relay) behind() (spar.Millis, bool) {
	at, ok := r.announced.since(r.operator.version())
	if !ok {
		return 0, false
	}

	return r.deps.Clock.Now() - at, true
}

// hearRules takes the version that a peer has in force. If the store does not bring it, it is asked for
// at the store and at that peer, since the store may refuse this node.
func (r *Relay) hearRules(s mesh.State) {
	if s.Rules <= r.operator.version() {
		return
	}

	r.announced.note(s.Rules, r.deps.Clock.Now())

	if r.catching.CompareAndSwap(false, true) {
		go r.runCatchUp(s)
	}
}

func (r *Relay) runCatchUp(s mesh.State) {
	defer r.catching.Store(false)

	if !r.deps.Clock.Sleep(r.work, storeDelay) || s.Rules <= r.operator.version() {
		return
	}

	r.operator.feed.Refresh()
	r.pullRules(s)
}

// pullRules takes the rules from a peer.
func (r *Relay) pullRules(s mesh.State) {
	ctx, cancel := context.WithTimeout(r.work, rulesTimeout.Duration())
	defer cancel()

	var reply rulesReply
	if err := r.caller.Call(ctx, s.PeerAddr, methodRules, struct{}{}, &reply); err != nil {
		r.deps.Log.Warn("rules not taken from peer", "peer", s.Node, "version", s.Rules, "cause", err)

		return
	}

	if reply.Row.Revision > 0 {
		r.operator.takeRules([]spar.Row{reply.Row})
	}
}
