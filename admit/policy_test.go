package admit_test

import (
	"context"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
)

// TestPolicyFixesLimit guards against a limiter that ignores a preset, and against a limit that stays at the
// capacity after the preset no longer fixes it there.
func TestPolicyFixesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := spar.RuntimeClock()
		a := admit.NewAdaptive(clock, admit.Settings{
			StartLimit: 2, Warmup: 6000, SlowRatio: 2, MaxQueue: 10,
		}, discardEvents{})
		a.Reset(spar.Capacity{Slots: 10, Conns: 130})
		qt.Assert(t, a.Load().Limit, qt.Equals, 2)

		a.SetPolicy(true, 0)
		qt.Assert(t, a.Load().Limit, qt.Equals, 10)

		call := spar.Call{Key: "k", Deadline: clock.Now() + 1000}
		for range 10 {
			_, reason := a.Acquire(context.Background(), call)
			qt.Assert(t, reason, qt.Equals, spar.ReasonNone)
		}

		_, reason := a.Acquire(context.Background(), call)
		qt.Assert(t, reason, qt.Equals, spar.ReasonShed)

		a.SetPolicy(false, 10)
		qt.Assert(t, a.Load().Limit, qt.Equals, 2)
	})
}

type discardEvents struct{}

func (discardEvents) Record(spar.Event) {}
