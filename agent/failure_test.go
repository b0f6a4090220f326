package agent_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/fault"
)

// Guards against slots that stay without an owner for more than 2 s after a loss, and against lost
// witnesses that are not replaced.
func TestKilledNodesAreTakenOver(t *testing.T) {
	for _, tt := range []struct {
		name   string
		killed []int
	}{
		{"one node", []int{4}},
		{"the planner and another", []int{0, 5}},
		{"a zone", []int{1, 4, 7}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			found := withCluster(t, witnessed(1), func(c *cluster) {
				for _, i := range tt.killed {
					c.kill(i)
				}

				if !c.heldWithin(2 * time.Second) {
					t.Errorf("slots without an owner after 2 s: %s", c.state())
				}

				time.Sleep(5 * time.Second)

				for i, n := range c.nodes {
					if n != nil && slices.Contains(c.witnesses(i), -1) {
						t.Errorf("node %d has a lost witness: %s", i, c.state())
					}
				}

				if revisions := c.oracle.revisions(spar.EventTakeover); len(revisions) > 2 {
					t.Errorf("%d takeover transactions for %d nodes", len(revisions), len(tt.killed))
				}
			})
			qt.Assert(t, found, qt.HasLen, 0)
		})
	}
}

// Guards against a baseline that can't be selected any more, or that assigns nothing because its
// heartbeats reject the planner's transactions.
func TestTableLeasesStaySelectable(t *testing.T) {
	t.Parallel()

	found := withCluster(t, setup{nodes: 8, lease: config.LeaseTable, seed: 6}, func(c *cluster) {
		c.kill(4)

		if !c.heldWithin(5 * time.Second) {
			t.Errorf("slots without an owner after 5 s: %s", c.state())
		}
	})
	qt.Assert(t, found, qt.HasLen, 0)
}

// Guards against a lost node that stays away, comes back under its old id, or admits on its return.
func TestFrozenNodeReturnsUnderNewIncarnation(t *testing.T) {
	t.Parallel()

	found := withCluster(t, witnessed(2), func(c *cluster) {
		n := c.nodes[3]
		before := n.reg.ID()

		n.vm.Freeze()

		if !c.heldWithin(2 * time.Second) {
			t.Errorf("slots without an owner after 2 s: %s", c.state())
		}

		time.Sleep(3 * time.Second)
		n.vm.Thaw()
		time.Sleep(2 * time.Second)

		if n.reg.ID() == before || n.vm.Peek() >= n.reg.Until() {
			t.Errorf("node was not registered again: %s", c.state())
		}
	})
	qt.Assert(t, found, qt.HasLen, 0)
}

// Guards against an outage of the table, or one that begins in the middle of a suspicion, that ends
// the lease of a node that runs.
func TestTableOutageCostsNoLease(t *testing.T) {
	t.Parallel()

	found := withCluster(t, witnessed(3), func(c *cluster) {
		lost := c.oracle.count(spar.EventLeaseLost)

		c.store.Set(fault.StoreFaults{Outage: true})
		c.net.Part(host(2), host(c.witnesses(2)[0]))

		for range 600 {
			time.Sleep(100 * time.Millisecond)

			if c.oracle.unheld() > 0 {
				t.Fatalf("slots without an owner during the outage: %s", c.state())
			}
		}

		c.store.Set(fault.StoreFaults{})
		time.Sleep(3 * time.Second)

		if got := c.oracle.count(spar.EventLeaseLost); got != lost || c.oracle.count(spar.EventTakeover) > 0 {
			t.Errorf("%d leases lost: %s", got-lost, c.state())
		}
	})
	qt.Assert(t, found, qt.HasLen, 0)
}

// Guards against a takeover that was abandoned and leaves the node fenced for ever.
func TestAbandonedTakeoverLeavesNodeUnfenced(t *testing.T) {
	t.Parallel()

	found := withCluster(t, witnessed(4), func(c *cluster) {
		n := c.nodes[3]
		before := n.reg.ID()

		n.vm.Freeze()
		c.untilFenced(before)
		n.vm.Thaw()

		if !c.heldWithin(2*time.Second) || c.oracle.count(spar.EventTakeover) > 0 {
			t.Errorf("the node did not resume: %s", c.state())
		}

		time.Sleep(3 * time.Second)

		if n.reg.ID() != before || n.vm.Peek() >= n.reg.Until() {
			t.Errorf("the node did not keep its lease: %s", c.state())
		}
	})
	qt.Assert(t, found, qt.HasLen, 0)
}
