package entry_test

import (
	"math"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/rules"
)

// Guards against probabilities shown to operators that differ from the choices of real requests, by either method, and
// against asking for them changing the statistics on which the choices are based. Some candidates cost the same.
func TestProbabilitiesAgreeWithChoices(t *testing.T) {
	const (
		draws     = 30_000
		tolerance = 0.02
		now       = spar.Millis(1000)
	)

	for n := 1; n <= 6; n++ {
		tracker, list := entry.NewTracker(), make([]entry.Candidate, n)

		for i := range list {
			list[i] = entry.Candidate{
				Node: strconv.Itoa(i), SameZone: i%2 == 0, LoadAt: now - 10,
				Load: gate.Load{Slots: slots, Running: i / 2, MeanServiceTime: work},
			}
		}

		tracker.Begin(list[0].Node)

		// Spread resets the requests sent since the report that it sees first, so a repeated question must not.
		spread := entry.SpreadProbabilities(tracker, list, rules.Safe, now)
		qt.Assert(t, entry.SpreadProbabilities(tracker, list, rules.Safe, now), qt.DeepEquals, spread)

		sample := entry.SampleProbabilities(tracker, list, rules.Safe)
		byBest, bySpread := map[string]float64{}, map[string]float64{}

		for range draws {
			c, _ := tracker.Best(list, rules.Safe, nil, now)
			byBest[c.Node] += 1.0 / draws
			c, _ = tracker.Spread(list, rules.Safe, nil, now)
			bySpread[c.Node] += 1.0 / draws
		}

		for i, c := range list {
			qt.Check(t, math.Abs(sample[i]-byBest[c.Node]) < tolerance, qt.IsTrue,
				qt.Commentf("%d of %d: %v, chosen %v", i, n, sample[i], byBest[c.Node]))
			qt.Check(t, math.Abs(spread[i]-bySpread[c.Node]) < tolerance, qt.IsTrue,
				qt.Commentf("%d of %d by spread: %v, chosen %v", i, n, spread[i], bySpread[c.Node]))
		}
	}
}
