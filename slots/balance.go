package slots

import (
	"cmp"
	"maps"
	"math"
	"slices"

	spar "sardinespar.example/spar"
)

// rounding keeps a share that is a whole number, but for the error of its division, from being
// rounded to the next one.
const rounding = 1e-9

// Share is a node's claim on the slots of a service. Weight 0 means that it is to own none.
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

// claim is a node's exact share, its bounds, and the whole number chosen between them.
type claim struct {
	Share

	exact  float64
	most   int
	least  int
	target int
}

// Targets returns how many of total slots each node should own: its weighted share rounded down or
// up. Of the roundings possible it takes the one that needs the fewest moves, and among those the
// one that keeps the zones closest to their shares. Without any weight nothing changes.
func Targets(total int, shares []Share, owned map[spar.NodeID]int) map[spar.NodeID]int {
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}

	if sum == 0 {
		return maps.Clone(owned)
	}

	claims := make([]claim, 0, len(shares))
	left := total

	for _, s := range shares {
		exact := float64(total) * s.Weight / sum
		c := claim{
			Share: s, exact: exact,
			least: int(math.Floor(exact + rounding)), most: int(math.Ceil(exact - rounding)),
		}
		c.target = min(max(owned[s.ID], c.least), c.most)
		left -= c.target
		claims = append(claims, c)
	}

	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.ID, b.ID) })

	for ; left > 0; left-- {
		adjust(claims, 1)
	}

	for ; left < 0; left++ {
		adjust(claims, -1)
	}

	targets := make(map[spar.NodeID]int, len(claims))
	for _, c := range claims {
		targets[c.ID] = c.target
	}

	return targets
}

// adjust changes by one the target of the node whose zone, and then itself, is furthest from its
// exact share in that direction.
func adjust(claims []claim, by int) {
	zones := map[spar.Zone]float64{}
	for _, c := range claims {
		zones[c.Zone] += c.exact - float64(c.target)
	}

	best := -1

	for i, c := range claims {
		if next := c.target + by; next < c.least || next > c.most {
			continue
		}

		if best < 0 || further(zones, c, claims[best], float64(by)) {
			best = i
		}
	}

	if best < 0 {
		panic("slots: shares do not add up to the number of slots")
	}

	claims[best].target += by
}

func further(zones map[spar.Zone]float64, a, b claim, sign float64) bool {
	if za, zb := zones[a.Zone]*sign, zones[b.Zone]*sign; math.Abs(za-zb) > rounding {
		return za > zb
	}

	return (a.exact-float64(a.target))*sign > (b.exact-float64(b.target))*sign+rounding
}

// Moves returns the fewest moves after which every node owns its share. The index of owners is the
// slot; slots without an owner are left alone. Slots of nodes without a share or weight come first.
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
	lacking := slices.DeleteFunc(slices.Sorted(maps.Keys(targets)), func(id spar.NodeID) bool {
		return targets[id] <= owned[id]
	})

	var moves []Move

	for slot, id := range owners {
		if id == "" || owned[id] <= targets[id] {
			continue
		}

		to := slices.MaxFunc(lacking, func(a, b spar.NodeID) int {
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
