package agent_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/internal/flaw"
)

// Guards against an oracle that misses violations: each scenario is safe under the unmodified protocol, and has
// two owners of a slot at once when the rule that makes it safe is left out.
func TestOracleFindsPlantedFlaws(t *testing.T) {
	for _, tt := range []struct {
		name  string
		flaws flaw.Set
		drift func(i int) fault.Drift
		run   func(c *cluster)
	}{
		{"no clock margin", flaw.Set{NoClockMargin: true}, slowVictim, isolate},
		{"no wait for the expiry of the lease", flaw.Set{NoLeaseWait: true}, nil, isolate},
		{"lease counted from the receipt of the response", flaw.Set{CountFromReceipt: true}, nil, delayResponses},
		{"takeover not conditional on the row", flaw.Set{Unconditional: true}, nil, returnWhileFenced},
		{"witness incarnations ignored", flaw.Set{IgnoreIncarnation: true}, nil, restartWitness},
		{"no joint witness sets", flaw.Set{IgnorePendingWitnesses: true}, nil, loseWitnessUpdate},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			cfg := witnessConfig(5)
			cfg.drift = tt.drift
			run := func(c *cluster) {
				c.delayVictimLinks()
				tt.run(c)
			}
			qt.Check(t, withCluster(t, cfg, run), qt.HasLen, 0)

			cfg.flaws = tt.flaws
			qt.Check(t, withCluster(t, cfg, run), qt.Not(qt.HasLen), 0)
		})
	}
}

const (
	victim      = 7
	victimDelay = 40 * time.Millisecond
)

// delayVictimLinks delays all messages to the victim by 40 ms, so that two owners at once last at least as long.
func (c *cluster) delayVictimLinks() {
	for i := range victim {
		c.net.Set(host(i), host(victim), fault.Link{Delay: victimDelay})
	}

	c.net.Set(fault.StoreHost, host(victim), fault.Link{Delay: victimDelay})
}

// slowVictim returns the largest clock errors that are allowed: the victim's clock is slow, all others are fast.
func slowVictim(i int) fault.Drift {
	if i == victim {
		return fault.Drift{Rate: -spar.ClockError}
	}

	return fault.Drift{Rate: spar.ClockError}
}

// isolate cuts all links of the victim.
func isolate(c *cluster) {
	c.partition(victim, 0, 1, 2, 3, 4, 5, 6)
	c.net.Partition(host(victim), fault.StoreHost)
	time.Sleep(2 * time.Second)
}

// delayResponses delays responses to the victim by 450 ms and then cuts the links for its renewals.
func delayResponses(c *cluster) {
	for i := range victim {
		c.net.Set(host(i), host(victim), fault.Link{Delay: 450 * time.Millisecond})
	}

	time.Sleep(3 * time.Second)

	for i := range victim {
		c.net.Cut(host(victim), host(i))
	}

	c.net.Partition(host(victim), fault.StoreHost)
	time.Sleep(2 * time.Second)
}

// returnWhileFenced freezes the victim until it is fenced, and resumes it before the takeover.
func returnWhileFenced(c *cluster) {
	c.nodes[victim].vm.Freeze()
	c.waitFenced(c.nodes[victim].reg.ID())
	c.nodes[victim].vm.Thaw()
	time.Sleep(2 * time.Second)
}

// restartWitness cuts the links between the victim and three of its witnesses. After these have promised to fence
// it, one of them restarts without a memory of its promise, and can be reached by the victim again.
func restartWitness(c *cluster) {
	first := c.coordinator()
	witnesses := c.witnesses(victim)

	if i := slices.Index(witnesses, first); i > 0 {
		witnesses[0], witnesses[i] = witnesses[i], witnesses[0]
	}

	cut := witnesses[:3]
	c.partition(victim, cut...)
	c.waitFenced(c.nodes[victim].reg.ID())
	c.kill(cut[2])
	c.start(cut[2])
	c.net.HealPartition(host(victim), host(cut[2]))
	time.Sleep(2 * time.Second)
}

// loseWitnessUpdate makes the victim replace an unresponsive witness in an update that is applied but whose reply
// is lost. After that, the victim reaches a majority of the old witness set only, and the other nodes a majority
// of the new one.
func loseWitnessUpdate(c *cluster) {
	self, before := c.nodes[victim].reg.Member().Self()
	old := c.witnesses(victim)
	coordinator := c.coordinator()

	// The coordinator must be among the witnesses that the victim cannot reach, so do not replace it.
	replaced := slices.IndexFunc(old, func(i int) bool { return i != coordinator })
	c.net.Set(host(old[replaced]), host(victim), fault.Link{Delay: victimDelay, LossRate: 1})
	c.store.Set(fault.StoreFaults{LostReplies: 1})

	row := spar.Node{}
	for revision := before; revision == before; time.Sleep(time.Millisecond) {
		row, revision = c.row(self.ID)
	}

	c.net.Cut(fault.StoreHost, host(victim))
	c.store.Set(fault.StoreFaults{})
	c.net.Set(host(old[replaced]), host(victim), fault.Link{Delay: victimDelay})
	time.Sleep(time.Second)

	newWitness := c.index(row.Witnesses[slices.IndexFunc(row.Witnesses, func(id spar.NodeID) bool {
		return !slices.Contains(self.Witnesses, id)
	})])
	lost := []int{newWitness}

	for _, i := range append([]int{coordinator}, old...) {
		if len(lost) < 3 && i != old[replaced] && slices.Contains(old, i) && !slices.Contains(lost, i) {
			lost = append(lost, i)
		}
	}

	c.partition(victim, lost...)
	time.Sleep(3 * time.Second)
}
