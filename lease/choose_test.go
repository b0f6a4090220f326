package lease_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/internal/prop"
	"sardinespar.example/spar/lease"
)

// TestMain sets the seed and the number of checks of rapid unless the command line gives them.
func TestMain(m *testing.M) {
	prop.Main(m, 1, 200, 0)
}

func alwaysResponsive(spar.NodeID) bool { return false }

// fleetOf returns nodes spread over zones. With two regions, zones 0 and 1 are in region 0, zones 2 and 3
// in region 1.
func fleetOf(nodes, zones, regions int) []spar.Node {
	fleet := make([]spar.Node, 0, nodes)

	for i := range nodes {
		z := i % zones
		fleet = append(fleet, spar.Node{
			ID: spar.NodeID(fmt.Sprintf("vm%03d.x", i)), VM: fmt.Sprintf("vm%03d", i), State: spar.NodeLive,
			Zone: spar.Zone(fmt.Sprint(z)), Region: spar.Region(fmt.Sprint(z * regions / zones)),
		})
	}

	return fleet
}

// countSurvivors counts the witnesses that remain when all matching nodes are lost.
func countSurvivors(fleet []spar.Node, ids []spar.NodeID, lost func(spar.Node) bool) int {
	survivors := 0

	for _, n := range fleet {
		if slices.Contains(ids, n.ID) && !lost(n) {
			survivors++
		}
	}

	return survivors
}

// Guards against witness sets that lose their majority together with one zone or with the other region.
func TestWitnessMajoritySurvivesZoneOrRegionLoss(t *testing.T) {
	for _, test := range []struct{ nodes, zones, regions, size int }{
		{3, 3, 1, 0},
		{4, 3, 1, 3},
		{5, 3, 1, 3},
		{6, 3, 1, 5},
		{8, 3, 1, 5},
		{440, 3, 1, 5},
		{440, 4, 2, 5},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			fleet := fleetOf(test.nodes, test.zones, test.regions)

			for _, self := range fleet[:min(60, len(fleet))] {
				ids := lease.ChooseWitnesses(self, fleet, alwaysResponsive)
				qt.Assert(t, ids, qt.HasLen, test.size)
				qt.Assert(t, slices.Contains(ids, self.ID), qt.IsFalse)

				for z := range test.zones {
					zone := spar.Zone(fmt.Sprint(z))
					survivors := countSurvivors(fleet, ids, func(n spar.Node) bool { return n.Zone == zone })
					// In a small fleet, a node's peers may all be in the two other zones.
					possible := test.size == 5 || test.size == 3 && slices.ContainsFunc(fleet, func(n spar.Node) bool {
						return n.Zone == self.Zone && n.ID != self.ID
					})
					qt.Assert(t, !possible || survivors > test.size/2, qt.IsTrue, qt.Commentf("%v", ids))
				}

				survivors := countSurvivors(fleet, ids, func(n spar.Node) bool { return n.Region != self.Region })
				qt.Assert(t, test.size == 0 || survivors > test.size/2, qt.IsTrue, qt.Commentf("%v", ids))
			}
		})
	}
}

// Guards against replacements that change more witnesses than necessary, which would rewrite every row at
// each loss, and against choices that depend on the order of the nodes.
func TestWitnessReplacementIsMinimal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		regions := rapid.IntRange(1, 2).Draw(rt, "regions")
		fleet := fleetOf(rapid.IntRange(12, 60).Draw(rt, "nodes"), 2+regions*2-regions%2*1, regions)
		self := fleet[0].WithWitnesses(lease.ChooseWitnesses(fleet[0], fleet, alwaysResponsive))

		shuffled := rapid.Permutation(fleet).Draw(rt, "order")
		if again := lease.ChooseWitnesses(self, shuffled, alwaysResponsive); !slices.Equal(again, self.Witnesses) {
			rt.Fatalf("witness set %v changes to %v although no witness was lost", self.Witnesses, again)
		}

		lost := self.Witnesses[rapid.IntRange(0, 4).Draw(rt, "lost")]
		remaining := slices.DeleteFunc(slices.Clone(fleet), func(n spar.Node) bool { return n.ID == lost })

		for name, after := range map[string][]spar.NodeID{
			"lost":   lease.ChooseWitnesses(self, remaining, alwaysResponsive),
			"silent": lease.ChooseWitnesses(self, fleet, func(id spar.NodeID) bool { return id == lost }),
		} {
			kept := 0

			for _, id := range after {
				if slices.Contains(self.Witnesses, id) {
					kept++
				}
			}

			if kept != 4 || len(after) != 5 || slices.Contains(after, lost) {
				rt.Fatalf("%s %s: %v becomes %v", name, lost, self.Witnesses, after)
			}
		}
	})
}
