package quota_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/quota"
)

// Guards against a tenant that loses credits when overloaded backend servers refuse its requests as not run: a credit
// must get back to the coordinator before it expires at a node that does not need it again.
func TestUnusedCreditsAreReturned(t *testing.T) {
	simulate(t, sizes[:1], func(ctx context.Context, t *testing.T, nodes int) {
		ctx, cancel := context.WithCancel(ctx)
		l := &tenantLoad{name: "small", rate: 0.001, burst: 40}
		f := newFleet(ctx, t, nodes, l)

		// The bucket is filled, and then adds no tokens.
		time.Sleep(time.Minute)
		f.setLimit(l, 40, 40)
		time.Sleep(5 * time.Second)
		f.setLimit(l, 0.001, 40)

		taken := 0

		// Each node admits one request per second at most, all of which are refused as not run.
		for i := range 200 {
			p := f.nodes[i%nodes].proc

			credit, _, ok := p.quota.Take(ctx, l.name, p.clock.Now()+2*objective)
			if ok {
				taken++

				time.Sleep(10 * time.Millisecond)
				p.quota.Return(credit)
			}

			time.Sleep(40 * time.Millisecond)
		}

		f.finish(cancel)
		qt.Check(t, taken >= 190, qt.IsTrue, qt.Commentf("%d of 200 requests got a credit", taken))
	})
}

// Guards against a call that arrives twice, late, at another process or before its grant, and returns credits that
// were used.
func TestReturnCountsOnce(t *testing.T) {
	c := qt.New(t)
	limit := quota.Limit{Rate: 100, Burst: 50}
	k := quota.NewCoordinator(7)
	k.Lend(0, "t", limit, quota.Lending{Node: "a", Share: 1, Lease: 60_000, Stamp: k.Stamp(0)})

	now := spar.Millis(10_000)
	n, _ := k.Take(now, "t", limit, "a", 100)
	c.Assert(n, qt.Equals, 52)

	// At the same time, the rate adds no tokens.
	returned := func(stamp quota.Stamp, at spar.Millis) int {
		k.Return(now, "t", limit, "a", stamp, []quota.Unused{{At: at, Credits: 10}})
		got, _ := k.Take(now, "t", limit, "a", 100)

		return got
	}

	c.Check(returned(quota.Stamp{Run: 8, At: now}, now), qt.Equals, 0)
	c.Check(returned(quota.Stamp{Run: 7, At: now + 1}, now), qt.Equals, 0)
	c.Check(returned(quota.Stamp{Run: 7, At: now - 650}, now-700), qt.Equals, 0)
	c.Check(returned(quota.Stamp{Run: 7, At: now - 1}, now), qt.Equals, 0)
	c.Check(returned(k.Stamp(now), now), qt.Equals, 10)
	c.Check(returned(k.Stamp(now), now), qt.Equals, 0)

	// After the longest time for which a credit counts as unused, it can't be returned.
	slow := quota.Limit{Rate: 1, Burst: 50}
	late := quota.NewCoordinator(7)
	late.Lend(0, "t", slow, quota.Lending{Node: "a", Share: 1, Lease: 60_000, Stamp: late.Stamp(0)})
	n, _ = late.Take(now, "t", slow, "a", 100)
	c.Assert(n, qt.Equals, 10)

	late.Return(now+600, "t", slow, "a", late.Stamp(now+1), []quota.Unused{{At: now, Credits: 10}})
	n, _ = late.Take(now+600, "t", slow, "a", 100)
	c.Check(n, qt.Equals, 0)
}

// Guards against returned credits that add tokens, or that let any number of credits be unused at a time.
func TestReturnKeepsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := quota.Limit{
			Rate:  float64(rapid.IntRange(1, 300).Draw(t, "rate")),
			Burst: float64(rapid.IntRange(0, 300).Draw(t, "burst")),
		}
		b := quota.NewBucket(0)
		now := spar.Millis(0)
		// held are the credits that may still be used, by the time of their grant.
		held := map[spar.Millis]int{}

		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += spar.Millis(rapid.IntRange(0, 200).Draw(t, "gap"))
			b.Advance(now, limit, 1)

			for at := now - 499; at <= now; at++ {
				n := min(held[at], rapid.IntRange(0, 50).Draw(t, "returned"))
				if n == 0 {
					continue
				}

				before := b.Level() + b.Unused()
				b.Return(now, limit, 1, at, n)
				held[at] -= n

				if after := b.Level() + b.Unused(); after > before+1e-6 {
					t.Fatalf("a return raised the sum from %v to %v", before, after)
				}
			}

			held[now] += b.Take(rapid.IntRange(0, 300).Draw(t, "taken"))

			unused := 0
			for at, n := range held {
				if now-at < 500 {
					unused += n
				}
			}

			if float64(unused) > b.Unused()+1e-6 {
				t.Fatalf("%d credits may be used, %v are counted", unused, b.Unused())
			}

			// The capacity, and the rate of the time for which credits count as unused, as without returned credits.
			if most := limit.Burst + 2 + 0.6*limit.Rate; b.Level()+b.Unused() > most+1e-6 {
				t.Fatalf("sum %v, at most %v", b.Level()+b.Unused(), most)
			}
		}
	})
}

// Guards against unused credits without bound: nodes that return credits before they expire and are granted the same
// tokens again keep them, while the rate adds more.
func TestReturnedCreditsDoNotAccumulate(t *testing.T) {
	c := qt.New(t)

	for _, limit := range []quota.Limit{{Rate: 200, Burst: 1}, {Rate: 235, Burst: 235}} {
		b := quota.NewBucket(0)
		// held are the credits by the time of their grant.
		held := map[spar.Millis]int{}
		most := 0.0

		for now := spar.Millis(0); now < 20_000; now += 10 {
			b.Advance(now, limit, 1)
			held[now] += b.Take(1000)

			for at := now - 490; at < now-300; at += 10 {
				for held[at] > 0 {
					n := min(held[at], 3)
					held[at] -= n
					b.Return(now, limit, 1, at, n)
					held[now] += b.Take(1000)
				}
			}

			most = max(most, b.Level()+b.Unused())
		}

		bound := limit.Burst + 2 + 0.6*limit.Rate
		c.Check(most <= bound+1e-6, qt.IsTrue, qt.Commentf("%+v: sum %v, at most %v", limit, most, bound))
	}
}

// Guards against a tenant that exceeds its limit when all backend servers refuse its requests and then recover at once,
// while many nodes return credits, also to a coordinator that leaves and comes back.
func TestBoundHoldsWhenOverloadEnds(t *testing.T) {
	simulate(t, sizes[:1], func(ctx context.Context, t *testing.T, nodes int) {
		ctx, cancel := context.WithCancel(ctx)
		l := largeTenant(nodes)
		f := newFleet(ctx, t, nodes, l)
		overload := func(part float64) {
			l.mu.Lock()
			defer l.mu.Unlock()

			l.overloaded = part
		}

		time.Sleep(warmUp)
		overload(1)
		f.generate(ctx, l, 10*l.rate, false, f.even)
		time.Sleep(5 * time.Second)
		overload(0)
		time.Sleep(6 * time.Second)
		overload(0.7)

		node := f.coordinator(l.name)
		f.leave(node)
		f.boot(ctx, node)
		time.Sleep(5 * time.Second)
		overload(0)
		time.Sleep(6 * time.Second)
		f.finish(cancel)
		f.checkBound(l, 0)
	})
}
