// Package slots decides which node owns which slot.
package slots

import (
	"slices"
	"strings"

	spar "sardinespar.example/spar"
)

// Candidate is a node that may receive further slots. Slots are assigned in proportion to the weights.
type Candidate struct {
	ID     spar.NodeID
	Weight float64
	Owned  int
}

// AssignNext returns the candidate that would own the fewest slots in proportion to its weight, and the
// candidates after one more slot for it. Among equal candidates it is the one with the lowest id, so
// that nodes with the same view choose the same one.
func AssignNext(candidates []Candidate) (spar.NodeID, []Candidate) {
	lowest := slices.MinFunc(candidates, func(a, b Candidate) int {
		switch loadA, loadB := float64(a.Owned+1)/a.Weight, float64(b.Owned+1)/b.Weight; {
		case loadA < loadB:
			return -1
		case loadA > loadB:
			return 1
		default:
			return strings.Compare(string(a.ID), string(b.ID))
		}
	})

	next := slices.Clone(candidates)
	for i := range next {
		if next[i].ID == lowest.ID {
			next[i].Owned++
		}
	}

	return lowest.ID, next
}

// CountOwned counts the slots of each owner.
func CountOwned(segments []spar.Segment) map[spar.NodeID]int {
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
