package keymap

import (
	"slices"

	spar "sardinespar.example/spar"
)

// Change is the difference between two versions of a map. It is much shorter than a map, since a move affects
// only a few ranges.
type Change struct {
	// LastEpoch is the highest epoch that was issued, as in Map.
	LastEpoch int64 `json:"last"`
	// Cleared are the spans that no longer have an owner. Ranges are the ranges with a new owner, epoch or
	// extent.
	Cleared []Span  `json:"cleared,omitempty"`
	Ranges  []Range `json:"ranges,omitempty"`
	// Era, Base and Known are those of the new map.
	Era   int64         `json:"era,omitempty"`
	Base  int64         `json:"base,omitempty"`
	Known spar.Revision `json:"known,omitempty"`
}

// Len returns the number of spans and ranges that change.
func (c Change) Len() int {
	return len(c.Cleared) + len(c.Ranges)
}

// ChangeTo returns the change that turns m into next.
func (m Map) ChangeTo(next Map) Change {
	c := Change{LastEpoch: next.LastEpoch, Era: next.Era, Base: next.Base, Known: next.Known}

	for _, r := range next.Ranges {
		if i, ok := m.index(r.From); !ok || m.Ranges[i] != r {
			c.Ranges = append(c.Ranges, r)
		}
	}

	for _, gap := range next.Gaps() {
		if slices.ContainsFunc(m.Ranges, func(r Range) bool { return r.Overlaps(gap) }) {
			c.Cleared = append(c.Cleared, gap)
		}
	}

	return c
}

// WithChange returns a copy of m with a change applied.
func (m Map) WithChange(c Change) Map {
	next := m

	for _, s := range c.Cleared {
		next = next.Without(s)
	}

	for _, r := range c.Ranges {
		next = next.Without(r.Span).withRange(r)
	}

	next.LastEpoch, next.Era, next.Base, next.Known = c.LastEpoch, c.Era, c.Base, c.Known

	return next
}
