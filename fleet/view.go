// Package fleet keeps each node's replica of the rows of the table and distributes changes among the
// peers.
package fleet

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	spar "sardinespar.example/spar"
)

// Key prefixes of the rows in the table.
const (
	PrefixNode       = "node/"
	PrefixMap        = "map/"
	PrefixService    = "service/"
	PrefixPreset     = "preset/"
	PrefixActivation = "force"
	PrefixZone       = "zone/"
	PrefixServer     = "server/"
	PrefixKey        = "key/"
	PrefixQuarantine = "quarantine/"
	PrefixOp         = "op/"
)

// NodeKey returns the row key of a node.
func NodeKey(id spar.NodeID) string {
	return PrefixNode + string(id)
}

// SegmentKey returns the row key of a segment of a service's slot map.
func SegmentKey(service string, index int) string {
	return fmt.Sprintf("%s%s/%04d", PrefixMap, service, index)
}

// ServiceKey returns the row key of a service.
func ServiceKey(name string) string {
	return PrefixService + name
}

// Versioned is a decoded row with its revision.
type Versioned[T any] struct {
	Value    T
	Revision spar.Revision
}

// View is an immutable snapshot of the replica.
type View struct {
	complete spar.Revision
	rows     map[string]spar.Row
	nodes    map[spar.NodeID]Versioned[spar.Node]
	services map[string]spar.Service
	segments map[string]Versioned[spar.Segment]
	nodeIdx  *nodeIndex
}

func newView() *View {
	return &View{
		rows:     map[string]spar.Row{},
		nodes:    map[spar.NodeID]Versioned[spar.Node]{},
		services: map[string]spar.Service{},
		segments: map[string]Versioned[spar.Segment]{},
		nodeIdx:  &nodeIndex{},
	}
}

// CompleteRevision returns the revision up to which the snapshot has all rows.
func (v *View) CompleteRevision() spar.Revision {
	return v.complete
}

// Node returns the row of a node.
func (v *View) Node(id spar.NodeID) (Versioned[spar.Node], bool) {
	n, ok := v.nodes[id]

	return n, ok
}

// Nodes returns all nodes that are not lost, in the order of their ids.
func (v *View) Nodes() []spar.Node {
	return slices.Clone(v.index().all)
}

func (v *View) sortedNodes() []spar.Node {
	nodes := make([]spar.Node, 0, len(v.nodes))

	for _, n := range v.nodes {
		if n.Value.State != spar.NodeLost {
			nodes = append(nodes, n.Value)
		}
	}

	slices.SortFunc(nodes, func(a, b spar.Node) int { return strings.Compare(string(a.ID), string(b.ID)) })

	return nodes
}

// NodesWitnessedBy returns the nodes whose row names id as a witness, in the order of their ids.
func (v *View) NodesWitnessedBy(id spar.NodeID) []Versioned[spar.Node] {
	var nodes []Versioned[spar.Node]

	for _, n := range v.nodes {
		if n.Value.State != spar.NodeLost && slices.Contains(n.Value.Witnesses, id) {
			nodes = append(nodes, n)
		}
	}

	slices.SortFunc(nodes, func(a, b Versioned[spar.Node]) int {
		return strings.Compare(string(a.Value.ID), string(b.Value.ID))
	})

	return nodes
}

// NodesOf returns the nodes of a service that are not lost, in the order of their ids.
func (v *View) NodesOf(service string) []spar.Node {
	return slices.DeleteFunc(v.Nodes(), func(n spar.Node) bool { return n.Service != service })
}

// LostNodes returns the ids of the nodes marked lost.
func (v *View) LostNodes() []spar.NodeID {
	var ids []spar.NodeID

	for id, n := range v.nodes {
		if n.Value.State == spar.NodeLost {
			ids = append(ids, id)
		}
	}

	slices.Sort(ids)

	return ids
}

// Service returns the row of a service.
func (v *View) Service(name string) (spar.Service, bool) {
	s, ok := v.services[name]

	return s, ok
}

