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
	// explainEvents bounds the events in an explanation.
	explainEvents = 10
	// mostEvents bounds the events that one answer gathers, about 10 MB, since the asked node keeps
	// its memory at any size of the fleet. Each node sends its share, at least leastEvents.
	mostEvents  = 50_000
	leastEvents = 100
)

// ExplainParams names a key; an empty service stands for all services divided by key.
type ExplainParams struct {
	Service string `json:"service,omitempty"`
	Key     string `json:"key"`
}

// ExplainResult holds one explanation for each service.
type ExplainResult struct {
	Explanations []Explanation `json:"explanations"`
	Missing      []spar.NodeID `json:"missing"`
}

// Explanation tells who owns a key and why.
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
	Last       []spar.Event    `json:"last"`
}

func (s *Service) explain(ctx context.Context, p ExplainParams) (ExplainResult, error) {
	v := s.Replica.View()

	var result ExplainResult

	for _, service := range v.Services() {
		if service.Mode != spar.ModeKeyed || (p.Service != "" && service.Name != p.Service) {
			continue
		}

		e := assignment(v, service, p.Key)
		s.askOwner(ctx, v, &e)

		filter := event.Filter{Service: service.Name, Slot: &e.Slot, Newest: explainEvents}
		events := s.gather(ctx, filter)
		e.Last, result.Missing = events.Events, events.Missing

		result.Explanations = append(result.Explanations, e)
	}

	if len(result.Explanations) == 0 {
		return result, fmt.Errorf("no service %q that is divided by key", p.Service)
	}

	return result, nil
}

// assignment returns a key's own entry, or its slot's if it has none.
func assignment(v *fleet.View, service spar.Service, key string) Explanation {
	slot := service.SlotOf(key)
	g := v.Segment(service, int(slot)/spar.SegmentSize)
	e := Explanation{
		Service: service, Key: key, Slot: slot, Assignment: g.Value.At(slot), Revision: g.Revision, Last: []spar.Event{},
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

func (s *Service) askOwner(ctx context.Context, v *fleet.View, e *Explanation) {
	n, ok := v.Node(e.Assignment.Owner)
	if !ok {
		return
	}

	e.Owner, e.Withdrawn = &n.Value, v.Withdrawn(n.Value)
	a := ask(ctx, s, []spar.Node{n.Value}, MethodNode, Empty{}, s.node)[0]
	e.Reached, e.Report = a.err == nil, a.result
}

// EventsParams selects events; local leaves the peers out.
type EventsParams struct {
	Filter event.Filter `json:"filter"`
	Key    string       `json:"key,omitempty"`
	Local  bool         `json:"local"`
}

// EventsResult holds events in causal order and the nodes that did not answer.
type EventsResult struct {
	Events  []spar.Event  `json:"events"`
	Missing []spar.NodeID `json:"missing"`
	// Cut names the nodes that have older events than they sent.
	Cut []spar.NodeID `json:"cut"`
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
		return s.local(p.Filter), nil
	}

	return s.gather(ctx, p.Filter), nil
}

// local returns the selected events of this node's ring.
func (s *Service) local(f event.Filter) EventsResult {
	newest := f.Newest
	f.Newest = 0
	events := f.Apply(s.Ring.Events())

	if newest == 0 || len(events) <= newest {
		return EventsResult{Events: events}
	}

	return EventsResult{Events: events[len(events)-newest:], Cut: []spar.NodeID{s.Self()}}
}

// gather merges the selected events of all nodes.
func (s *Service) gather(ctx context.Context, f event.Filter) EventsResult {
	nodes := s.Replica.View().Nodes()
	each := f
	each.Newest = max(leastEvents, mostEvents/max(1, len(nodes)))

	if f.Newest > 0 {
		each.Newest = min(each.Newest, f.Newest)
	}

	result := s.local(each)
	rings := [][]spar.Event{result.Events}

	params := EventsParams{Filter: each, Local: true}
	for _, a := range ask(ctx, s, others(nodes, s.Self()), MethodEvents, params, s.events) {
		if a.err != nil {
			result.Missing = append(result.Missing, a.node.ID)

			continue
		}

		rings = append(rings, a.result.Events)
		result.Cut = append(result.Cut, a.result.Cut...)
	}

	result.Events = f.Apply(event.Merge(rings...))

	return result
}

func others(nodes []spar.Node, self spar.NodeID) []spar.Node {
	var rest []spar.Node

	for _, n := range nodes {
		if n.ID != self {
			rest = append(rest, n)
		}
	}

	return rest
}
