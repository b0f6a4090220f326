package admin

import (
	"context"
	"encoding/json"
	"fmt"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
)

const (
	// maxExplainEvents bounds the events in an explanation.
	maxExplainEvents = 10
	// maxEvents bounds the events collected for one call to about 10 MB, so that the memory of the
	// queried node does not grow with the fleet. Each node sends up to an equal share of them, but
	// never less than minEventsPerNode.
	maxEvents        = 50_000
	minEventsPerNode = 100
)

// ExplainParams selects a key. An empty service selects all services that are divided by key.
type ExplainParams struct {
	Service string `json:"service,omitempty"`
	Key     string `json:"key"`
}

// ExplainResult holds one explanation for each selected service and the nodes that did not answer.
type ExplainResult struct {
	Explanations []Explanation `json:"explanations"`
	Missing      []spar.NodeID `json:"missing"`
}

// Explanation describes which node owns a key and by which assignment.
type Explanation struct {
	Service    spar.Service    `json:"service"`
	Key        string          `json:"key"`
	Slot       spar.Slot       `json:"slot"`
	OwnEntry   bool            `json:"own_entry"`
	Assignment spar.Assignment `json:"assignment"`
	Revision   spar.Revision   `json:"revision"`
	Owner      *spar.Node      `json:"owner,omitempty"`
	Withdrawn  bool            `json:"withdrawn"`
	Reached    bool            `json:"reached"`
	Report     NodeReport      `json:"report"`
	LastEvents []spar.Event    `json:"last"`
}

func (s *Service) explain(ctx context.Context, p ExplainParams) (ExplainResult, error) {
	v := s.Replica.View()

	var result ExplainResult

	for _, service := range v.Services() {
		if service.Mode != spar.ModeKeyed || (p.Service != "" && service.Name != p.Service) {
			continue
		}

		e := explainKey(v, service, p.Key)
		s.queryOwner(ctx, v, &e)

		filter := event.Filter{Service: service.Name, Slot: &e.Slot, Newest: maxExplainEvents}
		events := s.collectEvents(ctx, filter)
		e.LastEvents, result.Missing = events.Events, events.Missing

		result.Explanations = append(result.Explanations, e)
	}

	if len(result.Explanations) == 0 {
		return result, fmt.Errorf("no service %q that is divided by key", p.Service)
	}

	return result, nil
}

// explainKey returns an explanation with the assignment of a key: its own entry, or that of its slot
// if the key has none.
func explainKey(v *fleet.View, service spar.Service, key string) Explanation {
	slot := service.SlotOf(key)
	segment := v.Segment(service, int(slot)/spar.SegmentSize)
	e := Explanation{
		Service: service, Key: key, Slot: slot, Assignment: segment.Value.At(slot), Revision: segment.Revision,
		LastEvents: []spar.Event{},
	}

	row, ok := v.Row(fleet.PrefixKey + service.Name + "/" + key)
	if !ok {
		return e
	}

	var own spar.Assignment
	if json.Unmarshal(row.Value, &own) == nil && own.Owned() {
		e.OwnEntry, e.Assignment, e.Revision = true, own, row.Revision
	}

	return e
}

// queryOwner adds the key's owner and the owner's report to an explanation.
func (s *Service) queryOwner(ctx context.Context, v *fleet.View, e *Explanation) {
	n, ok := v.Node(e.Assignment.Owner)
	if !ok {
		return
	}

	e.Owner, e.Withdrawn = &n.Value, v.Withdrawn(n.Value)
	r := queryNodes(ctx, s, []spar.Node{n.Value}, MethodNode, Empty{}, s.node)[0]
	e.Reached, e.Report = r.err == nil, r.result
}

// EventsParams selects events. If Local is set, only the queried node's own events are returned.
type EventsParams struct {
	Filter event.Filter `json:"filter"`
	Key    string       `json:"key,omitempty"`
	Local  bool         `json:"local"`
}

// EventsResult holds events in causal order and the nodes that did not answer.
type EventsResult struct {
	Events  []spar.Event  `json:"events"`
	Missing []spar.NodeID `json:"missing"`
	// Truncated names the nodes that omitted older events.
	Truncated []spar.NodeID `json:"cut"`
}

func (s *Service) events(ctx context.Context, p EventsParams) (EventsResult, error) {
	if p.Key != "" {
		service, ok := s.Replica.View().Service(p.Filter.Service)
		if !ok || service.Mode != spar.ModeKeyed {
			return EventsResult{}, fmt.Errorf("service %q is not divided by key", p.Filter.Service)
		}

		slot := service.SlotOf(p.Key)
		p.Filter.Slot = &slot
	}

	if p.Local {
		return s.localEvents(p.Filter), nil
	}

	return s.collectEvents(ctx, p.Filter), nil
}

// localEvents returns the selected events of this node's ring. If the filter's limit removes older
// ones, the result names this node as truncated.
func (s *Service) localEvents(f event.Filter) EventsResult {
	newest := f.Newest
	f.Newest = 0
	events := f.Apply(s.Ring.Events())

	if newest == 0 || len(events) <= newest {
		return EventsResult{Events: events}
	}

	return EventsResult{Events: events[len(events)-newest:], Truncated: []spar.NodeID{s.Self()}}
}

// collectEvents queries all nodes for the selected events and merges them in causal order.
func (s *Service) collectEvents(ctx context.Context, f event.Filter) EventsResult {
	nodes := s.Replica.View().Nodes()
	perNode := f
	perNode.Newest = max(minEventsPerNode, maxEvents/max(1, len(nodes)))

	if f.Newest > 0 {
		perNode.Newest = min(perNode.Newest, f.Newest)
	}

	result := s.localEvents(perNode)
	rings := [][]spar.Event{result.Events}

	params := EventsParams{Filter: perNode, Local: true}
	for _, r := range queryNodes(ctx, s, otherNodes(nodes, s.Self()), MethodEvents, params, s.events) {
		if r.err != nil {
			result.Missing = append(result.Missing, r.node.ID)

			continue
		}

		rings = append(rings, r.result.Events)
		result.Truncated = append(result.Truncated, r.result.Truncated...)
	}

	result.Events = f.Apply(event.Merge(rings...))

	return result
}

func otherNodes(nodes []spar.Node, self spar.NodeID) []spar.Node {
	var remaining []spar.Node

	for _, n := range nodes {
		if n.ID != self {
			remaining = append(remaining, n)
		}
	}

	return remaining
}
