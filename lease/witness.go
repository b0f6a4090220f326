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
	// SuspectAfter is how long a witness hears nothing from a node before it suspects it.
	SuspectAfter spar.Millis = 600
	// SuspectStep is the pause between the witnesses of one node, in the order of its row.
	SuspectStep spar.Millis = 150
	// quietFor is how long a witness must have heard nothing from a node before it promises a fence.
	// One and a half renewals tell a dead node from one that only the asking witness can't hear, so
	// that a live node keeps its lease even if the table goes down in the middle of a takeover.
	quietFor = 1.5 * spar.LeaseRenewal
	// pausedFor is the gap between two looks after which a witness knows that it was paused itself
	// and starts to count anew. The looks are 50 ms apart.
	pausedFor spar.Millis = 300
)

// Witness grants leases to other nodes and promises not to. Its memory ends with its node id.
type Witness struct {
	replica *fleet.Replica
	spread  *fleet.Sync
	clock   spar.Clock
	flaws   flaw.Set

	mu       sync.Mutex
	id       spar.NodeID
	looked   spar.Millis
	promises map[spar.NodeID]promise
}

// promise is what a witness remembers of a node: since when it watches it, when it last heard from
// it, when the last grant ends, and the highest revisions fenced and seen.
type promise struct {
	since   spar.Millis
	renewed bool
	heard   spar.Millis
	until   spar.Millis
	fenced  spar.Revision
	seen    spar.Revision
}

// NewWitness returns a witness that answers nobody until Serve.
func NewWitness(r *fleet.Replica, s *fleet.Sync, clock spar.Clock, flaws flaw.Set) *Witness {
	return &Witness{replica: r, spread: s, clock: clock, flaws: flaws, promises: map[spar.NodeID]promise{}}
}

// Serve makes the witness answer under a new node id, without the promises of an earlier one.
func (w *Witness) Serve(id spar.NodeID) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.id = id
	w.promises = map[spar.NodeID]promise{}
}

// Register adds the methods that peers call.
func (w *Witness) Register(m *peers.Mux) {
	peers.Handle(m, MethodRenew, w.Renew)
	peers.Handle(m, MethodFence, w.Fence)
}

// Renew answers a renewal.
func (w *Witness) Renew(ctx context.Context, p RenewParams) (RenewResult, error) {
	v := w.replica.View()
	result := RenewResult{Verdict: Granted, TTL: spar.LeaseTTL, Complete: v.Complete()}
	row, known := v.Node(p.Node)

	if known && p.Complete > v.Complete() {
		go behind{w.spread, row.Value.PeerAddr, p.Complete}.run(context.WithoutCancel(ctx))
	}

	now := w.clock.Now()

	w.mu.Lock()
	defer w.mu.Unlock()

	if !w.addressed(p.Witness) {
		result.Verdict = Stranger

		return result, nil
	}

	if known && row.Value.State == spar.NodeLost {
		raw, _ := v.Row(fleet.NodeKey(p.Node))
		result.Verdict, result.Row = Lost, &raw

		return result, nil
	}

	last := w.promises[p.Node]
	last.renewed, last.heard = true, now
	last.seen = max(last.seen, p.Revision)

	if p.Revision <= last.fenced {
		result.Verdict, result.Fenced = Fenced, last.fenced
	} else {
		last.until = max(last.until, now+spar.LeaseTTL)
	}

	w.promises[p.Node] = last

	return result, nil
}

// Fence answers a fence.
func (w *Witness) Fence(_ context.Context, p FenceParams) (FenceResult, error) {
	now := w.clock.Now()

	w.mu.Lock()
	defer w.mu.Unlock()

	last := w.promises[p.Node]
	heard := last.renewed && now-last.heard < quietFor

	if !w.addressed(p.Witness) || heard || last.seen > p.Revision {
		return FenceResult{Seen: last.seen}, nil
	}

	last.fenced = max(last.fenced, p.Revision)
	w.promises[p.Node] = last

	return FenceResult{Promised: true, Left: max(0, last.until-now), Seen: last.seen}, nil
}

// addressed reports whether a message for id is for this witness.
func (w *Witness) addressed(id spar.NodeID) bool {
	return w.id != "" && (id == w.id || w.flaws.AnyIncarnation)
}

// Suspects returns the nodes that this witness should have heard from by now. It is to be called
// every 50 ms.
func (w *Witness) Suspects() []fleet.Versioned[spar.Node] {
	now := w.clock.Now()

	w.mu.Lock()
	defer w.mu.Unlock()

	paused := now-w.looked > pausedFor
	w.looked = now

	v := w.replica.View()
	w.forget(v, now)

	watched := v.NodesWitnessedBy(w.id)
	suspects := make([]fleet.Versioned[spar.Node], 0, len(watched))

	for _, n := range watched {
		last := w.promises[n.Value.ID]
		if last.since == 0 || paused {
			last.since = now
			w.promises[n.Value.ID] = last
		}

		rank := slices.Index(n.Value.Witnesses, w.id)
		if now-max(last.since, last.heard) > SuspectAfter+spar.Millis(rank)*SuspectStep {
			suspects = append(suspects, n)
		}
	}

	return suspects
}

// forget drops what is remembered of lost nodes. Their renewals are refused by their rows.
func (w *Witness) forget(v *fleet.View, now spar.Millis) {
	for id, last := range w.promises {
		if n, ok := v.Node(id); ok && n.Value.State == spar.NodeLost && last.until < now {
			delete(w.promises, id)
		}
	}
}

// behind is a pull that a renewal has shown to be due.
type behind struct {
	spread   *fleet.Sync
	addr     string
	complete spar.Revision
}

func (b behind) run(ctx context.Context) {
	b.spread.Behind(ctx, b.addr, b.complete)
}