// Services returns all services in the order of their names.
func (v *View) Services() []spar.Service {
	return slices.SortedFunc(maps.Values(v.services), func(a, b spar.Service) int {
		return strings.Compare(a.Name, b.Name)
	})
}

// Segment returns a segment of a service's slot map; an absent one has revision 0 and no owners.
func (v *View) Segment(s spar.Service, index int) Versioned[spar.Segment] {
	g, ok := v.segments[SegmentKey(s.Name, index)]
	if !ok {
		return Versioned[spar.Segment]{Value: spar.NewSegment(s, index)}
	}

	return g
}

// Assignment returns the assignment of a slot.
func (v *View) Assignment(s spar.Service, slot spar.Slot) spar.Assignment {
	return v.Segment(s, int(slot)/spar.SegmentSize).Value.At(slot)
}

// Row returns the row with a key, not decoded.
func (v *View) Row(key string) (spar.Row, bool) {
	r, ok := v.rows[key]

	return r, ok
}

// Rows returns the rows with a key prefix, not decoded, in the order of their keys.
func (v *View) Rows(prefix string) []spar.Row {
	var rows []spar.Row

	for key, r := range v.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, r)
		}
	}

	slices.SortFunc(rows, func(a, b spar.Row) int { return strings.Compare(a.Key, b.Key) })

	return rows
}

// RowsSince returns the rows written after a revision.
func (v *View) RowsSince(since spar.Revision) []spar.Row {
	var rows []spar.Row

	for _, r := range v.rows {
		if r.Revision > since {
			rows = append(rows, r)
		}
	}

	return rows
}

// with returns a snapshot with the newer ones of rows merged in, and whether a row changed.
func (v *View) with(rows []spar.Row, complete spar.Revision) (*View, bool) {
	next := &View{
		complete: max(v.complete, complete),
		rows:     v.rows, nodes: v.nodes, services: v.services, segments: v.segments,
		nodeIdx: v.nodeIdx,
	}
	changed := false

	for _, r := range rows {
		if unreplicated(r.Key) || r.Revision <= v.rows[r.Key].Revision {
			continue
		}

		if !changed {
			next.rows = maps.Clone(v.rows)
			next.nodes = maps.Clone(v.nodes)
			next.services = maps.Clone(v.services)
			next.segments = maps.Clone(v.segments)
			next.nodeIdx = &nodeIndex{}
			changed = true
		}

		next.put(r)
	}

	return next, changed
}

// unreplicated reports whether a row stays in the table only. Presets and the history of their activations
// grow with every change; nodes need only the current activation, which contains the preset in force.
func unreplicated(key string) bool {
	return strings.HasPrefix(key, PrefixOp) || strings.HasPrefix(key, PrefixPreset) ||
		strings.HasPrefix(key, PrefixActivation+"/")
}

// put stores a row. A row that can't be decoded is kept as it is: a newer release may have written it.
func (v *View) put(r spar.Row) {
	v.rows[r.Key] = r

	switch {
	case strings.HasPrefix(r.Key, PrefixNode):
		if n, ok := decode[spar.Node](r); ok {
			v.nodes[n.ID] = Versioned[spar.Node]{Value: n, Revision: r.Revision}
		}
	case strings.HasPrefix(r.Key, PrefixService):
		if s, ok := decode[spar.Service](r); ok {
			v.services[s.Name] = s
		}
	case strings.HasPrefix(r.Key, PrefixMap):
		if g, ok := decode[spar.Segment](r); ok {
			v.segments[r.Key] = Versioned[spar.Segment]{Value: g, Revision: r.Revision}
		}
	}
}

func decode[T any](r spar.Row) (T, bool) {
	var value T

	return value, json.Unmarshal(r.Value, &value) == nil
}

// Encode returns the JSON form of a row's value.
func Encode[T any](value T) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic("fleet: row value can't be encoded: " + err.Error())
	}

	return data
}
