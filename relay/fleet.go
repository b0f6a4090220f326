package relay

import (
	spar "sardinespar.example/spar"
	"sardinespar.example/spar/follow"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
)

// fleetScanInterval is the time between two scans of the table of nodes. A starting node scans the table after its
// own row is written and calls all others, so that of any two nodes at least one finds the other without another
// scan.
const fleetScanInterval spar.Millis = 40_000

// newFleet returns a follower of the table of nodes.
func (r *Relay) newFleet() *follow.Follower {
	return follow.New(follow.Settings{
		Name: owner.NodeTable, Prefix: owner.NodeTable + "//", ScanInterval: fleetScanInterval,
	}, follow.Deps{
		Clock: r.deps.Clock, Table: r.deps.Table, Log: r.deps.Log, Replace: r.learnNodes,
	})
}

// learnNodes adds the nodes in the rows to the mesh.
func (r *Relay) learnNodes(rows []spar.Row, _ spar.Revision) {
	for _, row := range rows {
		if row.Value == nil {
			continue
		}

		n, err := owner.DecodeNode(row)
		if err != nil {
			r.deps.Log.Error("invalid row of a node", "revision", row.Revision, "cause", err)

			continue
		}

		r.mesh.AddPeer(n.Node, n.PeerAddr, n.Zone, n.Service)
	}

	r.roster.Complete()
	r.owner.NodesRead()
}

// membership returns this node's place by name among the nodes that are alive.
func (r *Relay) membership() follow.Membership {
	now, timeout := r.deps.Clock.Now(), r.mesh.LivenessTimeout()
	m := follow.Membership{Nodes: 1}

	for _, p := range r.mesh.Peers() {
		if !p.Alive(now, timeout) {
			continue
		}

		m.Nodes++

		if p.Node < r.cfg.Node {
			m.Rank++
		}
	}

	return m
}

// onPeerState compares a peer's state with this node's. A peer that knows newer changes shows that this node has
// missed them.
func (r *Relay) onPeerState(s mesh.State) {
	r.checkEra(s)
	r.checkOperator(s)
	r.crashes.check(s)
	r.owner.CheckDeparture(r.work, s)

	if s.MapRevision > r.maps.Revision(s.Service) && r.pullingMap.CompareAndSwap(false, true) {
		go r.runPullMap(s)
	}
}

// mapPullDelay is how long the notification of a change may take before the complete map is pulled instead.
const mapPullDelay spar.Millis = 250

// runPullMap pulls a newer map from a peer, one at a time, unless a notification delivers it first.
func (r *Relay) runPullMap(s mesh.State) {
	defer r.pullingMap.Store(false)

	if r.maps.Revision(s.Service) != 0 && !r.deps.Clock.Sleep(r.work, mapPullDelay) {
		return
	}

	if r.maps.Revision(s.Service) < s.MapRevision {
		r.owner.Pull(r.work, s.PeerAddr, s.Service)
	}
}

// onRegistered starts a scan of the table of nodes after this node's row is written.
func (r *Relay) onRegistered() {
	r.fleet.Refresh()
}

// onStoreRecovered refreshes both followers after the store was unavailable.
func (r *Relay) onStoreRecovered() {
	r.operator.feed.Refresh()
	r.fleet.Refresh()
}

// checkEra records the era of the store that a peer knows, so that a node that the store does not answer learns of a
// restore.
func (r *Relay) checkEra(s mesh.State) {
	eras := r.deps.Table.Eras()
	if s.Era <= eras.Newest() {
		return
	}

	if err := eras.Observe(s.Era); err != nil {
		r.deps.Log.Warn("peer reports an unusable era of the store", "peer", s.Node, "cause", err)
	}
}

// onEra reads the operators' table and the table of nodes again after the store was restored, writes the entries of
// crashes again, and tells the peers.
func (r *Relay) onEra(era int64, restored bool) {
	if !restored {
		return
	}

	r.deps.Log.Warn("store was restored from an older snapshot", "era", era)
	r.operator.feed.Refresh()
	r.fleet.Refresh()
	r.crashes.backup.Restored()
	r.mesh.Announce()
}
