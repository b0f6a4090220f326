// Package keymap holds who owns which range of a service's ordered keys.
package keymap

import (
	"slices"
	"sort"

	spar "sardinespar.example/spar"
)

// Keys is the number of keys of a service; they are 0 to Keys-1.
const Keys = 1 << 16

// Span is a range of keys; both ends are included.
type Span struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Covers reports whether o lies within s.
func (s Span) Covers(o Span) bool {
	return s.From <= o.From && o.To <= s.To
}

// Overlaps reports whether s and o share a key.
func (s Span) Overlaps(o Span) bool {
	return s.From <= o.To && o.From <= s.To
}

// Range is a span of keys with its owner.
type Range struct {
	Span
	// Epoch rises with each change of node or life.
	Epoch int64 `json:"epoch"`
	// Node is the node that may grant the keys, and Life the backend server beside it that may hold them.
	Node string    `json:"node"`
	Life spar.Life `json:"life"`
	// Handover is what the last holder left for the next one, so that it need not warm up.
	Handover string `json:"handover,omitempty"`
}

// Map is the assignment of a service's keys. Ranges are sorted and don't overlap; keys outside them
// have no owner.
type Map struct {
	// Last is the highest epoch given out.
	Last   int64   `json:"last"`
	Ranges []Range `json:"ranges"`
}

// Find returns the range of a key.
func (m Map) Find(key int) (Range, bool) {
	i, ok := m.index(key)
	if !ok {
		return Range{}, false
	}

	return m.Ranges[i], true
}

// index returns the place of the range of a key.
func (m Map) index(key int) (int, bool) {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })

	return i, i < len(m.Ranges) && m.Ranges[i].From <= key
}

// Of returns the ranges of a node.
func (m Map) Of(node string) []Range {
	var own []Range

	for _, r := range m.Ranges {
		if r.Node == node {
			own = append(own, r)
		}
	}

	return own
}

// Gaps returns the spans without an owner.
func (m Map) Gaps() []Span {
	var gaps []Span

	next := 0

	for _, r := range m.Ranges {
		if r.From > next {
			gaps = append(gaps, Span{next, r.From - 1})
		}

		next = r.To + 1
	}

	if next < Keys {
		gaps = append(gaps, Span{next, Keys - 1})
	}

	return gaps
}

// Without returns m without owners of the span's keys.
func (m Map) Without(s Span) Map {
	ranges := make([]Range, 0, len(m.Ranges)+1)

	for _, r := range m.Ranges {
		if !r.Overlaps(s) {
			ranges = append(ranges, r)

			continue
		}

		if r.From < s.From {
			left := r
			left.To = s.From - 1
			ranges = append(ranges, left)
		}

		if r.To > s.To {
			right := r
			right.From = s.To + 1
			ranges = append(ranges, right)
		}
	}

	return Map{Last: m.Last, Ranges: ranges}
}

// WithOwner returns m with the span's keys given to a life beside a node, under a new epoch.
func (m Map) WithOwner(s Span, node string, life spar.Life, handover string) Map {
	next := m.Without(s)
	next.Last++

	return next.inserted(Range{Span: s, Epoch: next.Last, Node: node, Life: life, Handover: handover})
}

// inserted returns m, which has no owner of r's keys, with r.
func (m Map) inserted(r Range) Map {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].From > r.From })

	return Map{Last: m.Last, Ranges: slices.Insert(slices.Clone(m.Ranges), i, r)}
}

// WithLife returns m with all ranges of a node given to another life beside it. The new life holds
// nothing of the old one, so neighboring ranges become one.
func (m Map) WithLife(node string, life spar.Life) Map {
	next := m
	for _, r := range m.Of(node) {
		if r.Life != life {
			next = next.WithOwner(r.Span, node, life, "")
		}
	}

	return next
}

// Merged returns the spans with neighbors joined.
func Merged(spans []Span) []Span {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int { return a.From - b.From })

	var joined []Span

	for _, s := range sorted {
		if n := len(joined); n > 0 && joined[n-1].To+1 >= s.From {
			joined[n-1].To = max(joined[n-1].To, s.To)

			continue
		}

		joined = append(joined, s)
	}

	return joined
}

// Even cuts a span into n nearly equal spans.
func (s Span) Even(n int) []Span {
	size := s.To - s.From + 1
	n = min(n, size)

	parts := make([]Span, 0, n)
	for i := range n {
		parts = append(parts, Span{s.From + size*i/n, s.From + size*(i+1)/n - 1})
	}

	return parts
}
