package fleet

import (
	"sync"

	spar "sardinespar.example/spar"
)

// serving is an index of the nodes of a snapshot, made at the first use. Planners and requests look
// nodes up far more often than rows change: sorting 440 nodes takes 180 µs.
type serving struct {
	once sync.Once
	all  []spar.Node
	live map[string][]spar.Node
}

// index returns the snapshot's index.
func (v *View) index() *serving {
	v.serving.once.Do(func() {
		v.serving.all = v.sorted()
		v.serving.live = map[string][]spar.Node{}

		for _, n := range v.serving.all {
			if n.State == spar.NodeLive && !v.Withdrawn(n) {
				v.serving.live[n.Service] = append(v.serving.live[n.Service], n)
			}
		}
	})

	return v.serving
}

// Serving returns the nodes of a service that take new work: live and not withdrawn, in the order
// of their ids. The result is shared and must not be changed.
func (v *View) Serving(service string) []spar.Node {
	return v.index().live[service]
}
