// Package plan assigns slots to nodes: unowned ones, those of lost nodes, and planned moves.
package plan

import (
	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/slots"
)

// TakeoverTxn returns the transaction that marks a node lost and gives its slots to others. The
// caller has made sure that the node's lease at this revision of its row has ended.
func TakeoverTxn(v *fleet.View, lost fleet.Versioned[spar.Node]) spar.Txn {
	id := lost.Value.ID
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: fleet.NodeKey(id), Revision: lost.Revision}},
		Writes:     []spar.Write{{Key: fleet.NodeKey(id), Value: fleet.Encode(lost.Value.WithState(spar.NodeLost))}},
	}

	return reassign(v, txn, id, lost.Value.Service)
}

// AssignTxn returns the transaction that gives the unowned slots of a service to its live nodes,
// and whether there is anything to assign.
func AssignTxn(v *fleet.View, service string) (spar.Txn, bool) {
	txn := reassign(v, spar.Txn{}, "", service)

	return txn, len(txn.Writes) > 0
}

// reassign adds to txn the transfer of all slots that owner has to the service's live nodes.
func reassign(v *fleet.View, txn spar.Txn, owner spar.NodeID, service string) spar.Txn {
	s, ok := v.Service(service)
	if !ok || s.Mode != spar.ModeKeyed {
		return txn
	}

	bearers := Bearers(v, s, owner)
	receivers := map[spar.NodeID]bool{}

	for i := range s.SegmentCount() {
		g := v.Segment(s, i)
		next := g.Value

		for slot := g.Value.First(); int(slot) < int(g.Value.First())+len(g.Value.Slots); slot++ {
			a := g.Value.At(slot)
			if a.Owner != owner || len(bearers) == 0 {
				continue
			}

			var id spar.NodeID

			id, bearers = slots.Fill(bearers)
			receivers[id] = true
			next = next.With(slot, a.Taken(id))
		}

		if changed(g.Value, next) {
			key := fleet.SegmentKey(service, i)
			txn.Conditions = append(txn.Conditions, spar.Condition{Key: key, Revision: g.Revision})
			txn.Writes = append(txn.Writes, spar.Write{Key: key, Value: fleet.Encode(next)})
		}
	}

	for id := range receivers {
		n, _ := v.Node(id)
		txn.Conditions = append(txn.Conditions, spar.Condition{Key: fleet.NodeKey(id), Revision: n.Revision})
	}

	return txn
}

func changed(before, after spar.Segment) bool {
	for i := range before.Slots {
		if before.Slots[i] != after.Slots[i] {
			return true
		}
	}

	return false
}

// Bearers returns the nodes of a service that may receive slots, without one of them: those that are
// live and not withdrawn.
func Bearers(v *fleet.View, s spar.Service, without spar.NodeID) []slots.Bearer {
	segments := make([]spar.Segment, 0, s.SegmentCount())
	for i := range s.SegmentCount() {
		segments = append(segments, v.Segment(s, i).Value)
	}

	owned := slots.Owned(segments)

	var bearers []slots.Bearer

	for _, n := range v.NodesOf(s.Name) {
		if n.State == spar.NodeLive && n.ID != without && !v.Withdrawn(n) {
			bearers = append(bearers, slots.Bearer{
				ID: n.ID, Weight: float64(max(1, n.Capacity.Slots)), Owned: owned[n.ID],
			})
		}
	}

	return bearers
}
