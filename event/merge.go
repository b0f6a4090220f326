package event

import (
	"slices"
	"strings"

	spar "sardinespar.example/spar"
)

// Merge returns the events of several rings in causal order: an event that may have caused another one precedes
// it. Events of one node keep their order, and events with equal timestamps are ordered by node id.
func Merge(rings ...[]spar.Event) []spar.Event {
	all := slices.Concat(rings...)

	slices.SortStableFunc(all, func(a, b spar.Event) int {
		switch {
		case a.Timestamp.Less(b.Timestamp):
			return -1
		case b.Timestamp.Less(a.Timestamp):
			return 1
		default:
			return strings.Compare(string(a.Node), string(b.Node))
		}
	})

	return all
}

// Filter selects events by those of its fields that are set. The zero filter selects all.
type Filter struct {
	Service string         `json:"service,omitempty"`
	Slot    *spar.Slot     `json:"slot,omitempty"`
	Node    spar.NodeID    `json:"node,omitempty"`
	Request string         `json:"request,omitempty"`
	Kind    spar.EventKind `json:"kind,omitempty"`
	FromMs  int64          `json:"from_ms,omitempty"`
	ToMs    int64          `json:"to_ms,omitempty"`
	Newest  int            `json:"newest,omitempty"`
}

// Matches reports whether the filter selects e. A node id selects the events of that node and those that name it
// as the peer. The name of a VM selects those of all incarnations of the node on that VM.
func (f Filter) Matches(e spar.Event) bool {
	switch {
	case f.Service != "" && e.Service != f.Service,
		f.Slot != nil && (e.Slot == nil || *e.Slot != *f.Slot),
		f.Node != "" && !sameNode(f.Node, e.Node) && !sameNode(f.Node, e.Peer),
		f.Request != "" && e.Request != f.Request,
		f.Kind != "" && e.Kind != f.Kind,
		f.FromMs != 0 && e.Timestamp.Wall < f.FromMs,
		f.ToMs != 0 && e.Timestamp.Wall > f.ToMs:
		return false
	default:
		return true
	}
}

// sameNode reports whether id is the wanted node id, or an incarnation of the node on the wanted VM.
func sameNode(want, id spar.NodeID) bool {
	return id == want || strings.HasPrefix(string(id), string(want)+".")
}

// Apply returns the selected events. If Newest is set, it returns at most that many, the newest.
func (f Filter) Apply(events []spar.Event) []spar.Event {
	selected := make([]spar.Event, 0, len(events))

	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}

	if f.Newest > 0 && len(selected) > f.Newest {
		selected = selected[len(selected)-f.Newest:]
	}

	return selected
}
