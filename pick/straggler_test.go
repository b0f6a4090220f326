package pick_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/pick"
)

// setup is a combination of limiter, picker and hedging.
type setup struct {
	name    string
	limiter func(spar.Clock) limiter
	picker  func(f *fleet, seed uint64) pick.Picker
	hedge   bool
}

func newRoundRobin(*fleet, uint64) pick.Picker { return pick.NewRoundRobin() }

func newTwoChoicesPicker(f *fleet, seed uint64) pick.Picker {
	return newTwoChoices(f.clock, 0.34, seed)
}

var setups = []setup{
	{"round robin", newFixed, newRoundRobin, false},
	{"round robin, hedged", newFixed, newRoundRobin, true},
	{"two choices", newAdaptive, newTwoChoicesPicker, false},
	{"two choices, hedged", newAdaptive, newTwoChoicesPicker, true},
}

// slowPeriod is a period after the warm-up in which slowCount of n upstreams are ten times as slow.
type slowPeriod struct {
	name         string
	n, slowCount int
	// utilization is the offered load as a share of the capacity without slow upstreams.
	utilization float64
	duration    spar.Millis
}

// run returns the calls that arrive in the slow period, and the number of second attempts as a share of all
// calls.
func (s slowPeriod) run(clock spar.Clock, su setup, seed uint64) ([]*sample, float64) {
	f := newFleet(clock, s.n, func() limiter { return su.limiter(clock) })
	f.picker = su.picker(f, seed)

	if su.hedge {
		f.hedger = pick.NewHedger(clock, 0.95, pick.NewBudget(0.05))
	}

	for _, node := range f.nodes[:s.slowCount] {
		f.upstreams[node.ID].slowFactor = func(now spar.Millis) float64 {
			if now < warmedUpAt {
				return 1
			}

			return 10
		}
	}

	l := load{
		rate: s.utilization * capacity * float64(s.n), duration: warmedUpAt + s.duration, deadline: 2000, minWork: 0.5,
	}
	samples := l.run(clock, seed, f.call)

	return arrivedSince(samples, warmedUpAt), float64(f.secondAttempts) / float64(len(samples))
}

// TestTailLatencyWithStragglers guards against a tail latency that is determined by slow upstreams. Pickers get
// nothing that the backend servers report about themselves, so that outdated reports can't mislead them. The
// bound is a p99 of at most a third of that of round robin without hedging.
func TestTailLatencyWithStragglers(t *testing.T) {
	for _, tt := range []slowPeriod{
		{"2 of 6, 40 % used", 6, 2, 0.4, 4000},
		{"2 of 6, 8 % used", 6, 2, 0.08, 20_000},
		{"1 of 3, 30 % used", 3, 1, 0.3, 8000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			for seed := range uint64(*seedCount) {
				var base float64

				for i, su := range setups {
					runInBubble(t, func(clock spar.Clock) {
						samples, extra := tt.run(clock, su, seed)

						p99 := quantile(samples, 0.99)
						if i == 0 {
							base = p99
						}

						t.Logf("seed %d %-20s p50 %6.1f p99 %6.1f p99.9 %6.1f ms, p99 ratio %.3f, refused or late %d of %d, hedged %.3f",
							seed, su.name, quantile(samples, 0.5), p99, quantile(samples, 0.999), p99/base,
							len(samples)-completed(samples), len(samples), extra)
						// The budget allows its reserve of 10 in addition to its share.
						qt.Check(t, extra <= 0.05+10/float64(len(samples)), qt.IsTrue)
						qt.Check(t, i < 2 || p99 <= base/3, qt.IsTrue, qt.Commentf("%s, seed %d", su.name, seed))
					})
				}
			}
		})
	}
}
