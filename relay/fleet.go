package relay

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/owner"
)

// loopFleet follows the nodes and the maps of owners in the table.
func (r *Relay) loopFleet(ctx context.Context) {
	f := follower{
		name: owner.Table, table: r.deps.Table, clock: r.deps.Clock, log: r.deps.Log, all: r.fleetRows, some: r.fleetRows,
	}
	f.loop(ctx)
}

func (r *Relay) fleetRows(rows []spar.Row) {
	for _, row := range rows {
		if n, ok := r.owner.Learn(row); ok {
			r.mesh.Learn(n.Node, n.PeerAddr, n.Zone, n.Service)
		}
	}
}
