package admin_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/preset"
)

const dayFile = "[department d]\nservice = desk\nobjective = churn_slots_per_hour\ntarget = 1\n"

// TestStatusReportsNodes guards against a status without the nodes that lag, can't be reached or are
// lost, and against an explanation that names another owner than the table.
func TestStatusReportsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(4, "a", "b")
		w.addService(8)

		defer w.close()

		made, err := call[admin.PresetCreateResult](w, 0, admin.MethodPresetCreate,
			admin.PresetCreateParams{Name: "day", Text: dayFile, By: "ann", Op: "1"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, made.Preset.ID(), qt.Equals, "day/1")

		// VM 3 is cut off from the table and all other VMs; VM 2 is lost.
		for _, to := range []int{tableIndex, 0, 1, 2} {
			w.setPartitioned(3, to, true)
		}

		w.vms[2].halt()

		forced, err := call[change.Result](w, 0, admin.MethodPresetForce,
			preset.ActivateParams{Name: "day", Version: 1, By: "ann", Op: "2"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, forced.Verdict, qt.Equals, change.Accepted)
		time.Sleep(settleTime)

		st, err := call[admin.Status](w, 0, admin.MethodStatus, admin.Empty{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, st.InForce.Generation, qt.Equals, int64(1))
		qt.Assert(t, st.Lost, qt.DeepEquals, []spar.NodeID{"vm2.1"})
		qt.Assert(t, st.Nodes, qt.HasLen, 3)
		qt.Assert(t, st.Nodes[2].Reached, qt.IsFalse)
		qt.Assert(t, st.Nodes[0].Owned, qt.Equals, 2)

		// VM 3 answers VM 0 again, but does not have the preset yet.
		w.setPartitioned(0, 3, false)

		status, err := call[admin.ActivationStatus](w, 0, admin.MethodActivationStatus, admin.Empty{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, status.Lagging, qt.DeepEquals, []spar.NodeID{"vm3.1"})

		e, err := call[admin.ExplainResult](w, 0, admin.MethodExplain, admin.ExplainParams{Key: "k"})
		qt.Assert(t, err, qt.IsNil)

		owner := w.vms[int(e.Explanations[0].Slot)%4].id()
		qt.Assert(t, e.Explanations[0].Assignment, qt.Equals, spar.Assignment{Owner: owner, Epoch: 3, Base: 2})
		w.vms[2].boot([]spar.Zone{"a", "b"})
	})
}

// TestRollback guards against a rollback to the preset that is already in force, if that was put in force
// twice, and against a second effect of a rollback that is sent again.
func TestRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(2)
		time.Sleep(settleTime)

		defer w.close()

		for _, name := range []string{"day", "peak"} {
			_, err := call[admin.PresetCreateResult](w, 0, admin.MethodPresetCreate,
				admin.PresetCreateParams{Name: name, Text: dayFile, By: "ann", Op: name})
			qt.Assert(t, err, qt.IsNil)
		}

		for i, name := range []string{"day", "peak", "peak"} {
			r, err := call[change.Result](w, i%2, admin.MethodPresetForce,
				preset.ActivateParams{Name: name, Version: 1, Seen: int64(i), By: "ann", Op: name + string(rune('0'+i))})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Generation, qt.Equals, int64(i+1))
		}

		for range 2 {
			r, err := call[change.Result](w, 1, admin.MethodPresetRollback, admin.RollbackParams{Seen: 3, By: "ann", Op: "back"})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Verdict, qt.Equals, change.Accepted)
			qt.Assert(t, r.Generation, qt.Equals, int64(4))
		}

		a, _ := w.generation(4)
		qt.Assert(t, a.ID(), qt.Equals, "day/1")
		qt.Assert(t, w.lastGeneration(), qt.Equals, int64(4))
	})
}

// TestTimelineAcrossNodes guards against missing or wrongly ordered events of other nodes, and against
// limits that drop newer events or drop older ones without naming the node.
func TestTimelineAcrossNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(3)
		time.Sleep(settleTime)

		defer w.close()

		slot := spar.Slot(1)
		w.vms[0].ring.Record(spar.Event{Kind: spar.EventMoveBegun, Service: "desk", Slot: &slot, Peer: "vm1.1"})
		w.vms[0].sync.Push(context.Background(), w.vms[0].id(), nil)
		w.vms[1].ring.Record(spar.Event{Kind: spar.EventMoved, Service: "desk", Slot: &slot})

		r, err := call[admin.EventsResult](w, 2, admin.MethodEvents,
			admin.EventsParams{Filter: event.Filter{Service: "desk", Slot: &slot}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Missing, qt.HasLen, 0)
		qt.Assert(t, r.Events, qt.HasLen, 2)
		qt.Assert(t, r.Events[0].Kind, qt.Equals, spar.EventMoveBegun)

		r, err = call[admin.EventsResult](w, 2, admin.MethodEvents,
			admin.EventsParams{Filter: event.Filter{Service: "desk", Newest: 1}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Events, qt.HasLen, 1)
		qt.Assert(t, r.Events[0].Kind, qt.Equals, spar.EventMoved)

		for i := range 20 {
			w.vms[0].ring.Record(spar.Event{Kind: spar.EventShed, Service: "desk", Detail: strconv.Itoa(i)})
		}

		r, err = call[admin.EventsResult](w, 2, admin.MethodEvents,
			admin.EventsParams{Filter: event.Filter{Service: "desk", Newest: 5}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Events, qt.HasLen, 5)
		qt.Assert(t, r.Events[4].Detail, qt.Equals, "19")
		qt.Assert(t, r.Truncated, qt.DeepEquals, []spar.NodeID{"vm0.1"})

		st, err := call[admin.Status](w, 2, admin.MethodStatus, admin.Empty{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, st.Nodes[0].Report.Moving, qt.HasLen, 1)
	})
}

// TestQuarantineLift guards against a lift that is sent again and also lifts a later quarantine of the same
// request.
func TestQuarantineLift(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(2)
		time.Sleep(settleTime)

		defer w.close()

		ahead := time.Now().UnixMilli() + 5000
		write := func() spar.Revision {
			return w.apply(context.Background(), spar.Txn{Writes: []spar.Write{{
				Key: fleet.PrefixQuarantine + "f",
				Value: fleet.Encode(spar.Quarantine{
					Fingerprint: "f", Path: "/desk/x", ChangedMs: ahead,
					UntilMs: time.Now().UnixMilli() + 60_000, Victims: []spar.NodeID{"vm1.1"},
				}),
			}}}).Revision
		}
		first := write()
		w.setFaults(false, 1, 0)

		lift := admin.QuarantineLiftParams{Fingerprint: "f", Revision: first, By: "ann", Op: "lift"}
		r, err := call[change.Result](w, 0, admin.MethodQuarantineLift, lift)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Verdict, qt.Equals, change.Accepted)

		list, err := call[admin.QuarantinesResult](w, 1, admin.MethodQuarantines, admin.Empty{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, list.Quarantines[0].Active, qt.IsFalse)
		qt.Assert(t, list.Quarantines[0].Path, qt.Equals, "/desk/x")
		qt.Assert(t, list.Quarantines[0].ChangedMs, qt.Equals, ahead+1)
		qt.Assert(t, list.Quarantines[0].Victims, qt.HasLen, 0)

		write()

		r, err = call[change.Result](w, 1, admin.MethodQuarantineLift, lift)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Verdict, qt.Equals, change.Unknown)

		list, err = call[admin.QuarantinesResult](w, 1, admin.MethodQuarantines, admin.Empty{})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, list.Quarantines[0].Active, qt.IsTrue)
	})
}
