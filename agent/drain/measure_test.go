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

// unheld rewrites the map at once as a zone is withdrawn or put back: owners neither hold requests nor
// wait for those in flight. It is the baseline of planned moves.
func (w *world) unheld(zone spar.Zone, out bool) {
	v := w.view()
	zoneRow, _ := v.Row(fleet.ZoneKey(zone))
	next := fleet.NewReplica()
	value := fleet.Encode(spar.Withdrawal{Name: string(zone), Out: out})
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
		for _, m := range plan.Proposal(next.View(), s, nil, 0) {
			g.Value = g.Value.With(m.Slot, g.Value.At(m.Slot).Taken(m.To))
		}

		key := fleet.SegmentKey(s.Name, 0)
		txn.Conditions = append(txn.Conditions, spar.Condition{Key: key, Revision: g.Revision})
		txn.Writes = append(txn.Writes, spar.Write{Key: key, Value: fleet.Encode(g.Value)})
	}

	w.push(fleet.RowsOf(txn, w.store.Commit(w.ctx, txn).Revision))
}

// rest lets 2 s pass, the first 0.4 s of them with dense calls.
func (w *world) rest() {
	time.Sleep(400 * time.Millisecond)
	w.dense.Store(false)
	time.Sleep(1600 * time.Millisecond)
}

// Reports the unavailable time of keys and the slots moved while a zone of 14 nodes leaves and returns,
// against the baseline. Guards against planned moves that run a slot on two nodes or move it needlessly.
func TestZoneAgainstBaseline(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*world, spar.Zone, bool)
		sound  bool
	}{
		{"planned moves", (*world).withdraw, true},
		{"without consent", (*world).unheld, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, [3]int{6, 5, 3})
			stop := w.traffic(10, 200*time.Millisecond)
			before := w.owned(inZone("a"))

			time.Sleep(time.Second)
			w.dense.Store(true)
			test.change(w, "a", true)
			w.rest()

			// Shares grow in four steps, 2 s apart.
			for step := range 4 {
				w.dense.Store(true)

				if step == 0 {
					test.change(w, "a", false)
				}

				w.rest()
			}

			stop()

			after := w.owned(inZone("a"))
			failed, wrong := w.close()
			t.Logf("%s: longest wait cards %v, pledges %v, shelf %v; %d of 96 slots moved, zone owned %d, then %d; "+
				"%d requests, %d failed, %d runs outside of ownership", test.name, w.longest("cards"), w.longest("pledges"),
				w.longest("shelf"), w.store.moves, before, after, w.done, len(failed), len(wrong))

			if test.sound {
				quicktest.Check(t, failed, quicktest.HasLen, 0)
				quicktest.Check(t, wrong, quicktest.HasLen, 0)
				quicktest.Check(t, w.store.moves <= 2*before+8, quicktest.IsTrue)
			}
		})
	}
}
