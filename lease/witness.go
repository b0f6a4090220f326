package lease

import (
	"context"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/peers"
)

const (
	// SuspicionTimeout is the time without a renewal from a node after which its first witness suspects it.
	SuspicionTimeout spar.Millis = 600
	// SuspicionStep is the additional time for each further witness, in the order of the node's row.
	SuspicionStep spar.Millis = 150
	// minTimeSinceRenewal is the time without a renewal from a node after which a witness promises a fence.
	// One and a half renewal intervals distinguish a dead node from a live one whose renewals fail to reach
	// only the witness that suspects it. A live node thus keeps its lease even if the table becomes unavailable
	// in the middle of a takeover.
	minTimeSinceRenewal = 1.5 * spar.LeaseRenewal
	// pauseThreshold is the time between two checks after which a witness concludes that its own process
	// was paused. It then counts the time without renewals of all nodes from that check on. The checks are
	// 50 ms apart.
	pauseThreshold spar.Millis = 300
)

// Witness grants leases to other nodes and promises fences. Its state is dropped when its node id changes.
type Witness struct {
	replica *fleet.Replica
	sync    *fleet.Sync
	clock   spar.Clock
	flaws   flaw.Set

	mu        sync.Mutex
	id        spar.NodeID
	lastCheck spar.Millis
	watched   map[spar.NodeID]watchState
}

// watchState is what a witness knows of a node: since when it watches it, the time of the last renewal, the
// expiry of the last grant, and the highest revisions fenced and seen.
type watchState struct {
	watchedSince spar.Millis
	renewed      bool
	lastRenewal  spar.Millis
	grantExpiry  spar.Millis
	fenced       spar.Revision
	highestSeen  spar.Revision
}

// NewWitness returns a witness that grants and promises nothing until SetNodeID is called.
func NewWitness(r *fleet.Replica, s *fleet.Sync, clock spar.Clock, flaws flaw.Set) *Witness {
	return &Witness{replica: r, sync: s, clock: clock, flaws: flaws, watched: map[spar.NodeID]watchState{}}
}

// SetNodeID makes the witness answer under a new node id, without the promises made under an earlier one.
func (w *Witness) SetNodeID(id spar.NodeID) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.id = id
	w.watched = map[spar.NodeID]watchState{}
}

// Register adds the methods that peers call.
func (w *Witness) Register(m *peers.Mux) {
	peers.Handle(m, MethodRenew, w.Renew)
	peers.Handle(m, MethodFence, w.Fence)
}

// Renew handles lease.renew.
func (w *Witness) Renew(ctx context.Context, p RenewParams) (RenewResult, error) {
	v := w.replica.View()
	result := RenewResult{Verdict: Granted, TTL: spar.LeaseTTL, Complete: v.CompleteRevision()}
	row, known := v.Node(p.Node)

	if known && p.Complete > v.CompleteRevision() {
		go pull{w.sync, row.Value.PeerAddr, p.Complete}.run(context.WithoutCancel(ctx))
	}

	now := w.clock.Now()

	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.addressed(p.Witness) {
		result.Verdict = WrongWitness

		return result, nil
	}

	if known && row.Value.State == spar.NodeLost {
		raw, _ := v.Row(fleet.NodeKey(p.Node))
		result.Verdict, result.Row = Lost, &raw

		return result, nil
	}

	state := w.watched[p.Node]
	state.renewed, state.lastRenewal = true, now
	state.highestSeen = max(state.highestSeen, p.Revision)

	if p.Revision <= state.fenced {
		result.Verdict, result.Fenced = Fenced, state.fenced
	} else {
		state.grantExpiry = max(state.grantExpiry, now+spar.LeaseTTL)
	}

	w.watched[p.Node] = state

	return result, nil
}

// Fence handles lease.fence.
func (w *Witness) Fence(_ context.Context, p FenceParams) (FenceResult, error) {
	now := w.clock.Now()

	w.mu.Lock()
	defer w.mu.Unlock()

	state := w.watched[p.Node]
	recent := state.renewed && now-state.lastRenewal < minTimeSinceRenewal

	if !w.addressed(p.Witness) || recent || state.highestSeen > p.Revision {
		return FenceResult{HighestSeen: state.highestSeen}, nil
	}

	state.fenced = max(state.fenced, p.Revision)
	w.watched[p.Node] = state

	return FenceResult{Promised: true, Remaining: max(0, state.grantExpiry-now), HighestSeen: state.highestSeen}, nil
}

// addressed reports whether a message to id is for this witness.
func (w *Witness) addressed(id spar.NodeID) bool {
	return w.id != "" && (id == w.id || w.flaws.IgnoreIncarnation)
}

// Suspects returns the nodes whose renewals are overdue. The failure detector calls it every 50 ms.
func (w *Witness) Suspects() []fleet.Versioned[spar.Node] {
	now := w.clock.Now()

	w.mu.Lock()
	defer w.mu.Unlock()

	paused := now-w.lastCheck > pauseThreshold
	w.lastCheck = now

	v := w.replica.View()
	w.dropLost(v, now)

	nodes := v.NodesWitnessedBy(w.id)
	suspects := make([]fleet.Versioned[spar.Node], 0, len(nodes))

	for _, n := range nodes {
		state := w.watched[n.Value.ID]
		if state.watchedSince == 0 || paused {
			state.watchedSince = now
			w.watched[n.Value.ID] = state
		}

		rank := slices.Index(n.Value.Witnesses, w.id)
		if now-max(state.watchedSince, state.lastRenewal) > SuspicionTimeout+spar.Millis(rank)*SuspicionStep {
			suspects = append(suspects, n)
		}
	}

	return suspects
}

// dropLost drops the state of lost nodes whose grants have expired. It is no longer needed, because the row
// of a lost node suffices to refuse its renewals.
func (w *Witness) dropLost(v *fleet.View, now spar.Millis) {
	for id, state := range w.watched {
		if n, ok := v.Node(id); ok && n.Value.State == spar.NodeLost && state.grantExpiry < now {
			delete(w.watched, id)
		}
	}
}

// pull is a pull from a peer whose renewal shows that it has a higher complete revision.
type pull struct {
	sync     *fleet.Sync
	addr     string
	complete spar.Revision
}

func (p pull) run(ctx context.Context) {
	p.sync.CatchUp(ctx, p.addr, p.complete)
}
