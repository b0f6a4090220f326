// Package keymap assigns ranges of a service's ordered keys to owners.
package keymap

import (
	"slices"
	"sort"

	spar "sardinespar.example/spar"
)

// Keys is the number of keys of a service; they are 0 to Keys-1.
const Keys = 1 << 16

// Span is an interval of keys that includes both ends.
type Span struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Valid reports whether s is a span of the key space.
func (s Span) Valid() bool {
	return 0 <= s.From && s.From <= s.To && s.To < Keys
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
	// Epoch increases with each change of the node or the incarnation.
	Epoch int64 `json:"epoch"`
	// Node is the node that may grant the keys, and Incarnation the incarnation of the backend server on
	// its VM that may hold them.
	Node        string           `json:"node"`
	Incarnation spar.Incarnation `json:"life"`
	// Handover is data from the last holder for the next one, so that the next one doesn't have to warm up.
	Handover string `json:"handover,omitempty"`
}

// Map is the assignment of a service's keys to owners. Ranges are sorted and don't overlap; keys outside all
// ranges have no owner.
type Map struct {
	// LastEpoch is the highest epoch that was issued.
	LastEpoch int64   `json:"last"`
	Ranges    []Range `json:"ranges"`
	// Era is the era of the table in which the map was last merged, that is, combined with what nodes know of maps that
	// a restore lost. Base is the epoch above which all epochs of that era lie, and Known the newest revision of an
	// earlier era that the map includes.
	Era   int64         `json:"era,omitempty"`
	Base  int64         `json:"base,omitempty"`
	Known spar.Revision `json:"known,omitempty"`
}

// Settled reports whether an epoch has been issued since the map was merged. Grants from before a restore have all
// expired then.
func (m Map) Settled() bool {
	return m.LastEpoch > m.Base
}

// Find returns the range that contains a key.
func (m Map) Find(key int) (Range, bool) {
	i, ok := m.index(key)
	if !ok {
		return Range{}, false
	}

	return m.Ranges[i], true
}

// index returns the index in Ranges of the range that contains a key.
func (m Map) index(key int) (int, bool) {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].To >= key })

	return i, i < len(m.Ranges) && m.Ranges[i].From <= key
}

// OwnedBy returns the ranges that a node owns.
func (m Map) OwnedBy(node string) []Range {
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

// Without returns a copy of m in which the span's keys have no owner.
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

	return m.withRanges(ranges)
}

// withRanges returns a copy of m with other ranges.
func (m Map) withRanges(ranges []Range) Map {
	m.Ranges = ranges

	return m
}

// WithOwner returns a copy of m in which the span's keys are assigned to a node and the incarnation of the
// backend server on its VM, with a new epoch.
func (m Map) WithOwner(s Span, node string, incarnation spar.Incarnation, handover string) Map {
	next := m.Without(s)
	next.LastEpoch++

	return next.withRange(Range{Span: s, Epoch: next.LastEpoch, Node: node, Incarnation: incarnation, Handover: handover})
}

// withRange returns a copy of m with r added. The keys of r must not have an owner in m.
func (m Map) withRange(r Range) Map {
	i := sort.Search(len(m.Ranges), func(i int) bool { return m.Ranges[i].From > r.From })

	return m.withRanges(slices.Insert(slices.Clone(m.Ranges), i, r))
}

// WithIncarnation returns a copy of m with all ranges of a node assigned to another incarnation of its backend
// server, with new epochs. Handover data is dropped, since the new incarnation has no state of the old one.
func (m Map) WithIncarnation(node string, incarnation spar.Incarnation) Map {
	next := m
	for _, r := range m.OwnedBy(node) {
		if r.Incarnation != incarnation {
			next = next.WithOwner(r.Span, node, incarnation, "")
		}
	}

	return next
}

// WithNewest returns a copy of m that has, for each key, the range of m or o with the higher epoch, or that of o if the
// epochs are equal.
func (m Map) WithNewest(o Map) Map {
	next := m.withRanges(nil)
	next.LastEpoch = max(m.LastEpoch, o.LastEpoch)

	for _, s := range elementary(m.Ranges, o.Ranges) {
		r, ok := m.Find(s.From)
		if x, found := o.Find(s.From); found && (!ok || x.Epoch >= r.Epoch) {
			r, ok = x, true
		}

		if !ok {
			continue
		}

		r.Span = s
		next.Ranges = appendJoined(next.Ranges, r)
	}

	return next
}

// elementary returns the spans between all ends of ranges.
func elementary(lists ...[]Range) []Span {
	starts := []int{0, Keys}

	for _, list := range lists {
		for _, r := range list {
			starts = append(starts, r.From, r.To+1)
		}
	}

	slices.Sort(starts)
	starts = slices.Compact(starts)
	spans := make([]Span, 0, len(starts)-1)

	for i := 1; i < len(starts); i++ {
		spans = append(spans, Span{starts[i-1], starts[i] - 1})
	}

	return spans
}

// appendJoined appends a range, or extends the last one if r is its continuation.
func appendJoined(ranges []Range, r Range) []Range {
	n := len(ranges)
	if n == 0 || ranges[n-1].To+1 != r.From {
		return append(ranges, r)
	}

	extended := ranges[n-1]
	extended.To = r.To

	if r.From = extended.From; r != extended {
		r.From = ranges[n-1].To + 1

		return append(ranges, r)
	}

	ranges[n-1] = extended

	return ranges
}

// Merged returns the spans in order, with adjacent and overlapping ones joined.
func Merged(spans []Span) []Span {
	sorted := slices.SortedFunc(slices.Values(spans), func(a, b Span) int { return a.From - b.From })

	var merged []Span

	for _, s := range sorted {
		if n := len(merged); n > 0 && merged[n-1].To+1 >= s.From {
			merged[n-1].To = max(merged[n-1].To, s.To)

			continue
		}

		merged = append(merged, s)
	}

	return merged
}

// Split splits a span into n nearly equal spans, or into single keys if it has fewer than n.
func (s Span) Split(n int) []Span {
	size := s.To - s.From + 1
	n = min(n, size)

	parts := make([]Span, 0, n)
	for i := range n {
		parts = append(parts, Span{s.From + size*i/n, s.From + size*(i+1)/n - 1})
	}

	return parts
}
