package admin

import (
	"cmp"
	"context"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/preset"
	"sardinespar.example/spar/slots"
)

// moveMemory is how long a begun move without an end counts as in progress.
const moveMemory = 60_000

// Empty is the parameter or result of a method that has none.
type Empty struct{}

// NodeReport is what a node says of itself.
type NodeReport struct {
	ID             spar.NodeID   `json:"id"`
	Generation     int64         `json:"generation"`
	Complete       spar.Revision `json:"complete"`
	LeaseRemaining spar.Millis   `json:"lease_remaining_ms"`
	InFlight       int           `json:"in_flight"`
	Limit          int           `json:"limit"`
	Queued         int           `json:"queued"`
	Refusals       []Count       `json:"refusals"`
	Recent         []Count       `json:"recent_refusals"`
	Moving         []Move        `json:"moving"`
}

// Move is a planned move in progress.
type Move struct {
	Service string      `json:"service"`
	Slot    spar.Slot   `json:"slot"`
	From    spar.NodeID `json:"from"`
	To      spar.NodeID `json:"to"`
}

// NodeStatus is one node as the asked node sees it, with the node's own report if it answered.
type NodeStatus struct {
	Node      spar.Node  `json:"node"`
	Owned     int        `json:"owned"`
	Withdrawn bool       `json:"withdrawn"`
	Reached   bool       `json:"reached"`
	Lagging   bool       `json:"lagging"`
	Report    NodeReport `json:"report"`
}

// ServiceStatus is one service with the number of its slots that have no owner.
type ServiceStatus struct {
	Service spar.Service `json:"service"`
	Unowned int          `json:"unowned"`
	Live    int          `json:"live"`
}

// Status is the fleet as one node sees it.
type Status struct {
	AskedNode spar.NodeID       `json:"asked_node"`
	Complete  spar.Revision     `json:"complete"`
	InForce   *preset.Force     `json:"in_force"`
	Services  []ServiceStatus   `json:"services"`
	Nodes     []NodeStatus      `json:"nodes"`
	Lost      []spar.NodeID     `json:"lost"`
	Out       []spar.Withdrawal `json:"out"`
}

// node answers for this node alone.
func (s *Service) node(context.Context, Empty) (NodeReport, error) {
	r := s.Report()
	r.ID = s.Self()
	r.Complete = s.Replica.View().Complete()
	r.Recent = s.recent(r.Refusals)
	r.Moving = s.moving()

	return r, nil
}

// moving returns the moves of this node's slots that began and have not ended.
func (s *Service) moving() []Move {
	type place struct {
		service string
		slot    spar.Slot
	}

	begun := map[place]Move{}

	for _, e := range s.Ring.Events() {
		if e.Slot == nil {
			continue
		}

		at := place{e.Service, *e.Slot}

		switch {
		case e.Kind == spar.EventMoveBegun && e.Stamp.Wall > s.Wall()-moveMemory:
			begun[at] = Move{Service: e.Service, Slot: *e.Slot, From: e.Node, To: e.Peer}
		case e.Kind == spar.EventMoved || e.Kind == spar.EventMoveFailed:
			delete(begun, at)
		}
	}

	moves := make([]Move, 0, len(begun))
	for _, m := range begun {
		moves = append(moves, m)
	}

	slices.SortFunc(moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slot, b.Slot))
	})

	return moves
}

func (s *Service) status(ctx context.Context, _ Empty) (Status, error) {
	v := s.Replica.View()
	st := Status{AskedNode: s.Self(), Complete: v.Complete(), Lost: gone(v), Out: out(v)}

	if f, ok := preset.Pointer(v); ok {
		st.InForce = &f
	}

	owned := map[spar.NodeID]int{}

	for _, service := range v.Services() {
		line := ServiceStatus{Service: service, Live: len(live(v, service.Name))}

		if service.Mode == spar.ModeKeyed {
			counts := ownedOf(v, service)
			line.Unowned = service.Slots

			for id, n := range counts {
				owned[id] += n
				line.Unowned -= n
			}
		}

		st.Services = append(st.Services, line)
	}

	for _, a := range ask(ctx, s, v.Nodes(), MethodNode, Empty{}, s.node) {
		n := NodeStatus{
			Node: a.node, Owned: owned[a.node.ID], Withdrawn: v.Withdrawn(a.node),
			Reached: a.err == nil, Report: a.result,
		}
		n.Lagging = n.Reached && st.InForce != nil && n.Report.Generation < st.InForce.Generation
		st.Nodes = append(st.Nodes, n)
	}

	return st, nil
}

func ownedOf(v *fleet.View, service spar.Service) map[spar.NodeID]int {
	segments := make([]spar.Segment, 0, service.SegmentCount())
	for i := range service.SegmentCount() {
		segments = append(segments, v.Segment(service, i).Value)
	}

	return slots.Owned(segments)
}

func live(v *fleet.View, service string) []spar.Node {
	return slices.DeleteFunc(v.NodesOf(service), func(n spar.Node) bool { return n.State != spar.NodeLive })
}

// gone returns the lost nodes whose VM has not registered again.
func gone(v *fleet.View) []spar.NodeID {
	back := map[string]bool{}
	for _, n := range v.Nodes() {
		back[n.VM] = true
	}

	return slices.DeleteFunc(v.LostNodes(), func(id spar.NodeID) bool {
		n, ok := v.Node(id)

		return !ok || back[n.Value.VM]
	})
}

// ForceStatus tells on which nodes the generation in force has arrived.
type ForceStatus struct {
	InForce *preset.Force  `json:"in_force"`
	Source  string         `json:"source"`
	Nodes   []ForceOnNode  `json:"nodes"`
	Lagging []spar.NodeID  `json:"lagging"`
	History []preset.Force `json:"history"`
}

// ForceOnNode is the generation in force on one node.
type ForceOnNode struct {
	ID         spar.NodeID `json:"id"`
	Zone       spar.Zone   `json:"zone"`
	Generation int64       `json:"generation"`
	Reached    bool        `json:"reached"`
}

// forceStatus asks every node for its generation and names those that lag or do not answer.
func (s *Service) forceStatus(ctx context.Context, _ Empty) (ForceStatus, error) {
	list, err := s.presetList(ctx, Empty{})
	if err != nil {
		return ForceStatus{}, err
	}

	st := ForceStatus{InForce: list.InForce, Source: list.Source, History: list.History}

	for _, a := range ask(ctx, s, s.Replica.View().Nodes(), MethodNode, Empty{}, s.node) {
		n := ForceOnNode{
			ID: a.node.ID, Zone: a.node.Zone, Generation: a.result.Generation, Reached: a.err == nil,
		}
		st.Nodes = append(st.Nodes, n)

		if st.InForce != nil && (!n.Reached || n.Generation < st.InForce.Generation) {
			st.Lagging = append(st.Lagging, n.ID)
		}
	}

	return st, nil
}
