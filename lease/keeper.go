package lease

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

const (
	keepInterval spar.Millis = 500
	// spreadPerNode spreads the replacement of witnesses after the loss of a zone: with 330 nodes
	// left, 200 updates/s.
	spreadPerNode spar.Millis = 5
)

// Keeper keeps the row of a lease holder such that it can hold its lease: it replaces lost
// witnesses, moves a fenced row to its next revision, and makes the row live once the lease is held.
type Keeper struct {
	member  *fleet.Member
	holder  *Holder
	replica *fleet.Replica
	table   spar.Table
	clock   spar.Clock
	record  spar.Recorder

	due spar.Millis
	wg  sync.WaitGroup
}

// NewKeeper returns the keeper of a holder's row.
func NewKeeper(
	m *fleet.Member, h *Holder, r *fleet.Replica, t spar.Table, clock spar.Clock, record spar.Recorder,
) *Keeper {
	return &Keeper{member: m, holder: h, replica: r, table: t, clock: clock, record: record}
}

// Run keeps the row until ctx ends or the node is lost.
func (k *Keeper) Run(ctx context.Context) {
	k.loop(ctx)
}

func (k *Keeper) loop(ctx context.Context) {
	defer k.wg.Wait()

	for ctx.Err() == nil {
		changed := k.replica.Changed()

		if k.step(ctx); k.member.IsLost() {
			return
		}

		pause := k.clock.Timer(keepInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-k.holder.keeper:
		case <-pause.C:
		}

		pause.Stop()
	}
}

func (k *Keeper) step(ctx context.Context) {
	node, revision := k.member.Self()
	v := k.replica.View()

	if row, ok := v.Node(node.ID); ok && row.Value.State == spar.NodeLost {
		k.member.MarkLost()

		return
	}

	fenced := revision <= k.holder.fencedAt()
	next := node

	if want := ChooseWitnesses(node, v.Nodes(), k.holder.silent); !slices.Equal(want, node.Witnesses) &&
		k.spread(node, len(v.Nodes())) {
		next = next.WithWitnesses(want)
	}

	if node.State == spar.NodeJoining && k.clock.Now() < k.holder.Until() {
		next = next.WithState(spar.NodeLive)
	}

	replaced := !slices.Equal(next.Witnesses, node.Witnesses)
	if !fenced && !replaced && next.State == node.State {
		return
	}

	// An update that only a returning table could apply would keep the next one waiting.
	if _, _, err := k.table.Get(ctx, fleet.NodeKey(node.ID)); err != nil {
		return
	}

	k.update(ctx, next, replaced, fenced)
}

// spread reports whether a change of witnesses is due; it is put off at random after a loss.
func (k *Keeper) spread(node spar.Node, nodes int) bool {
	if len(node.Witnesses) == 0 {
		return true
	}

	now := k.clock.Now()
	if k.due == 0 {
		k.due = now + spar.Millis(rand.Float64()*float64(nodes))*spreadPerNode
	}

	if now < k.due {
		return false
	}

	k.due = 0

	return true
}

func (k *Keeper) update(ctx context.Context, next spar.Node, replaced, fenced bool) {
	c := k.member.Update(ctx, func(n spar.Node) spar.Node {
		if n.State == spar.NodeJoining {
			n = n.WithState(next.State)
		}

		return n.WithWitnesses(next.Witnesses)
	})
	if c.Verdict != spar.Applied {
		return
	}

	if replaced {
		k.record.Record(spar.Event{Kind: spar.EventWitnesses, Revision: c.Revision})
	}

	if fenced {
		k.record.Record(spar.Event{Kind: spar.EventFenced, Revision: c.Revision})
	}

	k.holder.Renew()
	k.wg.Go(func() { k.member.Announce(ctx) })
}
