package owner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/owner"
)

// runRestores restores the table from older snapshots while faults are injected and nodes are partitioned from the
// table and from each other. It returns the violations that the oracle found, and whether all keys were held at the
// end.
func runRestores(seed uint64, flaws flaw.Set, d delivery) (violations []string, allHeld bool) {
	r := rand.New(rand.NewPCG(seed, 2))
	c, stop := newCluster(4, seed, flaws, d)

	c.hot.Store(true)
	time.Sleep(8 * time.Second)

	for range 2 {
		for range r.IntN(3) {
			c.injectFault(r)
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		}

		c.restoreOnce(r)

		for range 1 + r.IntN(4) {
			c.injectFault(r)
			time.Sleep(time.Duration(r.IntN(5000)) * time.Millisecond)
		}

		c.healIsolated()
	}

	c.repair()
	time.Sleep(35 * time.Second)

	// Under load some keys may be in the middle of a move at any moment.
	c.hot.Store(false)
	time.Sleep(20 * time.Second)

	allHeld = c.oracle.held() == keymap.Keys
	if !allHeld {
		c.oracle.violations = append(c.oracle.violations, c.ownership()...)
	}

	c.close(stop)
	synctest.Wait()

	return c.oracle.violations, allHeld
}

// restoreOnce takes a snapshot, lets some seconds of writes follow, and restores the table, twice for some seeds.
// Shortly before and after the restore a node may be partitioned from the table, from its peers, or from both. For some
// seeds all processes restart at the restore.
func (c *cluster) restoreOnce(r *rand.Rand) {
	snapshot := c.memory.Snapshot()

	// Keys move after the snapshot.
	if r.IntN(2) == 0 {
		c.machines[r.IntN(len(c.machines))].srv.draining.Store(true)
	}

	time.Sleep(time.Duration(500+r.IntN(7000)) * time.Millisecond)

	if r.IntN(2) == 0 {
		c.isolate(c.machines[r.IntN(len(c.machines))], r)
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}

	switch r.IntN(3) {
	case 0:
		// The table is unavailable for a moment.
		c.store.Set(fault.StoreFaults{Outage: true})
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
	case 1:
		// Transactions and responses of the earlier era arrive after the restore.
		c.store.Set(fault.StoreFaults{
			Delay: time.Duration(r.IntN(1500)) * time.Millisecond, ReplyDelay: time.Duration(r.IntN(400)) * time.Millisecond,
		})
		time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
	}

	restartAll := r.IntN(4) == 0

	for _, m := range c.machines {
		if restartAll {
			m.killProcess()
		}
	}

	c.memory.Restore(snapshot)
	c.store.Set(fault.StoreFaults{})

	for _, m := range c.machines {
		if restartAll {
			time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
			m.startProcess()
		}
	}

	if r.IntN(3) == 0 {
		time.Sleep(time.Duration(r.IntN(14_000)) * time.Millisecond)
		c.memory.Restore(snapshot)
	}
}

// isolate partitions a machine from the table, from its peers, or from both.
func (c *cluster) isolate(m *machine, r *rand.Rand) {
	kind := r.IntN(3)
	m.cut.Store(kind != 0)

	if kind == 1 {
		return
	}

	for _, other := range c.machines {
		if other != m {
			c.net.Partition(m.host, other.host)
		}
	}
}

// healIsolated ends all partitions.
func (c *cluster) healIsolated() {
	for i, m := range c.machines {
		m.cut.Store(false)
		m.blind.Store(false)

		for _, other := range c.machines[:i] {
			c.net.HealPartition(m.host, other.host)
		}
	}
}

// repair ends all faults of the table and starts what was stopped.
func (c *cluster) repair() {
	c.store.Set(fault.StoreFaults{})

	for _, m := range c.machines {
		if m.process() == nil {
			m.startProcess()
		}

		m.mu.Lock()
		up := m.srv
		m.mu.Unlock()

		if up.ctx.Err() != nil || up.draining.Load() {
			up.stop()
			m.startServer()
		}
	}
}

// Guards against two holders of a key, and against epochs that don't increase, when the table is restored from an older
// snapshot, once or twice, while nodes are partitioned from it or from each other and late transactions and responses
// of the earlier era arrive. Also guards against keys without a holder long after that.
func TestOneHolderAfterRestore(t *testing.T) {
	for seed := range uint64(60) {
		d := delivery(seed%2 == 1)
		t.Run(fmt.Sprintf("seed %d %v", seed/2, d), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				violations, allHeld := runRestores(seed/2, flaw.Set{}, d)
				for _, f := range violations {
					t.Error(f)
				}

				if !allHeld {
					t.Error("some keys have no holder 55 s after the last fault")
				}
			})
		})
	}
}

// loss is how the only nodes that know of a move don't help after a restore that loses it.
type loss struct {
	// keepServer is set if the giver's backend server goes on under the same incarnation while its process restarts.
	keepServer bool
	// blind is set if the receiver reaches the table but can't read the map, and connected if it reaches it and can.
	// Otherwise it doesn't reach the table.
	blind     bool
	connected bool
}

