package quota_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/internal/prop"
	"sardinespar.example/spar/quota"
)

// TestMain sets rapid's seed and number of checks.
func TestMain(m *testing.M) {
	prop.Main(m, 1, 200, 0)
}

// Guards against a bucket that starts full, exceeds its burst, or keeps tokens above a lowered limit.
func TestBucket(t *testing.T) {
	c := qt.New(t)
	limit := quota.Limit{Rate: 100, Burst: 50}
	b := quota.NewBucket(1000)
	c.Check(b.Take(1), qt.Equals, 0)

	b.Advance(1100, limit, 1)
	c.Check(b.Take(100), qt.Equals, 10)

	b.Advance(60_000, limit, 1)
	c.Check(b.Level() <= 52, qt.IsTrue, qt.Commentf("level %v", b.Level()))

	b.Advance(60_000, quota.Limit{Rate: 10, Burst: 5}, 1)
	c.Check(b.Level() <= 7, qt.IsTrue, qt.Commentf("level %v", b.Level()))

	b.Advance(60_000, quota.Limit{Rate: 10, Burst: 5}, 0.1)
	c.Check(b.Level() <= 0.7001, qt.IsTrue, qt.Commentf("level %v", b.Level()))

	// A clock that goes back adds nothing.
	b.Advance(1000, limit, 1)
	c.Check(b.Level() <= 0.7001, qt.IsTrue, qt.Commentf("level %v", b.Level()))
}

// Guards against a limit beyond the range of integers, with which a tenant would get no credits.
func TestVeryLargeLimit(t *testing.T) {
	c := qt.New(t)
	limit := quota.Limit{Rate: 1e300, Burst: 1e300}
	k := quota.NewCoordinator(7)
	k.Lend(0, "t", limit, quota.Lending{Node: "a", Share: 1, Lease: 60_000, Stamp: k.Stamp(0)})

	n, _ := k.Take(1000, "t", limit, "a", 100)
	c.Check(n, qt.Equals, 100)
}

// Guards against a rate that can't be used because the burst is smaller than the credits that may be unused.
func TestBucketWithSmallBurstKeepsItsRate(t *testing.T) {
	c := qt.New(t)
	limit := quota.Limit{Rate: 200, Burst: 1}
	b := quota.NewBucket(0)
	granted := 0

	for now := spar.Millis(0); now < 10_000; now += 10 {
		b.Advance(now, limit, 1)
		granted += b.Take(100)
	}

	c.Check(granted > 1950 && granted <= 2010, qt.IsTrue, qt.Commentf("%d granted", granted))
}

// Guards against a handover that adds tokens to the fleet or loses them before the shares arrive.
func TestHandoverKeepsTheLevel(t *testing.T) {
	c := qt.New(t)
	limit := quota.Limit{Rate: 100, Burst: 50}
	former, next := quota.NewBucket(0), quota.NewBucket(0)

	former.Advance(10_000, limit, 1)
	former.Take(20)
	level, unused := former.Drain()
	c.Check(former.Level(), qt.Equals, 0.0)

	next.Advance(10_000, limit, 0)
	next.Receive(10_000, limit, 0, level, unused, 15_000)
	next.Advance(10_100, limit, 0)
	c.Check(next.Level(), qt.Equals, level)

	next.Receive(10_100, limit, 0, 1e9, 0, 15_000)
	c.Check(next.Level() <= 52, qt.IsTrue, qt.Commentf("level %v", next.Level()))

	// Without shares, the tokens expire.
	next.Advance(15_000, limit, 0)
	c.Check(next.Level(), qt.Equals, 0.0)
}

// Guards against credits that are valid for longer than granted, in whatever order they come.
func TestStockNeverExtendsCredits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s quota.Stock

		// left has the number of credits by expiry.
		left := map[spar.Millis]int{}
		now := spar.Millis(0)

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += spar.Millis(rapid.IntRange(0, 100).Draw(t, "gap"))

			if rapid.Bool().Draw(t, "add") {
				n, expires := rapid.IntRange(0, 5).Draw(t, "n"), now+spar.Millis(rapid.IntRange(0, 500).Draw(t, "ttl"))
				s.Add(n, expires, quota.Stamp{}, now)
				left[expires] += n

				continue
			}

			expires, _, ok := s.Take(now)
			if !ok {
				continue
			}

			// The credit must come from one that was granted for at least as long.
			later := spar.Millis(-1)

			for e, n := range left {
				if n > 0 && e >= expires && (later < 0 || e < later) {
					later = e
				}
			}

			if expires <= now || later < 0 {
				t.Fatalf("credit expires at %v, now %v, left %v", expires, now, left)
			}

			left[later]--
		}
	})
}

