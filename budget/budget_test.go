package budget_test

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/budget"
)

// Guards against holding more than the budget, and against one client address that takes the room of all others.
func TestBoundsOfAllAndOfEachClient(t *testing.T) {
	c := qt.New(t)
	b := budget.New(100, 0.5)
	first, again, other := b.Open("10.0.0.1:1"), b.Open("10.0.0.1:2"), b.Open("10.0.0.2")

	c.Check(first.Take(30), qt.IsTrue)
	c.Check(again.Take(20), qt.IsTrue)
	c.Check(again.Take(1), qt.IsFalse, qt.Commentf("share of the client"))
	c.Check(other.Take(50), qt.IsTrue)
	c.Check(b.Open("10.0.0.3").Take(1), qt.IsFalse, qt.Commentf("total"))
	c.Check(b.Held(), qt.Equals, int64(100))
	c.Check(b.Refused(), qt.Equals, int64(2))

	first.Release(10)
	c.Check(again.Take(10), qt.IsTrue)

	first.Close()
	first.Close()
	c.Check(b.Held(), qt.Equals, int64(80))
	c.Check(first.Take(1), qt.IsFalse, qt.Commentf("closed account"))

	again.Close()
	other.Close()
	c.Check(b.Held(), qt.Equals, int64(0))
}

// Guards against an account that gives back more than it holds, which would make room for others.
func TestReleaseReturnsNoMoreThanWasTaken(t *testing.T) {
	c := qt.New(t)
	b := budget.New(10, 1)
	a, other := b.Open("a"), b.Open("b")

	c.Check(other.Take(5), qt.IsTrue)
	c.Check(a.Take(2), qt.IsTrue)
	a.Release(7)
	c.Check(b.Held(), qt.Equals, int64(5))
	c.Check(a.Take(-1), qt.IsFalse)
}

// Guards against a deployment without a bound whose requests are refused.
func TestNoBound(t *testing.T) {
	a := budget.New(0, 0.5).Open("a")
	qt.Check(t, a.Take(1<<40), qt.IsTrue)
}

// Guards against a wrong count under concurrent use.
func TestConcurrentAccounts(t *testing.T) {
	const total = 1000

	var wg sync.WaitGroup

	b := budget.New(total, 0.6)

	for i := range 8 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(1, uint64(i)))

			for range 500 {
				a := b.Open("client" + strconv.Itoa(i%3))

				for range rnd.IntN(5) {
					if n := rnd.Int64N(300); a.Take(n) && rnd.IntN(2) == 0 {
						a.Release(n)
					}

					if held := b.Held(); held < 0 || held > total {
						t.Errorf("%d bytes are held", held)
					}
				}

				a.Close()
			}
		})
	}

	wg.Wait()
	qt.Check(t, b.Held(), qt.Equals, int64(0))
}

// BenchmarkRequest measures what a request costs in the budget beside other requests.
func BenchmarkRequest(b *testing.B) {
	m := budget.New(1<<30, 0.5)
	for i := range 3000 {
		m.Open("10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250)).Take(8 << 10)
	}

	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := m.Open("10.0.0.1:8080")
			a.Take(1000)
			a.Close()
		}
	})
}
