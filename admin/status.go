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

// maxMoveAge is how long a move without an event for its end counts as in progress, in milliseconds.
const maxMoveAge = 60_000

// Empty holds the parameters of a method that takes none.
type Empty struct{}

// NodeReport is the state of a node as the node itself reports it.
type NodeReport struct {
	ID             spar.NodeID   `json:"id"`
	Generation     int64         `json:"generation"`
	Complete       spar.Revision `json:"complete"`
	LeaseRemaining spar.Millis   `json:"lease_remaining_ms"`
	InFlight       int           `json:"in_flight"`
	Limit          int           `json:"limit"`
	Queued         int           `json:"queued"`
	Refusals       []Count       `json:"refusals"`
	RecentRefusals []Count       `json:"recent_refusals"`
	Moving         []Move        `json:"moving"`
}

// Move is a planned move of a slot that is in progress.
type Move struct {
	Service string      `json:"service"`
	Slot    spar.Slot   `json:"slot"`
	From    spar.NodeID `json:"from"`
	To      spar.NodeID `json:"to"`
}

// NodeStatus is the state of one node as the reporting node knows it, with the node's own report if
// the node was reached.
type NodeStatus struct {
	Node      spar.Node  `json:"node"`
	Owned     int        `json:"owned"`
	Withdrawn bool       `json:"withdrawn"`
	Reached   bool       `json:"reached"`
	Lagging   bool       `json:"lagging"`
	Report    NodeReport `json:"report"`
}

// ServiceStatus is one service with the numbers of its slots without an owner and of its live nodes.
type ServiceStatus struct {
	Service spar.Service `json:"service"`
	Unowned int          `json:"unowned"`
	Live    int          `json:"live"`
}

// Status is the state of the fleet as one node knows it.
type Status struct {
	ReportedBy  spar.NodeID        `json:"asked_node"`
	Complete    spar.Revision      `json:"complete"`
	InForce     *preset.Activation `json:"in_force"`
	Services    []ServiceStatus    `json:"services"`
	Nodes       []NodeStatus       `json:"nodes"`
	Lost        []spar.NodeID      `json:"lost"`
	Withdrawals []spar.Withdrawal  `json:"out"`
}

// node returns the report of this node.
func (s *Service) node(context.Context, Empty) (NodeReport, error) {
	r := s.Report()
	r.ID = s.Self()
	r.Complete = s.Replica.View().CompleteRevision()
	r.RecentRefusals = s.recentRefusals(r.Refusals)
	r.Moving = s.movesInProgress()

	return r, nil
}

// movesInProgress returns the moves that this node's ring records as begun in the last minute, without a
// later event for their end.
func (s *Service) movesInProgress() []Move {
	type slotID struct {
		service string
		slot    spar.Slot
	}

	started := map[slotID]Move{}

	for _, e := range s.Ring.Events() {
		if e.Slot == nil {
			continue
		}

		id := slotID{e.Service, *e.Slot}

		switch {
		case e.Kind == spar.EventMoveBegun && e.Timestamp.Wall > s.UnixMillis()-maxMoveAge:
			started[id] = Move{Service: e.Service, Slot: *e.Slot, From: e.Node, To: e.Peer}
		case e.Kind == spar.EventMoved || e.Kind == spar.EventMoveFailed:
			delete(started, id)
		}
	}

	moves := make([]Move, 0, len(started))
	for _, m := range started {
		moves = append(moves, m)
	}

	slices.SortFunc(moves, func(a, b Move) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Slot, b.Slot))
	})

	return moves
}

func (s *Service) status(ctx context.Context, _ Empty) (Status, error) {
	v := s.Replica.View()
	st := Status{ReportedBy: s.Self(), Complete: v.CompleteRevision(), Lost: lostNodes(v), Withdrawals: withdrawn(v)}

	if a, ok := preset.CurrentActivation(v); ok {
		st.InForce = &a
	}

	owned := map[spar.NodeID]int{}

	for _, service := range v.Services() {
		serviceStatus := ServiceStatus{Service: service, Live: len(liveNodes(v, service.Name))}

		if service.Mode == spar.ModeKeyed {
			counts := ownedSlots(v, service)
			serviceStatus.Unowned = service.Slots

			for id, n := range counts {
				owned[id] += n
				serviceStatus.Unowned -= n
			}
		}

		st.Services = append(st.Services, serviceStatus)
	}

	for _, r := range queryNodes(ctx, s, v.Nodes(), MethodNode, Empty{}, s.node) {
		n := NodeStatus{
			Node: r.node, Owned: owned[r.node.ID], Withdrawn: v.Withdrawn(r.node),
			Reached: r.err == nil, Report: r.result,
		}
		n.Lagging = n.Reached && st.InForce != nil && n.Report.Generation < st.InForce.Generation
		st.Nodes = append(st.Nodes, n)
	}

	return st, nil
}

// ownedSlots returns the number of a service's slots that each node owns.
func ownedSlots(v *fleet.View, service spar.Service) map[spar.NodeID]int {
	segments := make([]spar.Segment, 0, service.SegmentCount())
	for i := range service.SegmentCount() {
		segments = append(segments, v.Segment(service, i).Value)
	}

	return slots.CountOwned(segments)
}

// liveNodes returns the live nodes of a service.
func liveNodes(v *fleet.View, service string) []spar.Node {
	return slices.DeleteFunc(v.NodesOf(service), func(n spar.Node) bool { return n.State != spar.NodeLive })
}

// lostNodes returns the lost nodes whose VM has no registered node.
func lostNodes(v *fleet.View) []spar.NodeID {
	registered := map[string]bool{}
	for _, n := range v.Nodes() {
		registered[n.VM] = true
	}

	return slices.DeleteFunc(v.LostNodes(), func(id spar.NodeID) bool {
		n, ok := v.Node(id)

		return !ok || registered[n.Value.VM]
	})
}

// ActivationStatus reports the preset in force and which nodes do not use it yet.
type ActivationStatus struct {
	InForce *preset.Activation  `json:"in_force"`
	Source  string              `json:"source"`
	Nodes   []NodeActivation    `json:"nodes"`
	Lagging []spar.NodeID       `json:"lagging"`
	History []preset.Activation `json:"history"`
}

// NodeActivation is the generation of the preset in force on one node.
type NodeActivation struct {
	ID         spar.NodeID `json:"id"`
	Zone       spar.Zone   `json:"zone"`
	Generation int64       `json:"generation"`
	Reached    bool        `json:"reached"`
}

// activationStatus queries every node for its generation. Nodes that have an older one than the generation
// in force or do not answer are listed as lagging.
func (s *Service) activationStatus(ctx context.Context, _ Empty) (ActivationStatus, error) {
	list, err := s.presetList(ctx, Empty{})
	if err != nil {
		return ActivationStatus{}, err
	}

	st := ActivationStatus{InForce: list.InForce, Source: list.Source, History: list.History}

	for _, r := range queryNodes(ctx, s, s.Replica.View().Nodes(), MethodNode, Empty{}, s.node) {
		n := NodeActivation{
			ID: r.node.ID, Zone: r.node.Zone, Generation: r.result.Generation, Reached: r.err == nil,
		}
		st.Nodes = append(st.Nodes, n)

		if st.InForce != nil && (!n.Reached || n.Generation < st.InForce.Generation) {
			st.Lagging = append(st.Lagging, n.ID)
		}
	}

	return st, nil
}
