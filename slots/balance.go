package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"

	spar "sardinespar.example/spar"
)

// tolerance allows for errors of floating-point division: without it, a share that is a whole
// number may be rounded up to the next one.
const tolerance = 1e-9

// Share is a node's share of the slots of a service. With weight 0 the node gets no slots.
type Share struct {
	ID     spar.NodeID
	Zone   spar.Zone
	Weight float64
}

// Move is the transfer of one slot.
type Move struct {
	Slot spar.Slot
	From spar.NodeID
	To   spar.NodeID
}

// claim is a node's exact share, the bounds of its target, and the target chosen between them.
type claim struct {
	Share

	exact  float64
	max    int
	min    int
	target int
}

// Targets returns how many of total slots each node should own: its weighted share, rounded down or up.
// Among all possible roundings it takes those that need the fewest moves, and among these the one that
// keeps the zones closest to their shares. If all weights are 0, it returns what the nodes own.
func Targets(total int, shares []Share, owned map[spar.NodeID]int) map[spar.NodeID]int {
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}

	if sum == 0 {
		return maps.Clone(owned)
	}

	claims := make([]claim, 0, len(shares))
	remaining := total

	for _, s := range shares {
		exact := float64(total) * s.Weight / sum
		c := claim{
			Share: s, exact: exact,
			min: int(math.Floor(exact + tolerance)), max: int(math.Ceil(exact - tolerance)),
		}
		c.target = min(max(owned[s.ID], c.min), c.max)
		remaining -= c.target
		claims = append(claims, c)
	}

	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.ID, b.ID) })

	for ; remaining > 0; remaining-- {
		adjust(claims, 1)
	}

	for ; remaining < 0; remaining++ {
		adjust(claims, -1)
	}

	targets := make(map[spar.NodeID]int, len(claims))
	for _, c := range claims {
		targets[c.ID] = c.target
	}

	return targets
}

// adjust adds by, which is 1 or -1, to the target of one node within the node's bounds. It chooses the node
// whose zone is furthest from its exact share in that direction, and within a zone the node that is furthest
// from its own.
func adjust(claims []claim, by int) {
	zones := map[spar.Zone]float64{}
	for _, c := range claims {
		zones[c.Zone] += c.exact - float64(c.target)
	}

	best := -1

	for i, c := range claims {
		if next := c.target + by; next < c.min || next > c.max {
			continue
		}

		if best < 0 || isFurther(zones, c, claims[best], float64(by)) {
			best = i
		}
	}

	if best < 0 {
		panic("slots: shares do not add up to the number of slots")
	}

	claims[best].target += by
}

func isFurther(zones map[spar.Zone]float64, a, b claim, sign float64) bool {
	if za, zb := zones[a.Zone]*sign, zones[b.Zone]*sign; math.Abs(za-zb) > tolerance {
		return za > zb
	}

	return (a.exact-float64(a.target))*sign > (b.exact-float64(b.target))*sign+tolerance
}

// Moves returns the fewest moves after which every node owns its share. owners is indexed by slot; slots
// without an owner are not moved. Slots of nodes without a share or weight come first.
func Moves(owners []spar.NodeID, shares []Share) []Move {
	owned := map[spar.NodeID]int{}
	total := 0

	for _, id := range owners {
		if id != "" {
			owned[id]++
			total++
		}
	}

	targets := Targets(total, shares, owned)
	receivers := slices.DeleteFunc(slices.Sorted(maps.Keys(targets)), func(id spar.NodeID) bool {
		return targets[id] <= owned[id]
	})

	var moves []Move

	for slot, id := range owners {
		if id == "" || owned[id] <= targets[id] {
			continue
		}

		to := slices.MaxFunc(receivers, func(a, b spar.NodeID) int {
			return cmp.Or(cmp.Compare(targets[a]-owned[a], targets[b]-owned[b]), -cmp.Compare(a, b))
		})
		owned[id]--
		owned[to]++

		moves = append(moves, Move{Slot: spar.Slot(slot), From: id, To: to})
	}

	slices.SortStableFunc(moves, func(a, b Move) int {
		return cmp.Compare(min(1, targets[a.From]), min(1, targets[b.From]))
	})

	return moves
}
