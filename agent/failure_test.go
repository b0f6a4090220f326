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

// Guards against slots that have no owner for more than 2 s after nodes fail, and against lost witnesses that are
// not replaced.
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

			violations := withCluster(t, witnessConfig(1), func(c *cluster) {
				for _, i := range tt.killed {
					c.kill(i)
				}

				if !c.waitHeld(2 * time.Second) {
					t.Errorf("slots without an owner after 2 s: %s", c.describe())
				}

				time.Sleep(5 * time.Second)

				for i, n := range c.nodes {
					if n != nil && slices.Contains(c.witnesses(i), -1) {
						t.Errorf("node %d has a lost witness: %s", i, c.describe())
					}
				}

				if revisions := c.oracle.revisions(spar.EventTakeover); len(revisions) > 2 {
					t.Errorf("%d takeover transactions for %d nodes", len(revisions), len(tt.killed))
				}
			})
			qt.Assert(t, violations, qt.HasLen, 0)
		})
	}
}

// Guards against table leases, the baseline, that no longer work when they are selected, or under which no slots
// are assigned because the writes of heartbeats make the planner's transactions be rejected.
func TestTableLeasesTakeOver(t *testing.T) {
	t.Parallel()

	violations := withCluster(t, testConfig{nodes: 8, lease: config.LeaseTable, seed: 6}, func(c *cluster) {
		c.kill(4)

		if !c.waitHeld(5 * time.Second) {
			t.Errorf("slots without an owner after 5 s: %s", c.describe())
		}
	})
	qt.Assert(t, violations, qt.HasLen, 0)
}

// Guards against a frozen and lost node that does not register again, that returns under its old id, or that
// admits requests when it resumes.
func TestFrozenNodeRegistersUnderNewID(t *testing.T) {
	t.Parallel()

	violations := withCluster(t, witnessConfig(2), func(c *cluster) {
		n := c.nodes[3]
		before := n.reg.ID()

		n.vm.Freeze()

		if !c.waitHeld(2 * time.Second) {
			t.Errorf("slots without an owner after 2 s: %s", c.describe())
		}

		time.Sleep(3 * time.Second)
		n.vm.Thaw()
		time.Sleep(2 * time.Second)

		if n.reg.ID() == before || n.vm.PeekClock() >= n.reg.Until() {
			t.Errorf("node has not registered under a new id: %s", c.describe())
		}
	})
	qt.Assert(t, violations, qt.HasLen, 0)
}

// Guards against running nodes that lose their leases because of an outage of the table, also if it begins while
// a witness suspects a node.
func TestTableOutageKeepsLeases(t *testing.T) {
	t.Parallel()

	violations := withCluster(t, witnessConfig(3), func(c *cluster) {
		lost := c.oracle.count(spar.EventLeaseLost)

		c.store.Set(fault.StoreFaults{Outage: true})
		c.net.Partition(host(2), host(c.witnesses(2)[0]))

		for range 600 {
			time.Sleep(100 * time.Millisecond)

			if c.oracle.unheld() > 0 {
				t.Fatalf("slots without an owner during the outage: %s", c.describe())
			}
		}

		c.store.Set(fault.StoreFaults{})
		time.Sleep(3 * time.Second)

		if got := c.oracle.count(spar.EventLeaseLost); got != lost || c.oracle.count(spar.EventTakeover) > 0 {
			t.Errorf("%d leases lost during the outage: %s", got-lost, c.describe())
		}
	})
	qt.Assert(t, violations, qt.HasLen, 0)
}

// Guards against an abandoned takeover that leaves the node fenced forever.
func TestAbandonedTakeoverLeavesNodeUnfenced(t *testing.T) {
	t.Parallel()

	violations := withCluster(t, witnessConfig(4), func(c *cluster) {
		n := c.nodes[3]
		before := n.reg.ID()

		n.vm.Freeze()
		c.waitFenced(before)
		n.vm.Thaw()

		if !c.waitHeld(2*time.Second) || c.oracle.count(spar.EventTakeover) > 0 {
			t.Errorf("node did not resume before the takeover: %s", c.describe())
		}

		time.Sleep(3 * time.Second)

		if n.reg.ID() != before || n.vm.PeekClock() >= n.reg.Until() {
			t.Errorf("node did not keep its lease: %s", c.describe())
		}
	})
	qt.Assert(t, violations, qt.HasLen, 0)
}