// lostMove restores the table from a snapshot before a move of all keys whose receiver is partitioned from the giver
// since, while the giver's process restarts and so knows nothing of the move. It returns the violations that the oracle
// found, and whether all keys were held at the end.
func lostMove(seed uint64, flaws flaw.Set, d delivery, how loss) (violations []string, allHeld bool) {
	c, stop := newClusterWith(2, seed, flaws, d, true)

	c.loseMove(how)
	time.Sleep(30 * time.Second)
	c.healIsolated()
	time.Sleep(30 * time.Second)

	allHeld = c.oracle.held() == keymap.Keys

	c.close(stop)
	synctest.Wait()

	return c.oracle.violations, allHeld
}

// loseMove moves all keys from the first machine to the second and restores the table from a snapshot before that.
func (c *cluster) loseMove(how loss) {
	giver, receiver := c.machines[0], c.machines[1]

	time.Sleep(9 * time.Second)

	snapshot := c.memory.Snapshot()

	giver.srv.draining.Store(true)

	for range 400 {
		if c.oracle.count(receiver.srv.incarnation) == keymap.Keys {
			break
		}

		time.Sleep(50 * time.Millisecond)
	}

	receiver.cut.Store(!how.blind && !how.connected)
	receiver.blind.Store(how.blind)
	c.net.Partition(giver.host, receiver.host)
	giver.killProcess()
	giver.srv.draining.Store(false)

	if !how.keepServer {
		giver.srv.stop()
		giver.startServer()
	}

	c.memory.Restore(snapshot)
	giver.startProcess()
}

// losses are all ways in which a move is lost.
var losses = []loss{{}, {keepServer: true}, {blind: true}, {keepServer: true, blind: true}}

// Guards against a move that is treated as never made because neither the restored table nor the reachable nodes know
// of it, while the receiver still grants the keys.
func TestLostMoveOfPartitionedReceiver(t *testing.T) {
	for _, d := range []delivery{byHeartbeat, byCommand} {
		for _, how := range losses {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("seed %d %v %+v", seed, d, how), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						violations, allHeld := lostMove(seed, flaw.Set{}, d, how)
						for _, f := range violations {
							t.Error(f)
						}

						if !allHeld {
							t.Error("some keys have no holder 60 s after the restore")
						}
					})
				})
			}
		}
	}
}

// Guards against a lost move that is undone although its receiver, which is cut off from the giver, reaches the table
// and can merge its map into the one that the giver has merged.
func TestReceiverMergesLostMove(t *testing.T) {
	for _, d := range []delivery{byHeartbeat, byCommand} {
		for _, keepServer := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, server goes on %t", d, keepServer), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c, stop := newClusterWith(2, 1, flaw.Set{}, d, true)
					c.loseMove(loss{connected: true, keepServer: keepServer})

					for range 600 {
						if n := c.oracle.count(c.machines[1].srv.incarnation); n != keymap.Keys {
							t.Errorf("receiver holds %d of %d keys", n, keymap.Keys)

							break
						}

						time.Sleep(50 * time.Millisecond)
					}

					c.close(stop)
					synctest.Wait()

					for _, f := range c.oracle.violations {
						t.Error(f)
					}
				})
			})
		}
	}
}

// lostMoveOf is lostMove with one of the losses.
func lostMoveOf(seed uint64, flaws flaw.Set, d delivery) (violations []string, allHeld bool) {
	return lostMove(seed, flaws, d, losses[seed%uint64(len(losses))])
}

// Guards against an oracle that misses violations after a restore: some seed must reveal each injected flaw.
func TestOracleFindsRestoreFlaws(t *testing.T) {
	type scenario func(seed uint64, flaws flaw.Set, d delivery) ([]string, bool)

	for _, tt := range []struct {
		name  string
		flaws flaw.Set
		run   scenario
	}{
		{"revision compared without its era", flaw.Set{IgnoreEra: true}, runRestores},
		{"epoch reused", flaw.Set{ReuseEpochs: true}, runRestores},
		{"no wait for grants of earlier eras", flaw.Set{NoEraWait: true}, lostMoveOf},
		{"lost move treated as never made", flaw.Set{ForgetLostMoves: true}, lostMoveOf},
	} {
		for _, d := range []delivery{byHeartbeat, byCommand} {
			t.Run(fmt.Sprintf("%s %v", tt.name, d), func(t *testing.T) {
				t.Parallel()

				found := false

				for seed := uint64(0); seed < 40 && !found; seed++ {
					synctest.Test(t, func(*testing.T) {
						violations, _ := tt.run(seed, tt.flaws, d)
						if found = len(violations) > 0 && strings.Contains(violations[0], "gets"); found {
							t.Logf("seed %d: %s", seed, violations[0])
						}
					})
				}

				if !found {
					t.Error("no seed reveals the flaw")
				}
			})
		}
	}
}

