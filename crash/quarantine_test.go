package crash_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/fleet"
)

// discard is a recorder that keeps no events.
type discard struct{}

func (discard) Record(spar.Event) {}

// Guards against a crash that is lost because the time of day has gone back since the suspicion of an earlier one was
// lifted.
func TestCrashAfterClockStep(t *testing.T) {
	c := qt.New(t)
	clock := &timeOfDay{now: hour}
	self := func() spar.NodeID { return "vm-1.1" }
	q := crash.New(self, fleet.NewReplica(), nil, nil, spar.RuntimeClock(), clock.unixMillis, discard{})
	call := spar.Call{Service: spar.Service{Name: "s"}, Method: "GET", URI: "/a", Idempotent: true}

	q.RecordCrash(t.Context(), call)
	c.Check(q.State(call), qt.Equals, crash.StateSuspected)
	q.ClearSuspicion(call)
	c.Check(q.State(call), qt.Equals, crash.StateFree)

	clock.now -= 2 * second
	q.RecordCrash(t.Context(), call)
	c.Check(q.State(call), qt.Equals, crash.StateSuspected)
}
