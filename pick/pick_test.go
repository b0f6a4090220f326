package pick_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/pick"
)

// TestNeverAllEjected guards against the ejection of all upstreams, or of more than the allowed share, whatever
// the results of their calls are.
func TestNeverAllEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := spar.RuntimeClock()

		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			n := rapid.IntRange(1, 9).Draw(t, "upstreams")
			share := rapid.SampledFrom([]float64{0, 0.34, 0.5, 0.9, 1}).Draw(t, "share")
			p := newTwoChoices(clock, share, 1)
			nodes := newFleet(clock, n, func() limiter { return newFixed(clock) }).nodes

			for range rapid.IntRange(1, 200).Draw(t, "calls") {
				id := p.Pick(nodes, nil).ID
				end := p.Begin(id)

				time.Sleep(time.Duration(rapid.SampledFrom([]int{1, 1, 30, 900}).Draw(t, "took")) * time.Millisecond)
				end(0, rapid.SampledFrom([]pick.Result{pick.ResultAnswered, pick.ResultFailed, pick.ResultCanceled}).Draw(t, "end"))

				if ejected := len(p.Ejected()); ejected >= n || float64(ejected) > share*float64(n) {
					t.Fatalf("%d of %d upstreams ejected at a share of %.2f", ejected, n, share)
				}
			}
		})
	})
}

// TestStragglerReturnsAfterRecovery guards against a straggler that never returns, and against one that gets trial
// calls all the time: the delays between trial calls must grow, and the upstream must return after it has
// recovered.
func TestStragglerReturnsAfterRecovery(t *testing.T) {
	runInBubble(t, func(clock spar.Clock) {
		p := newTwoChoices(clock, 0.34, 1)
		nodes := newFleet(clock, 3, func() limiter { return newFixed(clock) }).nodes

		var trials []spar.Millis

		call := func() {
			id := p.Pick(nodes, nil).ID
			end := p.Begin(id)
			ejected := len(p.Ejected()) > 0

			took := time.Millisecond
			if id == nodes[0].ID && clock.Now() > 5000 && clock.Now() < 25_000 {
				took = 50 * time.Millisecond
			}

			if id == nodes[0].ID && ejected {
				trials = append(trials, clock.Now())
			}

			time.Sleep(took)
			end(0, pick.ResultAnswered)
			time.Sleep(9 * time.Millisecond)
		}

		for clock.Now() < 25_000 {
			call()
		}

		qt.Check(t, p.Ejected(), qt.DeepEquals, []spar.NodeID{nodes[0].ID})
		qt.Check(t, len(trials) >= 2 && len(trials) <= 5, qt.IsTrue, qt.Commentf("trials at %v", trials))

		for i := 2; i < len(trials); i++ {
			qt.Check(t, trials[i]-trials[i-1] > trials[i-1]-trials[i-2], qt.IsTrue, qt.Commentf("trials at %v", trials))
		}

		for clock.Now() < 60_000 {
			call()
		}

		qt.Check(t, p.Ejected(), qt.HasLen, 0)
	})
}

// TestBudgetIsBounded guards against more extra calls than the share of the calls plus the reserve.
func TestBudgetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.SampledFrom([]float64{0, 0.05, 0.1, 1}).Draw(t, "share")
		b := pick.NewBudget(share)
		earned, spent := 0, 0

		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "earn") {
				b.Earn()
				earned++
			} else if b.Spend() {
				spent++
			}

			reserve := 10.0
			if share == 0 {
				reserve = 0
			}

			if float64(spent) > reserve+share*float64(earned)+1e-9 {
				t.Fatalf("%d extra calls after %d calls", spent, earned)
			}
		}
	})
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestHedgeCancelsLoser guards against a losing attempt that keeps its permit, against a winner that is canceled
// before its body has been read, and against an outcome that hides an attempt which may have run.
func TestHedgeCancelsLoser(t *testing.T) {
	runInBubble(t, func(clock spar.Clock) {
		c := qt.New(t)
		h := pick.NewHedger(clock, 0.95, pick.NewBudget(0.5))
		r := rand.New(rand.NewPCG(1, 1))

		answer := func(took spar.Millis, a spar.Answer) pick.Attempt {
			return func(ctx context.Context) spar.Answer {
				if !clock.Sleep(ctx, took) {
					return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "canceled")
				}

				if a.Outcome == spar.OutcomeCompleted {
					text := strings.NewReader("whole")
					a.Response = &http.Response{Body: io.NopCloser(readerFunc(func(p []byte) (int, error) {
						if ctx.Err() != nil {
							return 0, ctx.Err()
						}

						return text.Read(p)
					}))}
				}

				return a
			}
		}
		done := spar.Answer{Outcome: spar.OutcomeCompleted, Status: http.StatusOK}

		for range 100 {
			h.Do(context.Background(), answer(spar.Millis(10+r.Float64()), done)).Close()
		}

		up := newUpstream(clock, newFixed(clock))

		var attempts atomic.Int64

		a := h.Do(context.Background(), func(ctx context.Context) spar.Answer {
			if attempts.Add(1) == 1 {
				return up.serve(ctx, spar.Call{Deadline: clock.Now() + 9000}, 5000)
			}

			return answer(10, done)(ctx)
		})
		time.Sleep(time.Millisecond)
		c.Check(up.limiter.Load().InFlight, qt.Equals, 0, qt.Commentf("the loser keeps its permit"))

		body, err := io.ReadAll(a.Response.Body)
		c.Check(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "whole")
		a.Close()

		attempts.Store(0)
		a = h.Do(context.Background(), func(ctx context.Context) spar.Answer {
			if attempts.Add(1) == 1 {
				return answer(100, spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, ""))(ctx)
			}

			return answer(200, spar.NotRun(http.StatusTooManyRequests, spar.ReasonShed, ""))(ctx)
		})
		c.Check(attempts.Load(), qt.Equals, int64(2))
		c.Check(a.Outcome, qt.Equals, spar.OutcomeUnknown)
	})
}
