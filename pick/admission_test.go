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

// warmedUpAt is the time after a start at which the adaptive limiter has reached the capacity.
const warmedUpAt spar.Millis = 7000

// compareLimiters measures an upstream with the adaptive limiter and with the fixed one, which is the
// baseline. It checks that the figure of the adaptive limiter is within the bound and that the baseline's is
// not.
func compareLimiters(
	t *testing.T, measure func(u *upstream, seed uint64) (float64, string), withinBound func(figure, base float64) bool,
) {
	t.Parallel()

	for seed := range uint64(*seedCount) {
		var figure, base float64

		run := func(name string, figure *float64, l func(spar.Clock) limiter) {
			runInBubble(t, func(clock spar.Clock) {
				var note string

				*figure, note = measure(newUpstream(clock, l(clock)), seed)
				t.Logf("seed %d %-8s %.3f %s", seed, name, *figure, note)
			})
		}
		run("fixed", &base, newFixed)
		run("adaptive", &figure, newAdaptive)
		qt.Check(t, withinBound(figure, base), qt.IsTrue, qt.Commentf("seed %d", seed))
		qt.Check(t, withinBound(base, base), qt.IsFalse, qt.Commentf("the baseline passes; seed %d", seed))
	}
}

// goodput returns a function that measures the goodput after the start as a share of the capacity. It checks
// that no call is shed while a permit is free.
func goodput(t *testing.T, utilization, minWork float64) func(u *upstream, seed uint64) (float64, string) {
	return func(u *upstream, seed uint64) (float64, string) {
		falseSheds := 0
		call := func(ctx context.Context, c spar.Call, w spar.Millis) spar.Answer {
			before := u.limiter.Load()
			a := u.serve(ctx, c, w)

			if a.Reason == spar.ReasonShed && before.InFlight < before.Limit {
				u.mu.Lock()
				falseSheds++
				u.mu.Unlock()
			}

			return a
		}
		samples := arrivedSince(load{
			rate: utilization * capacity, duration: warmedUpAt + 10_000, deadline: 200, minWork: minWork,
		}.run(u.clock, seed, call), warmedUpAt)

		qt.Check(t, falseSheds, qt.Equals, 0, qt.Commentf("shed with a free permit; seed %d", seed))

		return float64(completed(samples)) / 10 / capacity,
			fmt.Sprintf("of capacity, p99 %.0f ms, of %d calls", quantile(samples, 0.99), len(samples))
	}
}

// TestGoodputUnderOverload guards against work on calls that miss their deadline, and against wrong refusals.
// The bound is a goodput of 90 % of the capacity when calls arrive at twice the capacity.
func TestGoodputUnderOverload(t *testing.T) {
	compareLimiters(t, goodput(t, 2, 0.5), func(figure, _ float64) bool { return figure >= 0.9 })
}

// TestExponentialServiceTimes guards against a limit that stays small, and against the refusals that follow,
// when service times are exponential. The fixed limiter passes as well: the rest of such a call that a deadline
// cuts off is as long as a new call on average, so that late starts waste nothing.
func TestExponentialServiceTimes(t *testing.T) {
	for seed := range uint64(*seedCount) {
		for _, utilization := range []float64{0.5, 2} {
			runInBubble(t, func(clock spar.Clock) {
				good, note := goodput(t, utilization, 0)(newUpstream(clock, newAdaptive(clock)), seed)
				t.Logf("seed %d utilization %.1f %.3f %s", seed, utilization, good, note)
				// The number of random arrivals in 10 s varies by some 2 %.
				qt.Check(t, good >= min(0.95*utilization, 0.9), qt.IsTrue,
					qt.Commentf("seed %d, utilization %.1f", seed, utilization))
			})
		}
	}
}

