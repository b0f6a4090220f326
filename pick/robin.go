package pick

import (
	"slices"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

// Robin chooses in turn. It is the baseline.
type Robin struct {
	next atomic.Uint64
}

// NewRobin returns a round-robin picker.
func NewRobin() *Robin {
	return &Robin{}
}

// Pick chooses the next node in turn.
func (r *Robin) Pick(nodes []spar.Node, tried []spar.NodeID) spar.Node {
	left := Untried(nodes, tried)

	return left[r.next.Add(1)%uint64(len(left))]
}

// Begin learns nothing.
func (r *Robin) Begin(spar.NodeID) func(spar.Millis, End) {
	return func(spar.Millis, End) {}
}

// Report learns nothing.
func (r *Robin) Report(spar.NodeID, spar.Load) {}

// Untried returns the nodes that are not in tried, or all if that leaves none.
func Untried(nodes []spar.Node, tried []spar.NodeID) []spar.Node {
	left := slices.DeleteFunc(slices.Clone(nodes), func(n spar.Node) bool { return slices.Contains(tried, n.ID) })
	if len(left) == 0 {
		return nodes
	}

	return left
}
