package relay

import (
	spar "sardinespar.example/spar"
	"sardinespar.example/spar/follow"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
)

// fleetRound is the pause between two reads of the nodes in the table. A node that starts reads the table
// after its own row is written, and calls all others, so of two nodes at least one finds the other without
// a further read.
const fleetRound spar.Millis = 40_000

// newFleet returns a follower of the nodes in the table.
func (r *Relay) newFleet() *follow.Follower {
	return follow.New(follow.Settings{Name: owner.Table, Prefix: owner.Table + "//", ScanInterval: fleetRound}, follow.Deps{
		Clock: r.deps.Clock, Table: r.deps.Table, Log: r.deps.Log, Replace: r.fleetRows,
	})
}

func (r *Relay) fleetRows(rows []spar.Row) {
	for _, row := range rows {
		if row.Value == nil {
			continue
		}

		n, err := owner.DecodeNode(row)
		if err != nil {
			r.deps.Log.Error("row of a node refused", "revision", row.Revision, "cause", err)

			continue
		}

		r.mesh.Learn(n.Node, n.PeerAddr, n.Zone, n.Service)
	}
}

// heard compares a peer's state with this node's: a peer that knows more shows that a feed is stuck.
func (r *Relay) heard(s mesh.State) {
	r.hearRules(s)

	if s.MapRevision > r.maps.Revision(s.Service) && r.pulling.CompareAndSwap(false, true) {
		go r.runPull(s)
	}
}

// pullDelay is how long the notice of a change may take before the whole map is pulled instead.
const pullDelay spar.Millis = 250

// runPull takes a newer map from a peer, one at a time, if no notice brings it.
func (r *Relay) runPull(s mesh.State) {
	defer r.pulling.Store(false)

	if r.maps.Revision(s.Service) != 0 && !r.deps.Clock.Sleep(r.work, pullDelay) {
		return
	}

	if r.maps.Revision(s.Service) < s.MapRevision {
		r.owner.Pull(r.work, s.PeerAddr, s.Service)
	}
}

// registered makes the fleet's table be read after this node's row is written.
func (r *Relay) registered() {
	r.fleet.Refresh()
}

// storeBack makes both feeds ask again after the store was away.
func (r *Relay) storeBack() {
	r.operator.feed.Refresh()
	r.fleet.Refresh()
}
