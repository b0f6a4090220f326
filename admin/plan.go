package admin

import (
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/slots"
)

// WithdrawalPlan is the expected effect of a withdrawal, or of its end, on the slots of the fleet.
type WithdrawalPlan struct {
	Nodes    []spar.NodeID `json:"nodes"`
	Services []ServicePlan `json:"services"`
	// Emptied names the services that would have no upstream left.
	Emptied []string `json:"emptied"`
}

// ServicePlan is the expected effect on one service: the slots that move, and the upstreams that remain.
type ServicePlan struct {
	Service    string     `json:"service"`
	Mode       spar.Mode  `json:"mode"`
	MovedSlots int        `json:"slots"`
	Remaining  int        `json:"left"`
	Nodes      []NodePlan `json:"nodes"`
}

// NodePlan is the number of slots that one node owns before and after the change.
type NodePlan struct {
	ID     spar.NodeID `json:"id"`
	Zone   spar.Zone   `json:"zone"`
	Before int         `json:"before"`
	After  int         `json:"after"`
}

// planWithdrawal estimates how the slots of the affected services are distributed after the change,
// in proportion to the capacity of the nodes. The view gives the current state of the fleet.
func planWithdrawal(v *fleet.View, p WithdrawParams) WithdrawalPlan {
	plan := WithdrawalPlan{}
	affected := func(n spar.Node) bool {
		return (p.Kind == KindZone && n.Zone == spar.Zone(p.Name)) || (p.Kind == KindServer && n.VM == p.Name)
	}

	for _, s := range v.Services() {
		nodes := liveNodes(v, s.Name)
		if !slices.ContainsFunc(nodes, affected) {
			continue
		}

		sp := servicePlan(v, s, nodes, func(n spar.Node) bool {
			if affected(n) {
				return !p.Withdrawn && !withdrawnByOtherRow(v, n, p)
			}

			return !v.Withdrawn(n)
		})
		plan.Services = append(plan.Services, sp)

		if sp.Remaining == 0 {
			plan.Emptied = append(plan.Emptied, s.Name)
		}

		for _, n := range nodes {
			if affected(n) {
				plan.Nodes = append(plan.Nodes, n.ID)
			}
		}
	}

	return plan
}

// withdrawnByOtherRow reports whether the node stays withdrawn after p: by the row of its zone if p is
// about its backend server, or by the row of its backend server if p is about its zone.
func withdrawnByOtherRow(v *fleet.View, n spar.Node, p WithdrawParams) bool {
	key := fleet.ServerKey(n.VM)
	if p.Kind == KindServer {
		key = fleet.ZoneKey(n.Zone)
	}

	row, ok := v.Row(key)

	return ok && slices.ContainsFunc(decodeAll[spar.Withdrawal]([]spar.Row{row}),
		func(w spar.Withdrawal) bool { return w.Withdrawn })
}

// servicePlan returns the plan of one service if only the nodes for which remains returns true may own slots.
func servicePlan(v *fleet.View, s spar.Service, nodes []spar.Node, remains func(spar.Node) bool) ServicePlan {
	sp := ServicePlan{Service: s.Name, Mode: s.Mode}
	owned := map[spar.NodeID]int{}

	if s.Mode == spar.ModeKeyed {
		owned = ownedSlots(v, s)
	}

	var candidates []slots.Candidate

	for _, n := range nodes {
		if remains(n) {
			sp.Remaining++

			candidates = append(candidates, slots.Candidate{ID: n.ID, Weight: float64(max(1, n.Capacity.Slots))})
		}
	}

	shares := divideSlots(s, candidates)

	for _, n := range nodes {
		np := NodePlan{ID: n.ID, Zone: n.Zone, Before: owned[n.ID], After: shares[n.ID]}
		sp.MovedSlots += max(0, np.Before-np.After)
		sp.Nodes = append(sp.Nodes, np)
	}

	return sp
}

// divideSlots divides all slots of a keyed service among candidates in proportion to their weight.
func divideSlots(s spar.Service, candidates []slots.Candidate) map[spar.NodeID]int {
	shares := map[spar.NodeID]int{}
	if s.Mode != spar.ModeKeyed || len(candidates) == 0 {
		return shares
	}

	total := 0.0
	for _, c := range candidates {
		total += c.Weight
	}

	assigned := 0

	for i := range candidates {
		candidates[i].Owned = int(float64(s.Slots) * candidates[i].Weight / total)
		assigned += candidates[i].Owned
	}

	for range s.Slots - assigned {
		_, candidates = slots.AssignNext(candidates)
	}

	for _, c := range candidates {
		shares[c.ID] = c.Owned
	}

	return shares
}
