// Package slots decides which node owns which slot.
package slots

import (
	"slices"
	"strings"

	spar "sardinespar.example/spar"
)

// Bearer is a node that may own slots, with the share that it bears in proportion to others.
type Bearer struct {
	ID     spar.NodeID
	Weight float64
	Owned  int
}

// Fill returns the bearer that owns least in proportion to its weight, with one slot more.
// Ties go to the lower id, so that nodes with the same view decide alike.
func Fill(bearers []Bearer) (spar.NodeID, []Bearer) {
	least := slices.MinFunc(bearers, func(a, b Bearer) int {
		switch left, right := float64(a.Owned+1)/a.Weight, float64(b.Owned+1)/b.Weight; {
		case left < right:
			return -1
		case left > right:
			return 1
		default:
			return strings.Compare(string(a.ID), string(b.ID))
		}
	})

	next := slices.Clone(bearers)
	for i := range next {
		if next[i].ID == least.ID {
			next[i].Owned++
		}
	}

	return least.ID, next
}

// Owned counts the slots of each owner.
func Owned(segments []spar.Segment) map[spar.NodeID]int {
	counts := map[spar.NodeID]int{}

	for _, g := range segments {
		for _, a := range g.Slots {
			if a.Owned() {
				counts[a.Owner]++
			}
		}
	}

	return counts
}
