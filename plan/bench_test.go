package plan_test

import (
	"fmt"
	"testing"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/plan"
)

// BenchmarkProposal measures one pass of the active planner over one service at the target size: 440
// nodes, 160 of which share its 4096 slots evenly.
func BenchmarkProposal(b *testing.B) {
	const nodes, owners, slotCount = 440, 160, 4096

	s := spar.Service{Name: "s", Mode: spar.ModeKeyed, Slots: slotCount}
	r := fleet.NewReplica()
	rows := make([]spar.Row, 0, 1+nodes+slotCount/spar.SegmentSize)
	rows = append(rows, spar.Row{Key: fleet.ServiceKey("s"), Revision: 1, Value: fleet.Encode(s)})

	for i := range nodes {
		n := spar.Node{
			ID: spar.NodeID(fmt.Sprintf("n%d.x", i)), Service: "other", Zone: spar.Zone(fmt.Sprint(i % 4)),
			State: spar.NodeLive, Capacity: spar.Capacity{Slots: 10},
		}
		if i < owners {
			n.Service = "s"
		}

		rows = append(rows, spar.Row{Key: fleet.NodeKey(n.ID), Revision: 1, Value: fleet.Encode(n)})
	}

	for i := range s.SegmentCount() {
		g := spar.NewSegment(s, i)
		for j := range g.Slots {
			owner := spar.NodeID(fmt.Sprintf("n%d.x", (i*spar.SegmentSize+j)%owners))
			g.Slots[j] = spar.Assignment{Owner: owner, Epoch: 1, Base: 1}
		}

		rows = append(rows, spar.Row{Key: fleet.SegmentKey("s", i), Revision: 1, Value: fleet.Encode(g)})
	}

	r.Merge(rows, 1)

	for b.Loop() {
		plan.ProposeMoves(r.View(), s, nil, 0)
	}
}

// BenchmarkNodes measures one read of the list of all nodes, which each node's planner does ten times a
// second.
func BenchmarkNodes(b *testing.B) {
	r := fleet.NewReplica()

	for i := range 440 {
		n := spar.Node{ID: spar.NodeID(fmt.Sprintf("n%d.x", i)), Service: "s", State: spar.NodeLive}
		r.Merge([]spar.Row{{Key: fleet.NodeKey(n.ID), Revision: 1, Value: fleet.Encode(n)}}, 1)
	}

	for b.Loop() {
		r.View().Nodes()
	}
}
