package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	spar "sardinespar.example/spar"
)

// The numbers of witnesses. A node of a fleet too small for the large set has the small one.
const (
	witnessesMany = 5
	witnessesFew  = 3
)

// ChooseWitnesses returns the witness set of a node among the nodes of its fleet: five, or three
// while the fleet has fewer than six nodes, or none below four. No zone holds a majority of them,
// and neither does the other region. It changes as little as possible of the current set, and takes
// a witness that is silent only if there is no other one.
func ChooseWitnesses(self spar.Node, nodes []spar.Node, silent func(spar.NodeID) bool) []spar.NodeID {
	c := choice{self: self, silent: silent}

	for _, n := range nodes {
		if n.ID != self.ID && n.VM != self.VM && (n.State == spar.NodeLive || n.State == spar.NodeJoining) {
			c.candidates = append(c.candidates, n)
		}
	}

	switch {
	case len(c.candidates) < witnessesFew:
		return self.Witnesses
	case len(c.candidates) < witnessesMany:
		c.size = witnessesFew
	default:
		c.size = witnessesMany
	}

	c.foreign = slices.ContainsFunc(c.candidates, func(n spar.Node) bool { return n.Region != self.Region })

	set := c.kept()
	if len(set) == c.size && c.cost(set) == 0 {
		return self.Witnesses
	}

	slices.SortFunc(c.candidates, func(a, b spar.Node) int {
		return cmp.Or(cmp.Compare(c.weight(a), c.weight(b)), cmp.Compare(a.ID, b.ID))
	})

	return c.choose(set)
}

// choice is the choice of one node's witnesses.
type choice struct {
	self       spar.Node
	size       int
	foreign    bool
	candidates []spar.Node
	silent     func(spar.NodeID) bool
}

// weight orders candidates in another way for each node, so that the work is spread over the fleet.
func (c choice) weight(n spar.Node) uint64 {
	return xxhash.Sum64String(string(c.self.ID) + "/" + string(n.ID))
}

// kept returns the current witnesses that are still candidates.
func (c choice) kept() []spar.Node {
	var set []spar.Node

	for _, id := range c.self.Witnesses {
		if i := slices.IndexFunc(c.candidates, func(n spar.Node) bool { return n.ID == id }); i >= 0 {
			set = append(set, c.candidates[i])
		}
	}

	return set
}

func (c choice) choose(set []spar.Node) []spar.NodeID {
	for len(set) > c.size {
		set = c.without(set)
	}

	kept := len(set)

	for len(set) < c.size {
		set = c.with(set)
	}

	if kept == 0 {
		// The witnesses act in this order, and those of the node's zone may be lost with it.
		slices.SortStableFunc(set, func(a, b spar.Node) int { return cmp.Compare(c.near(a), c.near(b)) })
	}

	for range c.size {
		better := c.with(c.without(set))
		if c.cost(better) >= c.cost(set) {
			break
		}

		set = better
	}

	ids := make([]spar.NodeID, 0, len(set))
	for _, n := range set {
		ids = append(ids, n.ID)
	}

	return ids
}

func (c choice) near(n spar.Node) int {
	if n.Zone == c.self.Zone {
		return 1
	}

	return 0
}

// with returns set with the candidate that costs least.
func (c choice) with(set []spar.Node) []spar.Node {
	var best []spar.Node

	for _, n := range c.candidates {
		if slices.ContainsFunc(set, func(m spar.Node) bool { return m.ID == n.ID }) {
			continue
		}

		if next := append(slices.Clone(set), n); best == nil || c.cost(next) < c.cost(best) {
			best = next
		}
	}

	return best
}

// without returns set without the member whose removal leaves the least cost, the last of equals.
func (c choice) without(set []spar.Node) []spar.Node {
	var best []spar.Node

	for i := range set {
		if next := slices.Delete(slices.Clone(set), i, i+1); best == nil || c.cost(next) <= c.cost(best) {
			best = next
		}
	}

	return best
}

// cost counts the members that break a rule: too many in one zone, too many or too few in the
// node's own region, or silent ones. A silent one costs less than a broken rule.
func (c choice) cost(set []spar.Node) int {
	perZone := 2
	if c.size == witnessesFew {
		perZone = 1
	}

	zones := map[spar.Zone]int{}
	cost, foreign := 0, 0

	for _, n := range set {
		zones[n.Zone]++

		if zones[n.Zone] > perZone {
			cost += 2
		}

		if n.Region != c.self.Region {
			foreign++
		}

		if c.silent(n.ID) {
			cost++
		}
	}

	return cost + c.regionCost(len(set), foreign)
}

// regionCost demands one witness of another region, if there is one, and no more.
func (c choice) regionCost(size, foreign int) int {
	switch {
	case foreign > 1:
		return 2 * (foreign - 1)
	case c.foreign && foreign == 0 && size == c.size:
		return 2
	default:
		return 0
	}
}
