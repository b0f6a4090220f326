package drain_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/plan"
)

// rewriteMap withdraws or restores a zone by one change of the whole map: owners neither hold new requests nor wait
// for those in flight. It is the baseline for planned moves.
func (w *world) rewriteMap(zone spar.Zone, withdrawn bool) {
	v := w.tableView()
	zoneRow, _ := v.Row(fleet.ZoneKey(zone))
	next := fleet.NewReplica()
	value := fleet.Encode(spar.Withdrawal{Name: string(zone), Withdrawn: withdrawn})
	next.Merge(append(v.Rows(""), spar.Row{Key: fleet.ZoneKey(zone), Value: value, Revision: 1 << 40}), 0)

	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: fleet.ZoneKey(zone), Revision: zoneRow.Revision}},
		Writes:     []spar.Write{{Key: fleet.ZoneKey(zone), Value: value}},
	}

	for _, s := range v.Services() {
		if s.Mode != spar.ModeKeyed {
			continue
		}

		g := v.Segment(s, 0)
		for _, m := range plan.ProposeMoves(next.View(), s, nil, 0) {
			g.Value = g.Value.WithAssignment(m.Slot, g.Value.At(m.Slot).WithTakeover(m.To))
		}

		key := fleet.SegmentKey(s.Name, 0)
		txn.Conditions = append(txn.Conditions, spar.Condition{Key: key, Revision: g.Revision})
		txn.Writes = append(txn.Writes, spar.Write{Key: key, Value: fleet.Encode(g.Value)})
	}

	w.pushRows(fleet.RowsOf(txn, w.store.Commit(w.ctx, txn).Revision))
}

// passDensePeriod waits for 2 s and ends the dense traffic after the first 0.4 s.
func (w *world) passDensePeriod() {
	time.Sleep(400 * time.Millisecond)
	w.denseTraffic.Store(false)
	time.Sleep(1600 * time.Millisecond)
}

// Logs how long keys wait and how many slots move while a zone of a fleet of 14 nodes is withdrawn and restored,
// with planned moves and with the baseline. Guards against planned moves that let two nodes run requests for a
// slot or that move slots unnecessarily.
func TestZoneWithdrawalAgainstBaseline(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(*world, spar.Zone, bool)
		checked bool
	}{
		{"planned moves", (*world).setZoneWithdrawn, true},
		{"change of the map", (*world).rewriteMap, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, [3]int{6, 5, 3})
			stop := w.startCallers(10, 200*time.Millisecond)
			before := w.countOwned(inZone("a"))

			time.Sleep(time.Second)
			w.denseTraffic.Store(true)
			test.change(w, "a", true)
			w.passDensePeriod()

			// The share of a returning zone grows in four steps that are 2 s apart.
			for step := range 4 {
				w.denseTraffic.Store(true)

				if step == 0 {
					test.change(w, "a", false)
				}

				w.passDensePeriod()
			}

			stop()

			after := w.countOwned(inZone("a"))
			failed, violations := w.close()
			t.Logf("%s: longest wait cards %v, pledges %v, shelf %v; %d of 96 slots moved, zone owned %d before, %d after; "+
				"%d requests, %d failed, %d violations", test.name, w.longestWait("cards"), w.longestWait("pledges"),
				w.longestWait("shelf"), w.store.moves, before, after, w.requestCount, len(failed), len(violations))

			if test.checked {
				quicktest.Check(t, failed, quicktest.HasLen, 0)
				quicktest.Check(t, violations, quicktest.HasLen, 0)
				quicktest.Check(t, w.store.moves <= 2*before+8, quicktest.IsTrue)
			}
		})
	}
}
