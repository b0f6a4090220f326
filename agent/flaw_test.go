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

// Guards against an oracle that finds nothing: each scenario is safe as the protocol is, and the
// oracle finds the overlap once the rule that makes it safe is left out.
func TestOracleFindsPlantedFlaws(t *testing.T) {
	for _, tt := range []struct {
		name  string
		flaws flaw.Set
		drift func(i int) fault.Drift
		play  func(c *cluster)
	}{
		{"no clock margin", flaw.Set{NoMargin: true}, slowVictim, isolate},
		{"no wait for the time left", flaw.Set{NoWait: true}, nil, isolate},
		{"lease counted from the receipt of the answer", flaw.Set{FromReceipt: true}, nil, lateAnswers},
		{"takeover not conditional on the row", flaw.Set{Unconditional: true}, nil, returnWhileFenced},
		{"witness incarnations ignored", flaw.Set{AnyIncarnation: true}, nil, restartWitness},
		{"no joint witness sets", flaw.Set{NoJointSets: true}, nil, doubtfulWitnesses},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()

			s := witnessed(5)
			s.drift = tt.drift
			play := func(c *cluster) {
				c.slowNews()
				tt.play(c)
			}
			qt.Check(t, withCluster(t, s, play), qt.HasLen, 0)

			s.flaws = tt.flaws
			qt.Check(t, withCluster(t, s, play), qt.Not(qt.HasLen), 0)
		})
	}
}

const (
	victim    = 7
	newsDelay = 40 * time.Millisecond
)

// slowNews lets everything reach the victim 40 ms late, so that an overlap lasts at least as long.
func (c *cluster) slowNews() {
	for i := range victim {
		c.net.Set(host(i), host(victim), fault.Link{Delay: newsDelay})
	}

	c.net.Set(fault.StoreHost, host(victim), fault.Link{Delay: newsDelay})
}

// slowVictim lets the clocks of the victim and of the others differ as much as allowed.
func slowVictim(i int) fault.Drift {
	if i == victim {
		return fault.Drift{Rate: -spar.ClockError}
	}

	return fault.Drift{Rate: spar.ClockError}
}

// isolate cuts the victim off from everyone.
func isolate(c *cluster) {
	c.cutOff(victim, 0, 1, 2, 3, 4, 5, 6)
	c.net.Part(host(victim), fault.StoreHost)
	time.Sleep(2 * time.Second)
}

// lateAnswers lets answers to the victim take 450 ms and then cuts its renewals off.
func lateAnswers(c *cluster) {
	for i := range victim {
		c.net.Set(host(i), host(victim), fault.Link{Delay: 450 * time.Millisecond})
	}

	time.Sleep(3 * time.Second)

	for i := range victim {
		c.net.Cut(host(victim), host(i))
	}

	c.net.Part(host(victim), fault.StoreHost)
	time.Sleep(2 * time.Second)
}

// returnWhileFenced freezes the victim until it is fenced. It returns before the takeover.
func returnWhileFenced(c *cluster) {
	c.nodes[victim].vm.Freeze()
	c.untilFenced(c.nodes[victim].reg.ID())
	c.nodes[victim].vm.Thaw()
	time.Sleep(2 * time.Second)
}

// restartWitness cuts the victim off from three witnesses. Once these have promised to fence it,
// one of them restarts within reach of the victim and has forgotten its promise.
func restartWitness(c *cluster) {
	first := c.coordinator()
	witnesses := c.witnesses(victim)

	if i := slices.Index(witnesses, first); i > 0 {
		witnesses[0], witnesses[i] = witnesses[i], witnesses[0]
	}

	cut := witnesses[:3]
	c.cutOff(victim, cut...)
	c.untilFenced(c.nodes[victim].reg.ID())
	c.kill(cut[2])
	c.start(cut[2])
	c.net.Join(host(victim), host(cut[2]))
	time.Sleep(2 * time.Second)
}

// doubtfulWitnesses lets the victim replace a witness whose answers it did not get for a time, in an
// update that takes effect but whose result it does not learn. Then it reaches a majority of the
// old set only, while the others hold a majority of the new one.
func doubtfulWitnesses(c *cluster) {
	self, before := c.nodes[victim].reg.Member().Self()
	old := c.witnesses(victim)
	first := c.coordinator()

	// The coordinator must be among those that the victim loses.
	away := slices.IndexFunc(old, func(i int) bool { return i != first })
	c.net.Set(host(old[away]), host(victim), fault.Link{Delay: newsDelay, Lose: 1})
	c.store.Set(fault.StoreFaults{LoseReplies: 1})

	row := spar.Node{}
	for revision := before; revision == before; time.Sleep(time.Millisecond) {
		row, revision = c.row(self.ID)
	}

	c.net.Cut(fault.StoreHost, host(victim))
	c.store.Set(fault.StoreFaults{})
	c.net.Set(host(old[away]), host(victim), fault.Link{Delay: newsDelay})
	time.Sleep(time.Second)

	fresh := c.index(row.Witnesses[slices.IndexFunc(row.Witnesses, func(id spar.NodeID) bool {
		return !slices.Contains(self.Witnesses, id)
	})])
	lost := []int{fresh}

	for _, i := range append([]int{first}, old...) {
		if len(lost) < 3 && i != old[away] && slices.Contains(old, i) && !slices.Contains(lost, i) {
			lost = append(lost, i)
		}
	}

	c.cutOff(victim, lost...)
	time.Sleep(3 * time.Second)
}
