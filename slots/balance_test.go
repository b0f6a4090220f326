package slots_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/internal/prop"
	"sardinespar.example/spar/slots"
)

func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 500, 0)
}

// drawNodes draws nodes with arbitrary weights, some of them 0, and an arbitrary map of owners.
func drawNodes(t *rapid.T) ([]spar.NodeID, []slots.Share) {
	nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
	shares := make([]slots.Share, 0, nodes)

	for i := range nodes {
		shares = append(shares, slots.Share{
			ID:     spar.NodeID(fmt.Sprintf("n%02d.a", i)),
			Zone:   spar.Zone(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")),
			Weight: float64(rapid.IntRange(0, 12).Draw(t, "weight")),
		})
	}

	owners := make([]spar.NodeID, rapid.IntRange(1, 300).Draw(t, "slots"))
	for i := range owners {
		if n := rapid.IntRange(-1, len(shares)).Draw(t, "owner"); n == len(shares) {
			owners[i] = "gone.a"
		} else if n >= 0 {
			owners[i] = shares[n].ID
		}
	}

	return owners, shares
}

func apply(owners []spar.NodeID, moves []slots.Move) []spar.NodeID {
	next := append([]spar.NodeID(nil), owners...)
	for _, m := range moves {
		next[m.Slot] = m.To
	}

	return next
}

func countOwned(owners []spar.NodeID) (map[spar.NodeID]int, int) {
	owned, total := map[spar.NodeID]int{}, 0

	for _, id := range owners {
		if id != "" {
			owned[id]++
			total++
		}
	}

	return owned, total
}

// Guards against slots that are lost or assigned twice, shares that are off by one slot or more,
// unnecessary moves, and moves of a map that is balanced already.
func TestMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owners, shares := drawNodes(t)
		moves := slots.Moves(owners, shares)
		after := apply(owners, moves)
		moved := map[spar.Slot]bool{}

		for _, m := range moves {
			if moved[m.Slot] || owners[m.Slot] != m.From || m.From == m.To {
				t.Fatalf("move %+v does not start at the slot's owner", m)
			}

			moved[m.Slot] = true
		}

		before, total := countOwned(owners)
		owned, _ := countOwned(after)
		sum := 0.0

		for _, s := range shares {
			sum += s.Weight
		}

		if sum == 0 {
			if len(moves) > 0 {
				t.Fatalf("%d moves without a node to receive them", len(moves))
			}

			return
		}

		surplus, deficit := before["gone.a"], 0

		for _, s := range shares {
			exact := float64(total) * s.Weight / sum
			if math.Abs(float64(owned[s.ID])-exact) >= 1 {
				t.Fatalf("%s owns %d slots, share %.2f", s.ID, owned[s.ID], exact)
			}

			surplus += max(0, before[s.ID]-int(math.Ceil(exact-1e-9)))
			deficit += max(0, int(math.Floor(exact+1e-9))-before[s.ID])
		}

		if minMoves := max(surplus, deficit); len(moves) != minMoves {
			t.Fatalf("%d moves, want %d", len(moves), minMoves)
		}

		if repeated := slots.Moves(after, shares); len(repeated) > 0 {
			t.Fatalf("balanced map moves again: %v", repeated)
		}
	})
}

// Guards against a rounding that gives the remaining slots of all shares to one zone.
func TestTargetsSpreadRemainders(t *testing.T) {
	c := quicktest.New(t)

	placed := []spar.Zone{"a", "a", "b", "b", "c", "c"}
	shares := make([]slots.Share, 0, len(placed))

	for i, zone := range placed {
		shares = append(shares, slots.Share{ID: spar.NodeID(fmt.Sprintf("n%d.a", i)), Zone: zone, Weight: 10})
	}

	targets := slots.Targets(15, shares, nil)
	zones := map[spar.Zone]int{}

	for _, s := range shares {
		zones[s.Zone] += targets[s.ID]
	}

	c.Assert(zones, quicktest.DeepEquals, map[spar.Zone]int{"a": 5, "b": 5, "c": 5})
}