// Guards against a node that requests credits which most likely expire unused, or none although requests wait.
func TestBatchSize(t *testing.T) {
	c := qt.New(t)

	for _, tt := range []struct{ waiting, stock, ahead, want int }{
		{0, 0, 0, 0},
		{1, 0, 0, 1},
		{3, 1, 0, 2},
		{0, 6, 10, 0},
		{0, 5, 10, 5},
		{2, 0, 10, 12},
		{0, 0, 1e6, 1000},
	} {
		c.Check(quota.BatchSize(tt.waiting, tt.stock, tt.ahead), qt.Equals, tt.want, qt.Commentf("%+v", tt))
	}

	var d quota.Demand

	c.Check(d.Ahead(0), qt.Equals, 0)

	for i := range 100 {
		d.Add(spar.Millis(10 * i))
	}

	// 100 requests/s give 25 in 250 ms.
	ahead := d.Ahead(990)
	c.Check(ahead >= 23 && ahead <= 27, qt.IsTrue, qt.Commentf("%d", ahead))
	c.Check(d.Ahead(5000), qt.Equals, 0)
}

// Guards against a change of the fleet that moves more tenants than those of the node that came or went.
func TestChooseMovesFewTenants(t *testing.T) {
	c := qt.New(t)

	for _, n := range sizes {
		members := make([]quota.Member, 0, n)
		for i := range n {
			members = append(members, quota.Member{Node: fmt.Sprint("node-", i)})
		}

		most, counts := 0, map[string]int{}

		for i := range 10 * n {
			tenant := fmt.Sprint("tenant-", i)
			before, _ := quota.Choose(tenant, members)
			after, ok := quota.Choose(tenant, members[1:])
			c.Assert(ok, qt.IsTrue)

			if before != members[0] {
				c.Check(after, qt.Equals, before)
			}

			counts[before.Node]++
			most = max(most, counts[before.Node])
		}

		c.Check(most < 30, qt.IsTrue, qt.Commentf("%d of %d tenants at one of %d nodes", most, 10*n, n))
	}

	_, ok := quota.Choose("t", nil)
	c.Check(ok, qt.IsFalse)
}

// Guards against shares that count longer than their lease: after a late call, a restart of the coordinator or a
// release.
func TestLeaseCountsFromTheStamp(t *testing.T) {
	c := qt.New(t)
	limit := quota.Limit{Rate: 100, Burst: 100}
	k := quota.NewCoordinator(7)
	stamp := k.Stamp(1000)
	lend := func(now spar.Millis, s quota.Stamp) float64 {
		k.Lend(now, "t", limit, quota.Lending{Node: "a", Share: 0.5, Lease: 5000, Stamp: s})

		return k.Share(now, "t")
	}

	c.Check(lend(3000, quota.Stamp{Run: 8, At: 1000}), qt.Equals, 0.0)
	c.Check(lend(3000, quota.Stamp{Run: 7, At: 4000}), qt.Equals, 0.0)
	c.Check(lend(3000, stamp), qt.Equals, 0.5)
	c.Check(k.Share(5999, "t"), qt.Equals, 0.5)
	c.Check(k.Share(6000, "t"), qt.Equals, 0.0)
	c.Check(lend(6001, stamp), qt.Equals, 0.0)

	stamp = k.Stamp(7000)
	c.Check(lend(7100, stamp), qt.Equals, 0.5)
	k.Release(7200, "t", limit, "a")
	c.Check(lend(7300, stamp), qt.Equals, 0.0)
	c.Check(lend(7400, k.Stamp(7350)), qt.Equals, 0.5)
}

