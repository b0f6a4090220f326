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

// spell is a time in which some of n upstreams are ten times as slow.
type spell struct {
	name    string
	n, slow int
	// use is the share of the capacity that is used before.
	use   float64
	lasts spar.Millis
}

// run returns the calls that arrive in the spell, and the share of second attempts.
func (s spell) run(clock spar.Clock, p policy, seed uint64) ([]*sample, float64) {
	f := newFleet(clock, s.n, func() limiter { return p.limiter(clock) })
	f.picker = p.picker(f, seed)

	if p.hedge {
		f.hedger = pick.NewHedger(clock, 0.95, pick.NewBudget(0.05))
	}

	for _, node := range f.nodes[:s.slow] {
		f.ups[node.ID].slow = func(now spar.Millis) float64 {
			if now < warm {
				return 1
			}

			return 10
		}
	}

	l := load{rate: s.use * capacity * float64(s.n), lasts: warm + s.lasts, deadline: 2000, least: 0.5}
	samples := l.run(clock, seed, f.call)

	return since(samples, warm), float64(f.extra) / float64(len(samples))
}

// TestStragglers guards against a tail that follows slowed upstreams. Pickers are told nothing that the
// backend servers report, so that reports which lag can't mislead them. Bound: p99 at most a third of
// round robin without hedging.
func TestStragglers(t *testing.T) {
	for _, tt := range []spell{
		{"2 of 6, 40 % used", 6, 2, 0.4, 4000},
		{"2 of 6, 8 % used", 6, 2, 0.08, 20_000},
		{"1 of 3, 30 % used", 3, 1, 0.3, 8000},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			for seed := range uint64(*seedCount) {
				var base float64

				for i, p := range policies {
					bubble(t, func(clock spar.Clock) {
						samples, extra := tt.run(clock, p, seed)

						p99 := quantile(samples, 0.99)
						if i == 0 {
							base = p99
						}

						t.Logf("seed %d %-20s p50 %6.1f p99 %6.1f p99.9 %6.1f ms, p99 ratio %.3f, refused or late %d of %d, hedged %.3f",
							seed, p.name, quantile(samples, 0.5), p99, quantile(samples, 0.999), p99/base,
							len(samples)-completed(samples), len(samples), extra)
						// The reserve of the budget comes on top of its share.
						qt.Check(t, extra <= 0.05+10/float64(len(samples)), qt.IsTrue)
						qt.Check(t, i < 2 || p99 <= base/3, qt.IsTrue, qt.Commentf("%s, seed %d", p.name, seed))
					})
				}
			}
		})
	}
}
