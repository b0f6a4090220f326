package keymap

import "slices"

// Change is what turns one map into the next. It is much shorter than a map, since a move concerns a few
// of its ranges.
type Change struct {
	Last int64 `json:"last"`
	// Cleared are the spans that have lost their owner, and Ranges those with a new owner, epoch or extent.
	Cleared []Span  `json:"cleared,omitempty"`
	Ranges  []Range `json:"ranges,omitempty"`
}

// ChangeTo returns the change from m to next.
func (m Map) ChangeTo(next Map) Change {
	c := Change{Last: next.Last}

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

// With returns m after a change.
func (m Map) With(c Change) Map {
	next := m

	for _, s := range c.Cleared {
		next = next.Without(s)
	}

	for _, r := range c.Ranges {
		next = next.Without(r.Span).inserted(r)
	}

	next.Last = c.Last

	return next
}
