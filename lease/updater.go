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
	checkInterval spar.Millis = 500
	// replacementDelayPerNode spreads the replacement of witnesses after the loss of a zone: with 330
	// remaining nodes this gives 200 updates/s.
	replacementDelayPerNode spar.Millis = 5
)

// RowUpdater keeps the row of a lease holder in a state in which it can hold its lease: it replaces lost
// witnesses, rewrites a fenced row to get a new revision, and marks the node live once the lease is held.
type RowUpdater struct {
	member   *fleet.Member
	holder   *Holder
	replica  *fleet.Replica
	table    spar.Table
	clock    spar.Clock
	recorder spar.Recorder

	replaceAt spar.Millis
	wg        sync.WaitGroup
}

// NewRowUpdater returns the updater of the row of the holder's node.
func NewRowUpdater(
	m *fleet.Member, h *Holder, r *fleet.Replica, t spar.Table, clock spar.Clock, recorder spar.Recorder,
) *RowUpdater {
	return &RowUpdater{member: m, holder: h, replica: r, table: t, clock: clock, recorder: recorder}
}

// Run checks and updates the row until ctx ends or the node is lost.
func (u *RowUpdater) Run(ctx context.Context) {
	u.loop(ctx)
}

func (u *RowUpdater) loop(ctx context.Context) {
	defer u.wg.Wait()

	for ctx.Err() == nil {
		changed := u.replica.Changed()

		if u.check(ctx); u.member.IsLost() {
			return
		}

		timer := u.clock.Timer(checkInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-u.holder.wakeUpdater:
		case <-timer.C:
		}

		timer.Stop()
	}
}

func (u *RowUpdater) check(ctx context.Context) {
	node, revision := u.member.Self()
	v := u.replica.View()

	if row, ok := v.Node(node.ID); ok && row.Value.State == spar.NodeLost {
		u.member.MarkLost()

		return
	}

	fenced := revision <= u.holder.highestFenced()
	next := node

	if want := ChooseWitnesses(node, v.Nodes(), u.holder.needsReplacement); !slices.Equal(want, node.Witnesses) &&
		u.replacementDue(node, len(v.Nodes())) {
		next = next.WithWitnesses(want)
	}

	if node.State == spar.NodeJoining && u.clock.Now() < u.holder.Until() {
		next = next.WithState(spar.NodeLive)
	}

	replaced := !slices.Equal(next.Witnesses, node.Witnesses)
	if !fenced && !replaced && next.State == node.State {
		return
	}

	// Check that the table answers: an update sent during an outage would block the next one until its
	// verdict is known.
	if _, _, err := u.table.Get(ctx, fleet.NodeKey(node.ID)); err != nil {
		return
	}

	u.update(ctx, next, replaced, fenced)
}

// replacementDue reports whether a change of witnesses is due. After a loss the change is delayed by a
// random time.
func (u *RowUpdater) replacementDue(node spar.Node, nodes int) bool {
	if len(node.Witnesses) == 0 {
		return true
	}

	now := u.clock.Now()
	if u.replaceAt == 0 {
		u.replaceAt = now + spar.Millis(rand.Float64()*float64(nodes))*replacementDelayPerNode
	}

	if now < u.replaceAt {
		return false
	}

	u.replaceAt = 0

	return true
}

func (u *RowUpdater) update(ctx context.Context, next spar.Node, replaced, fenced bool) {
	c := u.member.Update(ctx, func(n spar.Node) spar.Node {
		if n.State == spar.NodeJoining {
			n = n.WithState(next.State)
		}

		return n.WithWitnesses(next.Witnesses)
	})
	if c.Verdict != spar.VerdictApplied {
		return
	}

	if replaced {
		u.recorder.Record(spar.Event{Kind: spar.EventWitnesses, Revision: c.Revision})
	}

	if fenced {
		u.recorder.Record(spar.Event{Kind: spar.EventFenced, Revision: c.Revision})
	}

	u.holder.RenewNow()
	u.wg.Go(func() { u.member.Announce(ctx) })
}
