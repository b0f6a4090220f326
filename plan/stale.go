package plan

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/lease"
)

// sighting is the revision of a node's row and when it was first seen.
type sighting struct {
	revision spar.Revision
	at       spar.Millis
}

// takeOverStale takes over nodes whose table lease has ended: their row did not change for the
// lease's lifetime on this node's clock. It looks at the table before it believes that, because a
// replica is behind by up to the scan interval, and stops at the first rejection.
func (p *Planner) takeOverStale(ctx context.Context) {
	if len(p.stale()) == 0 || !p.spread.Scan(ctx) {
		return
	}

	for _, n := range p.stale() {
		row, ok := p.replica.View().Node(n)
		if !ok {
			continue
		}

		p.commit(ctx, TakeoverTxn(p.replica.View(), row), spar.Event{
			Kind: spar.EventTakeover, Peer: n, Service: row.Value.Service,
		})

		if p.pause.due != 0 {
			return
		}
	}
}

// stale returns the nodes whose row has not changed for the lifetime of a table lease.
func (p *Planner) stale() []spar.NodeID {
	var ids []spar.NodeID

	now, v := p.clock.Now(), p.replica.View()

	for _, n := range v.Nodes() {
		row, _ := v.Node(n.ID)
		if n.Beat == 0 || n.ID == p.self {
			continue
		}

		if p.seen[n.ID].revision != row.Revision {
			p.seen[n.ID] = sighting{revision: row.Revision, at: now}
		}

		if now-p.seen[n.ID].at > spar.WaitFor(lease.TableTTL) {
			ids = append(ids, n.ID)
		}
	}

	return ids
}
