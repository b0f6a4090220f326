package quota_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against asking for the state of a tenant's quota taking credits or requesting them, also for a tenant that the
// node does not know yet.
func TestStateTakesNoCredit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, t, 2, &tenantLoad{name: "small", rate: 1, burst: 1}, &tenantLoad{name: "idle", rate: 1, burst: 1})

		time.Sleep(time.Hour)

		q, clock := f.nodes[0].proc.quota, f.nodes[0].proc.clock
		credit, _, ok := q.Take(ctx, "small", clock.Now()+objective)
		c.Assert(ok, qt.IsTrue)
		q.Return(credit)

		calls, before := f.calls.Load(), q.State("small")
		c.Check(before.Credits > 0, qt.IsTrue)
		c.Check(before.Coordinator, qt.Not(qt.Equals), "")

		for range 100 {
			c.Check(q.State("small"), qt.DeepEquals, before)
			c.Check(q.State("idle").Credits, qt.Equals, 0)
		}

		synctest.Wait()
		c.Check(f.calls.Load(), qt.Equals, calls)

		again, _, ok := q.Take(ctx, "small", clock.Now()+objective)
		c.Check(ok, qt.IsTrue)
		c.Check(again, qt.Equals, credit)

		f.finish(cancel)
	})
}
