package admin_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
)

// ask calls a method of a VM as an operator does.
func ask[R any](w *world, i int, method string, params any) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()

	pool := peers.NewPool(w.dialer(operatorIndex), &peers.Traffic{})
	defer pool.Close()

	var result R

	return result, pool.Call(ctx, w.vms[i].addr(), method, params, &result)
}

// serve puts the service desk with its slots into the table.
func (w *world) serve(slots int) {
	s := spar.Service{Name: "desk", Mode: spar.ModeKeyed, Slots: slots}
	g := spar.NewSegment(s, 0)

	for i := range g.Slots {
		g.Slots[i] = spar.Assignment{Owner: w.vms[i%len(w.vms)].id(), Epoch: 3, Base: 2}
	}

	w.apply(context.Background(), spar.Txn{Writes: []spar.Write{
		{Key: fleet.ServiceKey("desk"), Value: fleet.Encode(s)},
		{Key: fleet.SegmentKey("desk", 0), Value: fleet.Encode(g)},
	}})
	time.Sleep(settled)
}

func (w *world) close() {
	for _, v := range w.vms {
		v.halt()
	}
}

// TestWithdrawalsRace guards against a change of a zone that is lost, made twice, or reported
// wrongly when operators race and replies are lost.
func TestWithdrawalsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(plain{t}, func(rt *rapid.T) {
			w := newWorld()
			w.start(4, "a", "b")
			w.serve(64)

			defer w.close()

			attempts := make([]*withdrawal, 0, 24)

			for range rapid.IntRange(1, 8).Draw(rt, "rounds") {
				attempts = append(attempts, w.round(rt, len(attempts))...)
			}

			w.late.Wait()
			w.fault(false, 0, 0)

			for _, a := range attempts {
				a.send(w, 0)
				a.judge(w)
			}

			if len(w.problems) > 0 {
				rt.Fatalf("%s", strings.Join(w.problems, "; "))
			}
		})
	})
}

func (w *world) fault(outage bool, lose, delay int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.outage, w.lose, w.delay = outage, lose, delay
}

func (w *world) round(rt *rapid.T, n int) []*withdrawal {
	var wg sync.WaitGroup

	w.fault(rapid.IntRange(0, 4).Draw(rt, "outage") == 0, rapid.IntRange(0, 3).Draw(rt, "lose"),
		rapid.IntRange(0, 1).Draw(rt, "delay"))

	attempts := make([]*withdrawal, rapid.IntRange(1, 3).Draw(rt, "operators"))
	seen := int64(len(w.changes()))

	for i := range attempts {
		op := fmt.Sprint("op", n+i)
		attempts[i] = &withdrawal{params: admin.WithdrawParams{
			Kind: admin.KindZone, Name: "a", Out: rapid.Bool().Draw(rt, "out"), Seen: seen, By: "by " + op, Op: op,
		}}

		wg.Go(func() { attempts[i].send(w, i) })
	}

	wg.Wait()

	return attempts
}

// changes returns the changes of zone a in the order in which they took effect.
func (w *world) changes() []admin.WithdrawalRow {
	w.mu.Lock()
	defer w.mu.Unlock()

	return append([]admin.WithdrawalRow(nil), w.zoneA...)
}

// withdrawal is one operator's change of a zone with its last known result.
type withdrawal struct {
	params admin.WithdrawParams
	result change.Result
}

func (a *withdrawal) send(w *world, first int) {
	for i := range 4 {
		r, err := ask[admin.WithdrawResult](w, (first+i)%len(w.vms), admin.MethodWithdraw, a.params)
		if err == nil {
			a.result = r.Result
		}

		if err == nil && r.Result.Verdict != change.Unknown && r.Result.Verdict != change.Unavailable {
			return
		}
	}
}

// judge holds a settled result against the order in which changes took effect.
func (a *withdrawal) judge(w *world) {
	changes := w.changes()
	place := a.params.Seen

	if place >= int64(len(changes)) {
		w.problem("%s is settled as %s without a change in its place", a.params.Op, a.result.Verdict)

		return
	}

	winner := changes[place]
	won := winner.Op == a.params.Op

	switch {
	case won && a.result.Verdict != change.Accepted:
		w.problem("%s is change %d, but was reported as %+v", a.params.Op, winner.Change, a.result)
	case won && winner.Out != a.params.Out:
		w.problem("%s took effect the wrong way", a.params.Op)
	case !won && (a.result.Verdict != change.Conflict || a.result.Winner.Op != winner.Op ||
		a.result.Winner.By != winner.By || a.result.Winner.Generation != winner.Change):
		w.problem("%s lost to %s, but was reported as %+v", a.params.Op, winner.Op, a.result)
	}

	count := 0

	for _, c := range changes {
		if c.Op == a.params.Op {
			count++
		}
	}

	if count > 1 {
		w.problem("%s took effect %d times", a.params.Op, count)
	}
}

// TestDryRun guards against a dry run that changes something, loses slots, or differs from what it
// is asked about.
func TestDryRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(6, "a", "b", "c")
		w.serve(90)

		defer w.close()

		_, before, _ := w.table.Scan(context.Background(), fleet.PrefixZone, 0)
		params := admin.WithdrawParams{Kind: admin.KindZone, Name: "a", Out: true, DryRun: true}

		r, err := ask[admin.WithdrawResult](w, 1, admin.MethodWithdraw, params)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Plan.Nodes, qt.HasLen, 2)
		qt.Assert(t, r.Plan.Services, qt.HasLen, 1)
		qt.Assert(t, r.Plan.Services[0].Slots, qt.Equals, 30)
		qt.Assert(t, r.Plan.Services[0].Left, qt.Equals, 4)

		total := 0

		for _, n := range r.Plan.Services[0].Nodes {
			qt.Assert(t, n.Before, qt.Equals, 15)
			qt.Assert(t, n.Zone == "a", qt.Equals, n.After == 0)

			total += n.After
		}

		qt.Assert(t, total, qt.Equals, 90)

		_, after, _ := w.table.Scan(context.Background(), fleet.PrefixZone, 0)
		qt.Assert(t, after, qt.Equals, before)
	})
}

// TestLastUpstreamsStay guards against a slip that takes out all upstreams of a service.
func TestLastUpstreamsStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(2, "a")
		w.serve(8)

		defer w.close()

		for _, test := range []struct {
			name   string
			anyway bool
			want   change.Verdict
		}{{"a", false, change.Refused}, {"typo", false, change.Refused}, {"a", true, change.Accepted}} {
			params := admin.WithdrawParams{
				Kind: admin.KindZone, Name: test.name, Out: true, Anyway: test.anyway, By: "ann", Op: "op",
			}
			r, err := ask[admin.WithdrawResult](w, 0, admin.MethodWithdraw, params)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Result.Verdict, qt.Equals, test.want, qt.Commentf("%+v", r.Result))
		}
	})
}