// TestHotKeyDoesNotDelayOthers guards against one key with half of the traffic (as for the holiday Tabaski) that
// makes the other keys wait. The load of the others is below their fair share of the capacity, so their p99 must be
// at most a third of the p99 with the fixed limiter, which admits in order of arrival.
func TestHotKeyDoesNotDelayOthers(t *testing.T) {
	key := func(r *rand.Rand) string {
		if r.IntN(2) == 0 {
			return "hot"
		}

		return strconv.Itoa(r.IntN(200))
	}

	compareLimiters(t, func(u *upstream, seed uint64) (float64, string) {
		l := load{rate: 1.2 * capacity, duration: warmedUpAt + 8000, deadline: 1000, key: key, minWork: 0.5}

		all := arrivedSince(l.run(u.clock, seed, u.serve), warmedUpAt)
		rest := filter(all, func(s *sample) bool { return s.key != "hot" })

		return quantile(rest, 0.99), fmt.Sprintf("ms p99 of other keys, refused or late %d of %d; all: %d of %d",
			len(rest)-completed(rest), len(rest), len(all)-completed(all), len(all))
	}, func(figure, base float64) bool { return figure <= base/3 })
}

// TestColdServerIsNotOverloaded guards against more concurrent calls than a cold server can handle. When the server
// becomes cold, it is five times as slow and can handle two calls at once; both figures return to normal within
// 5 s. After an announced start, the capacity must never be exceeded. An unannounced change shows only in the
// latency: calls in flight can't be recalled, the first window of slow answers must be complete, and latencies less
// than a quarter above normal are within the variation of the windows. So the bound holds from 1 s after the change
// until the latency is less than a quarter above normal.
func TestColdServerIsNotOverloaded(t *testing.T) {
	for _, tt := range []struct {
		name      string
		at, grace spar.Millis
		shown     float64
	}{{"announced", 0, 0, 1}, {"unannounced", 8000, 1000, 1.25}} {
		t.Run(tt.name, func(t *testing.T) {
			compareLimiters(t, func(u *upstream, seed uint64) (float64, string) {
				warmth := func(now spar.Millis) float64 {
					if now < tt.at {
						return 1
					}

					return min(1, float64((now-tt.at)/5000))
				}
				u.slowFactor = func(now spar.Millis) float64 { return 5 - 4*warmth(now) }
				u.canHandle = func(now spar.Millis) float64 {
					if now < tt.at+tt.grace || u.slowFactor(now) < tt.shown {
						return 1000
					}

					return 2 + (slots-2)*warmth(now)
				}
				l := load{rate: capacity, duration: tt.at + 8000, deadline: 500, minWork: 0.5}
				samples := arrivedSince(l.run(u.clock, seed, u.serve), tt.at)

				return u.peakLoad, fmt.Sprintf("max in flight as a share of what the server can handle, completed %d of %d",
					completed(samples), len(samples))
			}, func(figure, _ float64) bool { return figure <= 1 })
		})
	}
}

// TestLimitRecoversAfterSlowPeriod guards against a limit that stays small after its cause has ended: within 1 s
// after a slow period the limit is back at the capacity, although growth after a start takes 6 s.
func TestLimitRecoversAfterSlowPeriod(t *testing.T) {
	runInBubble(t, func(clock spar.Clock) {
		u := newUpstream(clock, newAdaptive(clock))
		u.slowFactor = func(now spar.Millis) float64 {
			if now > 8000 && now < 10_000 {
				return 10
			}

			return 1
		}
		l := load{rate: 0.8 * capacity, deadline: 500, minWork: 0.5, duration: 9500}
		l.run(clock, 1, u.serve)

		slow := u.limiter.Load().Limit
		l.duration = 1500
		l.run(clock, 2, u.serve)

		t.Logf("limit %d in the slow period, %d 1 s after it", slow, u.limiter.Load().Limit)
		qt.Check(t, slow < slots, qt.IsTrue)
		qt.Check(t, u.limiter.Load().Limit, qt.Equals, slots)
	})
}
