package admin

import (
	"slices"
	"strings"

	spar "sardinespar.example/spar"
)

// sampleInterval is the time between two samples of the refusal counters. Recent refusals are those
// since the older sample, which is one to two intervals old.
const sampleInterval spar.Millis = 10_000

// Count is the value of a counter with its label.
type Count struct {
	Label string `json:"label"`
	Count int64  `json:"count"`
}

// Counts returns the counters of a map sorted by label.
func Counts(counts map[string]int64) []Count {
	sorted := make([]Count, 0, len(counts))
	for label, n := range counts {
		sorted = append(sorted, Count{Label: label, Count: n})
	}

	slices.SortFunc(sorted, func(a, b Count) int { return strings.Compare(a.Label, b.Label) })

	return sorted
}

// window holds the last two samples of counters that never decrease, and the time at which the newer one was
// taken.
type window struct {
	older, newer []Count
	at           spar.Millis
}

// sampleRefusals takes a sample if the newest one is at least sampleInterval old.
func (s *Service) sampleRefusals() {
	refusals := s.Report().Refusals

	s.mu.Lock()
	defer s.mu.Unlock()

	if now := s.Clock.Now(); s.window.newer == nil || now-s.window.at >= sampleInterval {
		s.window = window{older: s.window.newer, newer: refusals, at: now}
	}
}

// recentRefusals returns the increase of each counter since the older sample, without those that did
// not increase.
func (s *Service) recentRefusals(counts []Count) []Count {
	s.mu.Lock()
	defer s.mu.Unlock()

	var increases []Count

	for _, c := range counts {
		for _, o := range s.window.older {
			if o.Label == c.Label {
				c.Count -= o.Count
			}
		}

		if c.Count > 0 {
			increases = append(increases, c)
		}
	}

	return increases
}
