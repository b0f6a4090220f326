package pick_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
)

// warm is when the adaptive limiter has reached the capacity after a start.
const warm spar.Millis = 7000

// compare measures an upstream with the adaptive limiter and with the fixed one, the baseline, and
// checks that the first figure is within the bound and that the baseline's is not.
func compare(
	t *testing.T, measure func(u *upstream, seed uint64) (float64, string), within func(figure, base float64) bool,
) {
	t.Parallel()

	for seed := range uint64(*seedCount) {
		var figure, base float64

		run := func(name string, figure *float64, l func(spar.Clock) limiter) {
			bubble(t, func(clock spar.Clock) {
				var note string

				*figure, note = measure(newUpstream(clock, l(clock)), seed)
				t.Logf("seed %d %-8s %.3f %s", seed, name, *figure, note)
			})
		}
		run("fixed", &base, fixed)
		run("adaptive", &figure, adaptive)
		qt.Check(t, within(figure, base), qt.IsTrue, qt.Commentf("seed %d", seed))
		qt.Check(t, within(base, base), qt.IsFalse, qt.Commentf("the baseline passes; seed %d", seed))
	}
}

// goodput returns the share of the capacity that is completed in time after the start, and checks
// that no call is shed while a permit is free.
func goodput(t *testing.T, use, least float64) func(u *upstream, seed uint64) (float64, string) {
	return func(u *upstream, seed uint64) (float64, string) {
		idle := 0
		call := func(ctx context.Context, c spar.Call, w spar.Millis) spar.Answer {
			before := u.limiter.Load()
			a := u.serve(ctx, c, w)

			if a.Reason == spar.ReasonShed && before.InFlight < before.Limit {
				u.mu.Lock()
				idle++
				u.mu.Unlock()
			}

			return a
		}
		samples := since(load{rate: use * capacity, lasts: warm + 10_000, deadline: 200, least: least}.
			run(u.clock, seed, call), warm)

		qt.Check(t, idle, qt.Equals, 0, qt.Commentf("shed with a free permit; seed %d", seed))

		return float64(completed(samples)) / 10 / capacity,
			fmt.Sprintf("of capacity, p99 %.0f ms, of %d calls", quantile(samples, 0.99), len(samples))
	}
}

// TestOverload guards against work on calls that end too late, and against wrong refusals. Bound: at
// twice the capacity, goodput of 90 % of it.
func TestOverload(t *testing.T) {
	compare(t, goodput(t, 2, 0.5), func(figure, _ float64) bool { return figure >= 0.9 })
}

// TestExponential guards against a limit that stays small, and refusals that follow, where service
// times vary as exponential ones do. The fixed limiter passes: of such a call, the part that a
// deadline cuts off is as long as a new one, so late starts waste nothing.
func TestExponential(t *testing.T) {
	for seed := range uint64(*seedCount) {
		for _, use := range []float64{0.5, 2} {
			bubble(t, func(clock spar.Clock) {
				good, note := goodput(t, use, 0)(newUpstream(clock, adaptive(clock)), seed)
				t.Logf("seed %d use %.1f %.3f %s", seed, use, good, note)
				// Random arrivals in 10 s vary by some 2 %.
				qt.Check(t, good >= min(0.95*use, 0.9), qt.IsTrue, qt.Commentf("seed %d, use %.1f", seed, use))
			})
		}
	}
}

// TestHotKey guards against one key with half of the traffic (Tabaski) that makes the others wait.
// The others' load is under their fair share of the capacity, so their p99 has to stay at most a
// third of the fixed limiter's, which serves in order of arrival.
func TestHotKey(t *testing.T) {
	key := func(r *rand.Rand) string {
		if r.IntN(2) == 0 {
			return "hot"
		}

		return strconv.Itoa(r.IntN(200))
	}

	compare(t, func(u *upstream, seed uint64) (float64, string) {
		l := load{rate: 1.2 * capacity, lasts: warm + 8000, deadline: 1000, key: key, least: 0.5}

		all := since(l.run(u.clock, seed, u.serve), warm)
		rest := where(all, func(s *sample) bool { return s.key != "hot" })

		return quantile(rest, 0.99), fmt.Sprintf("ms p99 of other keys, refused or late %d of %d; all: %d of %d",
			len(rest)-completed(rest), len(rest), len(all)-completed(all), len(all))
	}, func(figure, base float64) bool { return figure <= base/3 })
}

// TestColdStart guards against more calls than a cold server bears: from a turn on it is five times as
// slow and bears two calls at once, and both return to normal within 5 s. Bound: never more after an
// announced start. An unannounced turn shows only in the latency: the calls in flight can't be taken
// back, the first window of slow answers has to come in, and latencies less than a quarter above
// normal are within the spread of the windows. From 1 s on until then it is never more.
func TestColdStart(t *testing.T) {
	for _, tt := range []struct {
		name      string
		at, grace spar.Millis
		shown     float64
	}{{"announced", 0, 0, 1}, {"unannounced", 8000, 1000, 1.25}} {
		t.Run(tt.name, func(t *testing.T) {
			compare(t, func(u *upstream, seed uint64) (float64, string) {
				warmth := func(now spar.Millis) float64 {
					if now < tt.at {
						return 1
					}

					return min(1, float64((now-tt.at)/5000))
				}
				u.slow = func(now spar.Millis) float64 { return 5 - 4*warmth(now) }
				u.bears = func(now spar.Millis) float64 {
					if now < tt.at+tt.grace || u.slow(now) < tt.shown {
						return 1000
					}

					return 2 + (slots-2)*warmth(now)
				}
				l := load{rate: capacity, lasts: tt.at + 8000, deadline: 500, least: 0.5}
				samples := since(l.run(u.clock, seed, u.serve), tt.at)

				return u.most, fmt.Sprintf("most in flight against what it bears, completed %d of %d",
					completed(samples), len(samples))
			}, func(figure, _ float64) bool { return figure <= 1 })
		})
	}
}

// TestRecovery guards against a limit that stays small after the cause is gone: within 1 s of a slow
// spell's end the limit is back, though growth after a start takes 6 s.
func TestRecovery(t *testing.T) {
	bubble(t, func(clock spar.Clock) {
		u := newUpstream(clock, adaptive(clock))
		u.slow = func(now spar.Millis) float64 {
			if now > 8000 && now < 10_000 {
				return 10
			}

			return 1
		}
		l := load{rate: 0.8 * capacity, deadline: 500, least: 0.5, lasts: 9500}
		l.run(clock, 1, u.serve)

		slow := u.limiter.Load().Limit
		l.lasts = 1500
		l.run(clock, 2, u.serve)

		t.Logf("limit %d in the slow spell, %d 1 s after it", slow, u.limiter.Load().Limit)
		qt.Check(t, slow < slots, qt.IsTrue)
		qt.Check(t, u.limiter.Load().Limit, qt.Equals, slots)
	})
}
