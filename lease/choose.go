package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	spar "sardinespar.example/spar"
)

// Sizes of a witness set. A node gets the small set if its fleet is too small for the large one.
const (
	largeSet = 5
	smallSet = 3
)

// ChooseWitnesses returns the witness set of a node among the nodes of its fleet: five witnesses, or three
// while the fleet has fewer than six nodes. Below four nodes the set stays as it is. No zone holds a
// majority of the witnesses, and neither does the other region. The set differs as little as possible from
// the current one, and includes an unresponsive witness only if there is no other candidate.
func ChooseWitnesses(self spar.Node, nodes []spar.Node, unresponsive func(spar.NodeID) bool) []spar.NodeID {
	c := choice{self: self, unresponsive: unresponsive}

	for _, n := range nodes {
		if n.ID != self.ID && n.VM != self.VM && (n.State == spar.NodeLive || n.State == spar.NodeJoining) {
			c.candidates = append(c.candidates, n)
		}
	}

	switch {
	case len(c.candidates) < smallSet:
		return self.Witnesses
	case len(c.candidates) < largeSet:
		c.size = smallSet
	default:
		c.size = largeSet
	}

	c.otherRegion = slices.ContainsFunc(c.candidates, func(n spar.Node) bool { return n.Region != self.Region })

	set := c.current()
	if len(set) == c.size && c.cost(set) == 0 {
		return self.Witnesses
	}

	slices.SortFunc(c.candidates, func(a, b spar.Node) int {
		return cmp.Or(cmp.Compare(c.hash(a), c.hash(b)), cmp.Compare(a.ID, b.ID))
	})

	return c.choose(set)
}

// choice holds the data from which one node's witnesses are chosen.
type choice struct {
	self         spar.Node
	size         int
	otherRegion  bool
	candidates   []spar.Node
	unresponsive func(spar.NodeID) bool
}

// hash returns a sort key that differs for each node, so that the work of witnesses is spread over the
// fleet.
func (c choice) hash(n spar.Node) uint64 {
	return xxhash.Sum64String(string(c.self.ID) + "/" + string(n.ID))
}

// current returns the current witnesses that are still candidates.
func (c choice) current() []spar.Node {
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
		set = c.removeWorst(set)
	}

	kept := len(set)

	for len(set) < c.size {
		set = c.addBest(set)
	}

	if kept == 0 {
		// Witnesses suspect a node in this order, and those in the node's own zone may be lost with it.
		slices.SortStableFunc(set, func(a, b spar.Node) int { return cmp.Compare(c.sameZone(a), c.sameZone(b)) })
	}

	for range c.size {
		better := c.addBest(c.removeWorst(set))
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

func (c choice) sameZone(n spar.Node) int {
	if n.Zone == c.self.Zone {
		return 1
	}

	return 0
}

// addBest returns set with the additional candidate that gives the lowest cost.
func (c choice) addBest(set []spar.Node) []spar.Node {
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

// removeWorst returns set without the member whose removal gives the lowest cost, the last of several
// equal ones.
func (c choice) removeWorst(set []spar.Node) []spar.Node {
	var best []spar.Node

	for i := range set {
		if next := slices.Delete(slices.Clone(set), i, i+1); best == nil || c.cost(next) <= c.cost(best) {
			best = next
		}
	}

	return best
}

// cost counts the members that break a rule: too many in one zone, too many or too few outside the node's
// region, or unresponsive ones. An unresponsive member costs less than a broken rule.
func (c choice) cost(set []spar.Node) int {
	perZone := 2
	if c.size == smallSet {
		perZone = 1
	}

	zones := map[spar.Zone]int{}
	cost, outside := 0, 0

	for _, n := range set {
		zones[n.Zone]++

		if zones[n.Zone] > perZone {
			cost += 2
		}

		if n.Region != c.self.Region {
			outside++
		}

		if c.unresponsive(n.ID) {
			cost++
		}
	}

	return cost + c.regionCost(len(set), outside)
}

// regionCost requires exactly one witness of another region, if there is another region.
func (c choice) regionCost(size, outside int) int {
	switch {
	case outside > 1:
		return 2 * (outside - 1)
	case c.otherRegion && outside == 0 && size == c.size:
		return 2
	default:
		return 0
	}
}
