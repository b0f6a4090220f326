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

// call calls a method of VM i over the operators' connections.
func call[R any](w *world, i int, method string, params any) (R, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()

	pool := peers.NewPool(w.dialer(operatorIndex), &peers.Traffic{})
	defer pool.Close()

	var result R

	return result, pool.Call(ctx, w.vms[i].addr(), method, params, &result)
}

// addService writes the service desk to the table and assigns its slots to the VMs in turn.
func (w *world) addService(slots int) {
	s := spar.Service{Name: "desk", Mode: spar.ModeKeyed, Slots: slots}
	segment := spar.NewSegment(s, 0)

	for i := range segment.Slots {
		segment.Slots[i] = spar.Assignment{Owner: w.vms[i%len(w.vms)].id(), Epoch: 3, Base: 2}
	}

	w.apply(context.Background(), spar.Txn{Writes: []spar.Write{
		{Key: fleet.ServiceKey("desk"), Value: fleet.Encode(s)},
		{Key: fleet.SegmentKey("desk", 0), Value: fleet.Encode(segment)},
	}})
	time.Sleep(settleTime)
}

func (w *world) close() {
	for _, v := range w.vms {
		v.halt()
	}
}

// TestConcurrentWithdrawals guards against changes of a zone that are lost, take effect twice or are
// reported wrongly when operators send them concurrently and replies are lost.
func TestConcurrentWithdrawals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(rt *rapid.T) {
			w := newWorld()
			w.start(4, "a", "b")
			w.addService(64)

			defer w.close()

			attempts := make([]*withdrawal, 0, 24)

			for range rapid.IntRange(1, 8).Draw(rt, "rounds") {
				attempts = append(attempts, w.runOperators(rt, len(attempts))...)
			}

			w.delayed.Wait()
			w.setFaults(false, 0, 0)

			for _, a := range attempts {
				a.send(w, 0)
				a.checkResult(w)
			}

			if len(w.problems) > 0 {
				rt.Fatalf("%s", strings.Join(w.problems, "; "))
			}
		})
	})
}

func (w *world) setFaults(outage bool, lostReplies, delayedCommits int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.outage, w.lostReplies, w.delayedCommits = outage, lostReplies, delayedCommits
}

// runOperators lets one to three operators change zone a concurrently, with faults of the table.
func (w *world) runOperators(rt *rapid.T, n int) []*withdrawal {
	var wg sync.WaitGroup

	w.setFaults(rapid.IntRange(0, 4).Draw(rt, "outage") == 0, rapid.IntRange(0, 3).Draw(rt, "lose"),
		rapid.IntRange(0, 1).Draw(rt, "delay"))

	attempts := make([]*withdrawal, rapid.IntRange(1, 3).Draw(rt, "operators"))
	seen := int64(len(w.zoneAHistory()))

	for i := range attempts {
		op := fmt.Sprint("op", n+i)
		attempts[i] = &withdrawal{params: admin.WithdrawParams{
			Kind: admin.KindZone, Name: "a", Withdrawn: rapid.Bool().Draw(rt, "out"), Seen: seen, By: "by " + op, Op: op,
		}}

		wg.Go(func() { attempts[i].send(w, i) })
	}

	wg.Wait()

	return attempts
}

// zoneAHistory returns the changes of zone a in the order in which they took effect.
func (w *world) zoneAHistory() []admin.WithdrawalRow {
	w.mu.Lock()
	defer w.mu.Unlock()

	return append([]admin.WithdrawalRow(nil), w.zoneAChanges...)
}

// withdrawal is one operator's change of a zone with its last known result.
type withdrawal struct {
	params admin.WithdrawParams
	result change.Result
}

// send sends the change to up to four VMs in turn, from index first on, until its result is known.
func (a *withdrawal) send(w *world, first int) {
	for i := range 4 {
		r, err := call[admin.WithdrawResult](w, (first+i)%len(w.vms), admin.MethodWithdraw, a.params)
		if err == nil {
			a.result = r.Result
		}

		if err == nil && r.Result.Verdict != change.Unknown && r.Result.Verdict != change.Unavailable {
			return
		}
	}
}

// checkResult compares the final result with the changes that took effect.
func (a *withdrawal) checkResult(w *world) {
	changes := w.zoneAHistory()
	index := a.params.Seen

	if index >= int64(len(changes)) {
		w.problem("%s ended as %s, but neither it nor another change took effect", a.params.Op, a.result.Verdict)

		return
	}

	winner := changes[index]
	applied := winner.Op == a.params.Op

	switch {
	case applied && a.result.Verdict != change.Accepted:
		w.problem("%s is change %d, but was reported as %+v", a.params.Op, winner.ChangeCount, a.result)
	case applied && winner.Withdrawn != a.params.Withdrawn:
		w.problem("%s took effect with the wrong state", a.params.Op)
	case !applied && (a.result.Verdict != change.Conflict || a.result.Winner.Op != winner.Op ||
		a.result.Winner.By != winner.By || a.result.Winner.Generation != winner.ChangeCount):
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

// TestDryRun guards against a dry run that changes the table, or whose plan loses slots or names wrong
// nodes.
func TestDryRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(6, "a", "b", "c")
		w.addService(90)

		defer w.close()

		_, before, _ := w.table.Scan(context.Background(), fleet.PrefixZone, 0)
		params := admin.WithdrawParams{Kind: admin.KindZone, Name: "a", Withdrawn: true, DryRun: true}

		r, err := call[admin.WithdrawResult](w, 1, admin.MethodWithdraw, params)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, r.Plan.Nodes, qt.HasLen, 2)
		qt.Assert(t, r.Plan.Services, qt.HasLen, 1)
		qt.Assert(t, r.Plan.Services[0].MovedSlots, qt.Equals, 30)
		qt.Assert(t, r.Plan.Services[0].Remaining, qt.Equals, 4)

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

// TestLastUpstreamsNotWithdrawn guards against an accidental withdrawal of all upstreams of a service, or
// of a zone that does not exist.
func TestLastUpstreamsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.start(2, "a")
		w.addService(8)

		defer w.close()

		for _, test := range []struct {
			name       string
			skipChecks bool
			want       change.Verdict
		}{{"a", false, change.Refused}, {"typo", false, change.Refused}, {"a", true, change.Accepted}} {
			params := admin.WithdrawParams{
				Kind: admin.KindZone, Name: test.name, Withdrawn: true, SkipChecks: test.skipChecks, By: "ann", Op: "op",
			}
			r, err := call[admin.WithdrawResult](w, 0, admin.MethodWithdraw, params)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.Result.Verdict, qt.Equals, test.want, qt.Commentf("%+v", r.Result))
		}
	})
}