// Guards against an unlimited tenant that costs a call, and against an allocation for each request that finds a credit.
func TestFastPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := &tenantLoad{name: "large", rate: 1e6, burst: 1e6}
		f := newFleet(ctx, t, 1, l)

		time.Sleep(warmUp)

		q := f.nodes[0].proc.quota
		clock := f.nodes[0].proc.clock

		for range 20_000 {
			_, _, ok := q.Take(ctx, "large", clock.Now()+objective)
			c.Assert(ok, qt.IsTrue)
		}

		synctest.Wait()

		allocated := testing.AllocsPerRun(100, func() { _, _, _ = q.Take(ctx, "large", clock.Now()+objective) })
		c.Check(allocated, qt.Equals, 0.0)

		credit, _, ok := q.Take(ctx, "other", 0)
		c.Check(ok, qt.IsTrue)
		c.Check(credit, qt.Equals, quota.Credit{})
		q.Return(credit)
		c.Check(f.calls.Load(), qt.Equals, int64(0))

		f.finish(cancel)
	})
}

// Guards against a credit that is lost although its request did not reach a backend server, and against a request
// without a coordinator that waits too long.
func TestReturnedCreditIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		l := &tenantLoad{name: "small", rate: 0.001, burst: 1}
		f := newFleet(ctx, t, 1, l)

		time.Sleep(time.Hour)

		q, clock := f.nodes[0].proc.quota, f.nodes[0].proc.clock

		// The bucket holds the burst and two more.
		for range 3 {
			_, _, ok := q.Take(ctx, "small", clock.Now()+objective)
			c.Assert(ok, qt.IsTrue)
		}

		_, after, ok := q.Take(ctx, "small", clock.Now()+objective)
		c.Check(ok, qt.IsFalse)
		c.Check(after > 0, qt.IsTrue)

		time.Sleep(time.Hour)

		credit, _, ok := q.Take(ctx, "small", clock.Now()+objective)
		c.Assert(ok, qt.IsTrue)
		q.Return(credit)

		again, _, ok := q.Take(ctx, "small", clock.Now()+objective)
		c.Check(ok, qt.IsTrue)
		c.Check(again, qt.Equals, credit)

		start := clock.Now()
		offline := quota.New(quota.Settings{Node: "x"}, quota.Deps{
			Clock: clock, Log: log.New(io.Discard),
			Limits:  func(string) (float64, float64, bool) { return 1, 1, true },
			Tenants: func() []string { return nil }, Nodes: func() quota.View { return quota.View{} },
		})
		_, _, ok = offline.Take(ctx, "t", start+400)
		c.Check(ok, qt.IsFalse)
		c.Check(clock.Now()-start <= 51, qt.IsTrue, qt.Commentf("waited %v", clock.Now()-start))

		f.finish(cancel)
	})
}

// Guards against shares that grow while nodes are lost or restarted, and against a node that takes itself for the whole
// fleet before it has read the table of nodes.
func TestRosterKeepsLostNodes(t *testing.T) {
	c := qt.New(t)
	r := quota.NewRoster(0)
	c.Check(r.Known(0), qt.Equals, 0)

	r.Complete()
	r.Add("a", 0, false, 100)
	r.Add("b", 200, false, 200)
	r.Add("c", 300, true, 300)
	c.Check(r.Known(300), qt.Equals, 4)
	c.Check(r.Known(500_000), qt.Equals, 4)

	// Only the node that left in order is dropped after 10 minutes, and the others after 2 hours.
	c.Check(r.Known(700_000), qt.Equals, 3)
	c.Check(r.Known(7_000_000), qt.Equals, 3)
	c.Check(r.Known(7_300_000), qt.Equals, 1)

	unread := quota.NewRoster(0)
	unread.Add("a", 100, false, 100)
	c.Check(unread.Known(10_000), qt.Equals, 0)
	c.Check(unread.Known(20_000), qt.Equals, 2)
}

// Guards against work on nodes whose rules contain no limits.
func TestWithoutLimitsNothingIsDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()

		quota.New(quota.Settings{Node: "a"}, quota.Deps{
			Clock: spar.RuntimeClock(), Log: log.New(io.Discard),
			Limits:  func(string) (float64, float64, bool) { return 0, 0, false },
			Tenants: func() []string { return nil },
			Nodes: func() quota.View {
				t.Error("the view was requested")

				return quota.View{}
			},
		}).Run(ctx)
	})
}
