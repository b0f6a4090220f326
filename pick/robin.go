package pick

import (
	"slices"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

// RoundRobin chooses nodes round-robin. It is the baseline with which the picker with two random choices is compared.
type RoundRobin struct {
	next atomic.Uint64
}

// NewRoundRobin returns a round-robin picker.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{}
}

// Pick returns the next node that is not in tried.
func (r *RoundRobin) Pick(nodes []spar.Node, tried []spar.NodeID) spar.Node {
	untried := Untried(nodes, tried)

	return untried[r.next.Add(1)%uint64(len(untried))]
}

// Begin does nothing, as the order doesn't depend on results.
func (r *RoundRobin) Begin(spar.NodeID) func(spar.Millis, Result) {
	return func(spar.Millis, Result) {}
}

// Report does nothing, as the order doesn't depend on loads.
func (r *RoundRobin) Report(spar.NodeID, spar.Load) {}

// Untried returns the nodes that are not in tried, or all nodes if each has been tried.
func Untried(nodes []spar.Node, tried []spar.NodeID) []spar.Node {
	untried := slices.DeleteFunc(slices.Clone(nodes), func(n spar.Node) bool { return slices.Contains(tried, n.ID) })
	if len(untried) == 0 {
		return nodes
	}

	return untried
}
