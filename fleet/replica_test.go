package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/internal/prop"
)

func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 200, 0)
}

// Guards against a row that returns to an older revision when messages arrive late, twice or out of order,
// and against an index of serving nodes that differs from the rows.
func TestReplicaNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := fleet.NewReplica()
		newest := map[string]spar.Row{}

		for range rapid.IntRange(1, 40).Draw(t, "messages") {
			n := rapid.IntRange(0, 3).Draw(t, "node")
			revision := spar.Revision(rapid.IntRange(1, 60).Draw(t, "revision"))
			state := []spar.NodeState{spar.NodeLive, spar.NodeLeaving, spar.NodeLost}[revision%3]
			node := spar.Node{ID: spar.NodeID(fmt.Sprintf("n%d.x", n)), Service: "s", Zone: "east", State: state}
			row := spar.Row{Key: fleet.NodeKey(node.ID), Revision: revision, Value: fleet.Encode(node)}

			changed := r.Merge([]spar.Row{row}, 0)
			if changed != (revision > newest[row.Key].Revision) {
				t.Fatalf("merge of revision %d over %d: changed %t", revision, newest[row.Key].Revision, changed)
			}

			if changed {
				newest[row.Key] = row
			}

			checkServing(t, r.View())
		}

		for key, want := range newest {
			if got, _ := r.View().Row(key); got.Revision != want.Revision {
				t.Fatalf("row %s has revision %d, want %d", key, got.Revision, want.Revision)
			}
		}
	})
}

func checkServing(t *rapid.T, v *fleet.View) {
	want := slices.DeleteFunc(v.NodesOf("s"), func(n spar.Node) bool {
		return n.State != spar.NodeLive || v.Withdrawn(n)
	})

	got := v.ServingNodes("s")
	if !slices.EqualFunc(got, want, func(a, b spar.Node) bool { return a.ID == b.ID }) {
		t.Fatalf("serving %v, want %v", got, want)
	}
}

// Guards against an index of serving nodes that is not rebuilt when a withdrawal begins or ends.
func TestServingExcludesWithdrawnZones(t *testing.T) {
	r := fleet.NewReplica()
	node := spar.Node{ID: "n.x", Service: "s", Zone: "east", State: spar.NodeLive}

	for revision, withdrawn := range []bool{false, true, false} {
		w := spar.Withdrawal{Name: "east", Withdrawn: withdrawn}
		r.Merge([]spar.Row{
			{Key: fleet.NodeKey(node.ID), Revision: 1, Value: fleet.Encode(node)},
			{Key: fleet.ZoneKey("east"), Revision: spar.Revision(revision + 2), Value: fleet.Encode(w)},
		}, 0)
		qt.Check(t, r.View().ServingNodes("s"), qt.HasLen, map[bool]int{false: 1, true: 0}[withdrawn])
	}
}
