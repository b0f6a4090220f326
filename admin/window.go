package admin

import (
	"slices"
	"strings"

	spar "sardinespar.example/spar"
)

// windowSpan is the pause between two samples; recent refusals are those of one to two spans.
const windowSpan spar.Millis = 10_000

// Count is a number with its label.
type Count struct {
	Label string `json:"label"`
	Count int64  `json:"count"`
}

// Counts returns counts by label in the order of the labels.
func Counts(of map[string]int64) []Count {
	list := make([]Count, 0, len(of))
	for label, n := range of {
		list = append(list, Count{Label: label, Count: n})
	}

	slices.SortFunc(list, func(a, b Count) int { return strings.Compare(a.Label, b.Label) })

	return list
}

// window keeps two samples of counters that only grow.
type window struct {
	older, newer []Count
	at           spar.Millis
}

// sample takes a sample if the newest one is a span old.
func (s *Service) sample() {
	refusals := s.Report().Refusals

	s.mu.Lock()
	defer s.mu.Unlock()

	if now := s.Clock.Now(); s.window.newer == nil || now-s.window.at >= windowSpan {
		s.window = window{older: s.window.newer, newer: refusals, at: now}
	}
}

// recent returns how much the counters grew since the older sample.
func (s *Service) recent(now []Count) []Count {
	s.mu.Lock()
	defer s.mu.Unlock()

	var grown []Count

	for _, c := range now {
		for _, o := range s.window.older {
			if o.Label == c.Label {
				c.Count -= o.Count
			}
		}

		if c.Count > 0 {
			grown = append(grown, c)
		}
	}

	return grown
}
