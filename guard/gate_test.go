package guard_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
)

var service = spar.Service{Name: "s", Mode: spar.ModeKeyed, Slots: 4}

// importRecorder records the data of its imports.
type importRecorder struct {
	guard.NoRecords

	imported []string
}

func (r *importRecorder) Import(_ string, _ spar.Slot, _ spar.Epoch, data json.RawMessage) error {
	r.imported = append(r.imported, string(data))

	return nil
}

// newGate returns a gate for slot 1 under assignment a, and a function that publishes another assignment.
func newGate(records guard.Records, a spar.Assignment) (*guard.Gate, func(spar.Assignment)) {
	replica := fleet.NewReplica()
	revision := spar.Revision(1)
	publish := func(a spar.Assignment) {
		revision++
		g := spar.NewSegment(service, 0).WithAssignment(1, a)
		replica.Merge([]spar.Row{{Key: fleet.SegmentKey("s", 0), Value: fleet.Encode(g), Revision: revision}}, 0)
	}

	replica.Merge([]spar.Row{{Key: fleet.ServiceKey("s"), Value: fleet.Encode(service), Revision: 1}}, 0)
	publish(a)

	return guard.NewGate(func() spar.NodeID { return "me" }, replica, spar.RuntimeClock(), records), publish
}

func newCall() spar.Call {
	return spar.Call{Service: service, Slot: 1, Deadline: 10_000}
}

// Guards against calls that are admitted while their slot is held, and calls that wait longer than 2 s.
func TestHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := quicktest.New(t)
		g, publish := newGate(guard.NoRecords{}, spar.Assignment{Owner: "me", Epoch: 1, Base: 1})

		leave, _, ok := g.Enter(context.Background(), newCall())
		c.Assert(ok, quicktest.IsTrue)

		h, _ := g.Hold("s", 1)
		_, again := g.Hold("s", 1)
		c.Assert(again, quicktest.IsFalse)

		began := time.Now()
		_, a, ok := g.Enter(context.Background(), newCall())
		c.Assert(ok, quicktest.IsFalse)
		c.Assert(a.Reason, quicktest.Equals, spar.ReasonMoved)
		c.Assert(time.Since(began), quicktest.Equals, 2*time.Second)

		select {
		case <-h.Idle():
			t.Fatal("idle with a call in flight")
		default:
		}

		leave()
		<-h.Idle()

		time.AfterFunc(100*time.Millisecond, func() {
			publish(spar.Assignment{Owner: "other", Epoch: 2, Base: 1})
			h.Release()
		})

		_, a, ok = g.Enter(context.Background(), newCall())
		c.Assert(ok, quicktest.IsFalse)
		c.Assert(a.Outcome, quicktest.Equals, spar.OutcomeNotRun)
		c.Assert(a.Reason, quicktest.Equals, spar.ReasonMoved)
	})
}

// Guards against a new owner that admits calls without the records of its epoch, or with the records of a delayed
// message of an earlier attempt.
func TestStagedRecords(t *testing.T) {
	c := quicktest.New(t)
	records := &importRecorder{}
	g, publish := newGate(records, spar.Assignment{Owner: "other", Epoch: 1, Base: 1})
	stage := func(epoch spar.Epoch, attempt int64, data string) {
		g.Stage(guard.StagedRecords{
			Service: "s", Slot: 1, Epoch: epoch, From: "other", Attempt: attempt, Data: json.RawMessage(data),
		})
	}

	stage(2, 2, "new")
	stage(2, 1, "old")
	publish(spar.Assignment{Owner: "me", Epoch: 2, Base: 1})

	_, _, ok := g.Enter(context.Background(), newCall())
	c.Assert(ok, quicktest.IsTrue)

	stage(2, 3, "late")
	publish(spar.Assignment{Owner: "me", Epoch: 4, Base: 1})

	_, a, ok := g.Enter(context.Background(), newCall())
	c.Assert(ok, quicktest.IsFalse)
	c.Assert(a.Reason, quicktest.Equals, spar.ReasonNotOwner)

	publish(spar.Assignment{Owner: "me", Epoch: 5, Base: 5})

	_, _, ok = g.Enter(context.Background(), newCall())
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(records.imported, quicktest.DeepEquals, []string{"new"})
}
