package fleet

import (
	"sync"

	spar "sardinespar.example/spar"
)

// nodeIndex is an index of the nodes of a snapshot, built at its first use. Planners and requests look up
// nodes far more often than rows change: sorting 440 nodes takes 180 µs.
type nodeIndex struct {
	once    sync.Once
	all     []spar.Node
	serving map[string][]spar.Node
}

func (v *View) index() *nodeIndex {
	v.nodeIdx.once.Do(func() {
		v.nodeIdx.all = v.sortedNodes()
		v.nodeIdx.serving = map[string][]spar.Node{}

		for _, n := range v.nodeIdx.all {
			if n.State == spar.NodeLive && !v.Withdrawn(n) {
				v.nodeIdx.serving[n.Service] = append(v.nodeIdx.serving[n.Service], n)
			}
		}
	})

	return v.nodeIdx
}

// ServingNodes returns the nodes of a service that are live and not withdrawn, in the order of their ids. The
// result is shared and must not be changed.
func (v *View) ServingNodes(service string) []spar.Node {
	return v.index().serving[service]
}
