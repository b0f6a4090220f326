package pick_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/pick"
)

type policy struct {
	name    string
	limiter func(spar.Clock) limiter
	picker  func(f *fleet, seed uint64) pick.Picker
	hedge   bool
}

func robin(*fleet, uint64) pick.Picker { return pick.NewRobin() }

func twoChoices(f *fleet, seed uint64) pick.Picker { return choices(f.clock, 0.34, seed) }

var policies = []policy{
	{"round robin", fixed, robin, false},
	{"round robin, hedged", fixed, robin, true},
	{"two choices", adaptive, twoChoices, false},
	{"two choices, hedged", adaptive, twoChoices, true},
}

// measure returns the latencies of calls that arrive after the first slow of n upstreams turned ten
// times as slow, and the share of second attempts.
func measure(clock spar.Clock, p policy, n, slow int, use float64, seed uint64) ([]sample, float64) {
	f := newFleet(clock, n, func() limiter { return p.limiter(clock) })
	f.picker = p.picker(f, seed)

	if p.hedge {
		f.hedger = pick.NewHedger(clock, 0.95, pick.NewBudget(0.05))
	}

	const faulty spar.Millis = 4000

	for _, node := range f.nodes[:slow] {
		f.ups[node.ID].slow = func(now spar.Millis) float64 {
			if now < warm {
				return 1
			}

			return 10
		}
	}

	l := load{rate: use * capacity * float64(n), lasts: warm + faulty, deadline: 2000, least: 0.5}
	samples := l.run(clock, seed, f.call)

	return since(samples, warm), float64(f.extra) / float64(len(samples))
}

// TestStragglers guards against a tail that follows slowed upstreams. Pickers are told nothing that the
// backend servers report, so that reports which lag can't mislead them. Bound: p99 at most a third of
// round robin without hedging.
func TestStragglers(t *testing.T) {
	for _, tt := range []struct {
		name    string
		n, slow int
		use     float64
	}{
		{"2 of 6, 40 % used", 6, 2, 0.4},
		{"2 of 6, 8 % used", 6, 2, 0.08},
		{"1 of 3, 30 % used", 3, 1, 0.3},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			c := qt.New(t)

			for seed := range uint64(*seedCount) {
				var base float64

				for i, p := range policies {
					var (
						samples []sample
						extra   float64
					)

					bubble(t, func(clock spar.Clock) { samples, extra = measure(clock, p, tt.n, tt.slow, tt.use, seed) })

					p99 := quantile(samples, 0.99)
					if i == 0 {
						base = p99
					}

					t.Logf("seed %d %-26s p50 %6.1f p99 %6.1f p99.9 %6.1f ms, p99 ratio %.3f, refused or late %d of %d, hedged %.3f",
						seed, p.name, quantile(samples, 0.5), p99, quantile(samples, 0.999), p99/base,
						len(samples)-completed(samples), len(samples), extra)
					c.Check(extra <= 0.05+0.01, qt.IsTrue)

					if i >= 2 {
						c.Check(p99 <= base/3, qt.IsTrue, qt.Commentf("%s, seed %d", p.name, seed))
					}
				}
			}
		})
	}
}
