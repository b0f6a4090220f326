package fleet

import (
	"sync"

	spar "sardinespar.example/spar"
)

// serving is an index of the nodes that take new work, made at the first use. Requests look it up:
// sorting 440 nodes for each took 300 µs.
type serving struct {
	once  sync.Once
	nodes map[string][]spar.Node
}

// Serving returns the nodes of a service that take new work: live and not withdrawn, in the order
// of their ids. The result is shared and must not be changed.
func (v *View) Serving(service string) []spar.Node {
	v.serving.once.Do(func() {
		v.serving.nodes = map[string][]spar.Node{}

		for _, n := range v.Nodes() {
			if n.State == spar.NodeLive && !v.Withdrawn(n) {
				v.serving.nodes[n.Service] = append(v.serving.nodes[n.Service], n)
			}
		}
	})

	return v.serving.nodes[service]
}
