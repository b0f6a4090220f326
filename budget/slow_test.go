package budget_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/budget"
)

// Guards against a client that was idle, and whose new request is taken for one that it has been sending since an
// earlier shortage, and against one that is never slow although it is found receiving all the time.
func TestSlowIsCountedFromRecentSearches(t *testing.T) {
	const slowTime spar.Millis = 5000

	type found struct {
		at        spar.Millis
		receiving bool
		requests  int64
		slow      bool
	}

	for name, searches := range map[string][]found{
		"receiving":          {{0, true, 1, false}, {3000, true, 1, false}, {5000, true, 1, true}},
		"other request":      {{0, true, 1, false}, {3000, true, 2, false}, {5000, true, 2, false}, {8000, true, 2, true}},
		"stalled or running": {{0, true, 1, false}, {3000, false, 1, false}, {5000, true, 1, false}},
		"idle for 20 s": {
			{0, true, 1, false}, {20_000, true, 1, false}, {24_900, true, 1, false}, {25_000, true, 1, true},
		},
	} {
		var p budget.Progress

		for _, s := range searches {
			qt.Check(t, p.IsSlow(s.receiving, s.requests, s.at, slowTime), qt.Equals, s.slow,
				qt.Commentf("%s at %v", name, s.at))
		}
	}
}
