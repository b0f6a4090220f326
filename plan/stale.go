package plan

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/lease"
)

// observation is the revision of a node's row and the local time at which it was first seen.
type observation struct {
	revision spar.Revision
	since    spar.Millis
}

// takeOverStale takes over nodes whose table lease has expired: their row has not changed for the lifetime
// of the lease on this node's clock. It re-reads the table before it acts on that, because a replica lags
// by up to the scan interval, and stops at the first transaction that is not applied.
func (p *Planner) takeOverStale(ctx context.Context) {
	if len(p.stale()) == 0 || !p.sync.Scan(ctx) {
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

		if p.backoff.retryAt != 0 {
			return
		}
	}
}

// stale returns the nodes whose row has not changed for the lifetime of a table lease plus the clock
// error.
func (p *Planner) stale() []spar.NodeID {
	var ids []spar.NodeID

	now, v := p.clock.Now(), p.replica.View()

	for _, n := range v.Nodes() {
		row, _ := v.Node(n.ID)
		if n.Heartbeat == 0 || n.ID == p.self {
			continue
		}

		if p.observed[n.ID].revision != row.Revision {
			p.observed[n.ID] = observation{revision: row.Revision, since: now}
		}

		if now-p.observed[n.ID].since > spar.ExpiryWait(lease.TableTTL) {
			ids = append(ids, n.ID)
		}
	}

	return ids
}
