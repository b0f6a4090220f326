package admin

import (
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/slots"
)

// WithdrawPlan is what moves because of a withdrawal or a return.
type WithdrawPlan struct {
	Nodes    []spar.NodeID `json:"nodes"`
	Services []ServicePlan `json:"services"`
	// Emptied names the services that no upstream would be left of.
	Emptied []string `json:"emptied"`
}

// ServicePlan is the part of one service.
type ServicePlan struct {
	Service string     `json:"service"`
	Mode    spar.Mode  `json:"mode"`
	Slots   int        `json:"slots"`
	Left    int        `json:"left"`
	Nodes   []NodePlan `json:"nodes"`
}

// NodePlan is the number of slots of one node before and after.
type NodePlan struct {
	ID     spar.NodeID `json:"id"`
	Zone   spar.Zone   `json:"zone"`
	Before int         `json:"before"`
	After  int         `json:"after"`
}

// planWithdrawal estimates where slots go, in proportion to the nodes' capacity. Nothing else of
// the view is changed.
func planWithdrawal(v *fleet.View, p WithdrawParams) WithdrawPlan {
	plan := WithdrawPlan{}
	concerned := func(n spar.Node) bool {
		return (p.Kind == KindZone && n.Zone == spar.Zone(p.Name)) || (p.Kind == KindServer && n.VM == p.Name)
	}

	for _, s := range v.Services() {
		nodes := live(v, s.Name)
		if !slices.ContainsFunc(nodes, concerned) {
			continue
		}

		sp := servicePlan(v, s, nodes, func(n spar.Node) bool {
			if concerned(n) {
				return !p.Out && !withdrawnOtherwise(v, n, p)
			}

			return !v.Withdrawn(n)
		})
		plan.Services = append(plan.Services, sp)

		if sp.Left == 0 {
			plan.Emptied = append(plan.Emptied, s.Name)
		}

		for _, n := range nodes {
			if concerned(n) {
				plan.Nodes = append(plan.Nodes, n.ID)
			}
		}
	}

	return plan
}

// withdrawnOtherwise reports whether the node stays out because of its zone when its server comes
// in, or the other way round.
func withdrawnOtherwise(v *fleet.View, n spar.Node, p WithdrawParams) bool {
	key := fleet.ServerKey(n.VM)
	if p.Kind == KindServer {
		key = fleet.ZoneKey(n.Zone)
	}

	row, ok := v.Row(key)

	return ok && slices.ContainsFunc(decodeAll[spar.Withdrawal]([]spar.Row{row}),
		func(w spar.Withdrawal) bool { return w.Out })
}

func servicePlan(v *fleet.View, s spar.Service, nodes []spar.Node, stays func(spar.Node) bool) ServicePlan {
	sp := ServicePlan{Service: s.Name, Mode: s.Mode}
	owned := map[spar.NodeID]int{}

	if s.Mode == spar.ModeKeyed {
		owned = ownedOf(v, s)
	}

	var bearers []slots.Bearer

	for _, n := range nodes {
		if stays(n) {
			sp.Left++

			bearers = append(bearers, slots.Bearer{ID: n.ID, Weight: float64(max(1, n.Capacity.Slots))})
		}
	}

	shares := share(s, bearers)

	for _, n := range nodes {
		np := NodePlan{ID: n.ID, Zone: n.Zone, Before: owned[n.ID], After: shares[n.ID]}
		sp.Slots += max(0, np.Before-np.After)
		sp.Nodes = append(sp.Nodes, np)
	}

	return sp
}

// share divides all slots of a keyed service among bearers in proportion to their weight.
func share(s spar.Service, bearers []slots.Bearer) map[spar.NodeID]int {
	shares := map[spar.NodeID]int{}
	if s.Mode != spar.ModeKeyed || len(bearers) == 0 {
		return shares
	}

	total := 0.0
	for _, b := range bearers {
		total += b.Weight
	}

	given := 0

	for i := range bearers {
		bearers[i].Owned = int(float64(s.Slots) * bearers[i].Weight / total)
		given += bearers[i].Owned
	}

	for range s.Slots - given {
		_, bearers = slots.Fill(bearers)
	}

	for _, b := range bearers {
		shares[b.ID] = b.Owned
	}

	return shares
}
