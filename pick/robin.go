// Package pick chooses among upstreams where any may serve.
package pick

import (
	"slices"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

// Picker chooses the upstream of an attempt and learns from its result.
type Picker interface {
	// Pick chooses one of nodes, leaving out those in tried while others are there. Nodes is not
	// empty.
	Pick(nodes []spar.Node, tried []spar.NodeID) spar.Node
	// Begin notes that an attempt starts; the function returned notes how it ended.
	Begin(id spar.NodeID) func(took spar.Millis, ok bool)
}

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
func (r *Robin) Begin(spar.NodeID) func(spar.Millis, bool) {
	return func(spar.Millis, bool) {}
}

// Untried returns the nodes that are not in tried, or all if that leaves none.
func Untried(nodes []spar.Node, tried []spar.NodeID) []spar.Node {
	left := slices.DeleteFunc(slices.Clone(nodes), func(n spar.Node) bool { return slices.Contains(tried, n.ID) })
	if len(left) == 0 {
		return nodes
	}

	return left
}
