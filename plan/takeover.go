// Package plan assigns slots to nodes: unowned slots, those of lost nodes, and planned moves.
package plan

import (
	"maps"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/slots"
)

// TakeoverTxn returns the transaction that marks nodes lost and assigns their slots to others. The caller
// must have made sure that each node's lease at this revision of its row has expired.
func TakeoverTxn(v *fleet.View, lost ...fleet.Versioned[spar.Node]) spar.Txn {
	return takeoverTxn(v, lost, nil)
}

// takeoverTxn is TakeoverTxn with further nodes that must not receive slots, because their takeover is pending.
func takeoverTxn(v *fleet.View, lost []fleet.Versioned[spar.Node], pending map[spar.NodeID]bool) spar.Txn {
	var txn spar.Txn

	lostIDs, services, excluded := map[spar.NodeID]bool{}, map[string]bool{}, maps.Clone(pending)
	if excluded == nil {
		excluded = map[spar.NodeID]bool{}
	}

	for _, n := range lost {
		key := fleet.NodeKey(n.Value.ID)
		txn.Conditions = append(txn.Conditions, spar.Condition{Key: key, Revision: n.Revision})
		txn.Writes = append(txn.Writes, spar.Write{Key: key, Value: fleet.Encode(n.Value.WithState(spar.NodeLost))})
		lostIDs[n.Value.ID], excluded[n.Value.ID] = true, true
		services[n.Value.Service] = true
	}

	for _, name := range slices.Sorted(maps.Keys(services)) {
		txn = reassign(v, txn, name, excluded, func(a spar.Assignment) bool { return lostIDs[a.Owner] })
	}

	return txn
}

// AssignTxn returns the transaction that assigns the unowned slots of a service to its live nodes, and
// whether there is anything to assign. Slots of a lost node count as unowned.
func AssignTxn(v *fleet.View, service string) (spar.Txn, bool) {
	txn := reassign(v, spar.Txn{}, service, nil, func(a spar.Assignment) bool {
		n, _ := v.Node(a.Owner)

		return !a.Owned() || n.Value.State == spar.NodeLost
	})

	return txn, len(txn.Writes) > 0
}

// reassign adds to txn the transfer of the matching slots to the service's live nodes. Without such a node
// the slots stay as they are.
func reassign(
	v *fleet.View, txn spar.Txn, service string, excluded map[spar.NodeID]bool, match func(spar.Assignment) bool,
) spar.Txn {
	s, ok := v.Service(service)
	if !ok || s.Mode != spar.ModeKeyed {
		return txn
	}

	receivers := map[spar.NodeID]bool{}

	candidates := candidatesExcept(v, s, excluded)
	if len(candidates) == 0 {
		return txn
	}

	for i := range s.SegmentCount() {
		g := v.Segment(s, i)
		next := g.Value
		next.Slots = slices.Clone(next.Slots)

		for j, a := range g.Value.Slots {
			if match(a) {
				var id spar.NodeID

				id, candidates = slots.AssignNext(candidates)
				receivers[id] = true
				next.Slots[j] = a.WithTakeover(id)
			}
		}

		if !slices.Equal(g.Value.Slots, next.Slots) {
			key := fleet.SegmentKey(service, i)
			txn.Conditions = append(txn.Conditions, spar.Condition{Key: key, Revision: g.Revision})
			txn.Writes = append(txn.Writes, spar.Write{Key: key, Value: fleet.Encode(next)})
		}
	}

	for _, id := range slices.Sorted(maps.Keys(receivers)) {
		n, _ := v.Node(id)
		txn.Conditions = append(txn.Conditions, spar.Condition{Key: fleet.NodeKey(id), Revision: n.Revision})
	}

	return txn
}

// Candidates returns the nodes of a service that may receive slots: those that are live and not withdrawn,
// except one.
func Candidates(v *fleet.View, s spar.Service, excluded spar.NodeID) []slots.Candidate {
	return candidatesExcept(v, s, map[spar.NodeID]bool{excluded: true})
}

func candidatesExcept(v *fleet.View, s spar.Service, excluded map[spar.NodeID]bool) []slots.Candidate {
	segments := make([]spar.Segment, 0, s.SegmentCount())
	for i := range s.SegmentCount() {
		segments = append(segments, v.Segment(s, i).Value)
	}

	owned := slots.CountOwned(segments)

	var candidates []slots.Candidate

	for _, n := range v.NodesOf(s.Name) {
		if n.State == spar.NodeLive && !excluded[n.ID] && !v.Withdrawn(n) {
			candidates = append(candidates, slots.Candidate{
				ID: n.ID, Weight: float64(max(1, n.Capacity.Slots)), Owned: owned[n.ID],
			})
		}
	}

	return candidates
}