// heldAfter returns how long it takes until the backend servers hold all keys.
func (c *cluster) heldAfter() time.Duration {
	start := time.Now()

	for c.oracle.held() != keymap.Keys && time.Since(start) < time.Minute {
		time.Sleep(50 * time.Millisecond)
	}

	return time.Since(start)
}

// startAndTakeOver returns how long the first assignment of all keys, that after a restart of all processes and the
// takeover of a lost machine take on a table that was restored a number of times before the nodes started.
func startAndTakeOver(restores int, d delivery) (first, restart, takeover time.Duration) {
	memory := newTable(2)
	for range restores {
		memory.Restore(memory.Snapshot())
	}

	c, stop := newClusterOn(memory, 3, 2, flaw.Set{}, d, true)
	first = c.heldAfter()

	for _, m := range c.machines {
		m.killProcess()
		m.startProcess()
	}

	// Grants of the earlier processes have expired, but a wait after a restore would not be over.
	time.Sleep(8 * time.Second)

	restart = c.heldAfter()

	// The node that starts first may have all keys, so that the loss of another one would show nothing.
	lost := slices.MaxFunc(c.machines, func(a, b *machine) int {
		return c.oracle.count(a.srv.incarnation) - c.oracle.count(b.srv.incarnation)
	})

	lost.killProcess()
	lost.srv.stop()
	takeover = c.heldAfter()

	c.close(stop)
	synctest.Wait()

	return first, restart, takeover
}

// Guards against a wait for earlier grants on a table that was restored at some time but whose era doesn't change.
func TestConstantEraCostsNoTime(t *testing.T) {
	for _, d := range []delivery{byHeartbeat, byCommand} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const tolerance = 2 * time.Second

				first, restart, takeover := startAndTakeOver(0, d)
				first3, restart3, takeover3 := startAndTakeOver(3, d)
				t.Logf("first %v and %v, restart %v and %v, takeover %v and %v",
					first, first3, restart, restart3, takeover, takeover3)

				if takeover == 0 || takeover3 == 0 {
					t.Error("the lost node had no keys")
				}

				if first3 > first+tolerance || restart3 > restart+tolerance || takeover3 > takeover+tolerance {
					t.Error("table in era 3 costs time")
				}
			})
		})
	}
}

// Guards against a departure that the restore loses: the node that acknowledged it is still there and must record it
// again.
func TestDepartureIsRecordedAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(2, 2, flaw.Set{}, byHeartbeat)
		m := c.machines[0]

		time.Sleep(5 * time.Second)

		snapshot := c.memory.Snapshot()
		last := owner.Heartbeat{
			Incarnation: m.srv.incarnation, Service: service, Addr: m.appAddr(), Slots: 9, Seq: 900, Draining: true,
		}

		m.srv.stop()
		synctest.Wait()

		_, err := m.process().owner.Heartbeat(c.ctx, last)
		qt.Check(t, err, qt.IsNil)
		c.memory.Restore(snapshot)
		time.Sleep(4 * time.Second)
		m.killProcess()
		m.startProcess()

		last.Seq, last.Draining = 899, false
		_, err = m.process().owner.Heartbeat(c.ctx, last)
		qt.Check(t, err, qt.IsNil)
		time.Sleep(time.Second)
		qt.Check(t, m.process().gate.Upstream().Ready, qt.IsFalse)

		c.close(stop)
		synctest.Wait()
	})
}

// lowestHeld restores the table from a snapshot that is some seconds old, and returns the lowest number of keys that
// were held at the same time from then on, and when. If move is set, all keys of one node move after the snapshot.
func lowestHeld(seed uint64, d delivery, move bool) (lowest int, at time.Duration) {
	c, stop := newClusterWith(3, seed, flaw.Set{}, d, true)
	giver := c.machines[0]

	time.Sleep(12 * time.Second)

	snapshot := c.memory.Snapshot()

	giver.srv.draining.Store(move)
	time.Sleep(8 * time.Second)
	c.memory.Restore(snapshot)

	restored := time.Now()
	lowest = keymap.Keys

	for time.Since(restored) < 40*time.Second {
		n := c.oracle.held()
		if move && c.oracle.count(giver.srv.incarnation) > 0 {
			n = 0
		}

		if n < lowest {
			lowest, at = n, time.Since(restored)
		}

		time.Sleep(50 * time.Millisecond)
	}

	c.close(stop)
	synctest.Wait()

	return lowest, at
}

// Guards against keys that lose their holder at a restore because their node waits as if others might hold them, and
// against a move that is undone although reachable nodes know of it.
func TestRestoreInterruptsNoKeys(t *testing.T) {
	for _, d := range []delivery{byHeartbeat, byCommand} {
		for _, move := range []bool{false, true} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("seed %d %v, move %t", seed, d, move), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						if lowest, at := lowestHeld(seed, d, move); lowest != keymap.Keys {
							t.Errorf("%d of %d keys held %v after the restore", lowest, keymap.Keys, at)
						}
					})
				})
			}
		}
	}
}
