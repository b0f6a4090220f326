package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/internal/flaw"
)

// Guards against a load on the store that grows with the number of nodes: with 147 nodes of one service, their lease
// renewals alone were 92 calls per second.
func TestRenewalsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, period = 12, 25 * time.Second

		c, stop := newCluster(nodes, 2, flaw.Set{}, byHeartbeat)
		time.Sleep(10 * time.Second)

		_, before := c.store.Counts()

		time.Sleep(period)

		_, after := c.store.Counts()
		individual := nodes * int(period/(2500*time.Millisecond))
		qt.Check(t, after-before <= individual/3, qt.IsTrue,
			qt.Commentf("%d writes, %d if renewed individually", after-before, individual))

		for _, m := range c.machines {
			qt.Check(t, m.process().owner.Leased(), qt.IsTrue)
		}

		c.close(stop)
		synctest.Wait()
	})
}

// Guards against leases that expire because the batching node is unresponsive, ends, or is slow: each node must then
// renew its lease individually.
func TestLeasesOutlastBatchingNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(4, 2, flaw.Set{}, byHeartbeat)
		time.Sleep(10 * time.Second)

		c.machines[0].vm.Freeze()

		for range 150 {
			time.Sleep(200 * time.Millisecond)

			for _, m := range c.machines[1:] {
				qt.Assert(t, m.process().owner.Leased(), qt.IsTrue)
			}
		}

		c.machines[0].vm.Thaw()
		c.close(stop)
		synctest.Wait()
	})
}
