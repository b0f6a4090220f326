package admin_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/preset"
)

const (
	machineVMs = 4
	// propagationBound is the design's bound on the time until a change is in force on every node.
	propagationBound = 8 * time.Second
)

// machine is a state machine test that runs operators and faults and compares the results with the oracle.
type machine struct {
	*world

	attempts   []*attempt
	pushedRows []spar.Row
}

// TestPresetInForce guards against two presets with the same generation, a generation that decreases on a
// VM, an accepted change that does not reach every VM within propagationBound, and wrong results reported to operators.
func TestPresetInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, func(rt *rapid.T) {
			m := &machine{world: newWorld()}
			m.setUp(rt)

			rt.Repeat(map[string]func(*rapid.T){
				"operators": m.changePreset,
				"more":      m.changePreset,
				"faults":    m.drawFaults,
				"cut":       m.partitionOrHeal,
				"restart":   func(rt *rapid.T) { m.restart(m.anyVM(rt)) },
				"lag":       func(rt *rapid.T) { m.anyVM(rt).store.setLag(rapid.Bool().Draw(rt, "lagging")) },
				"pull":      m.pull,
				"old push":  m.replayPush,
				"wait":      func(rt *rapid.T) { m.wait(rapid.IntRange(1, 4000).Draw(rt, "ms")) },
				"reach":     m.checkReachable,
				"":          m.checkProblems,
			})

			m.settle(rt)
			m.haltAll()
		})
	})
}

func (m *machine) setUp(rt *rapid.T) {
	m.start(machineVMs)
	time.Sleep(time.Second)

	for version := range 3 {
		text := fmt.Sprintf("[department d]\nservice = desk\nobjective = churn_slots_per_hour\ntarget = %d\n", version+1)
		store := preset.NewStore(m.vms[0].store, spar.RuntimeClock(), time.Now().UnixMilli)

		_, r := store.Create(context.Background(), "day", []byte(text), "ann", fmt.Sprint("create", version))
		if r.Verdict != change.Accepted {
			rt.Fatalf("preset was not created: %+v", r)
		}
	}
}

func (m *machine) anyVM(rt *rapid.T) *vm {
	return m.vms[rapid.IntRange(0, machineVMs-1).Draw(rt, "vm")]
}

// changePreset lets one to three operators put a preset in force concurrently, and may start an outage meanwhile.
func (m *machine) changePreset(rt *rapid.T) {
	var wg sync.WaitGroup

	for range rapid.IntRange(1, 3).Draw(rt, "operators") {
		op := fmt.Sprint("op", len(m.attempts))
		seen := max(0, m.lastGeneration()-int64(rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(rt, "behind")))
		a := &attempt{change: preset.ActivateParams{
			Name: "day", Version: rapid.IntRange(1, 3).Draw(rt, "version"), Seen: seen, By: "by " + op, Op: op,
		}}
		first := rapid.IntRange(0, machineVMs-1).Draw(rt, "first")
		m.attempts = append(m.attempts, a)

		wg.Go(func() { m.send(a, first) })
	}

	if after := rapid.IntRange(-40, 40).Draw(rt, "outage after ms"); after > 0 {
		wg.Go(func() { m.outageAfter(time.Duration(after) * time.Millisecond) })
	}

	wg.Wait()

	if row, ok, _ := m.table.Get(context.Background(), fleet.PrefixActivation); ok {
		m.pushedRows = append(m.pushedRows, row)
	}
}

// outageAfter starts an outage of the table after d.
func (m *machine) outageAfter(d time.Duration) {
	time.Sleep(d)
	m.mu.Lock()
	defer m.mu.Unlock()

	m.outage = true
}

func (m *machine) drawFaults(rt *rapid.T) {
	outage := rapid.IntRange(0, 3).Draw(rt, "outage") == 0
	lostReplies := rapid.IntRange(0, 3).Draw(rt, "lose")
	delayedCommits := rapid.IntRange(0, 2).Draw(rt, "delay")

	m.mu.Lock()
	defer m.mu.Unlock()

	m.outage, m.lostReplies, m.delayedCommits = outage, lostReplies, delayedCommits
}

func (m *machine) partitionOrHeal(rt *rapid.T) {
	a := rapid.IntRange(0, machineVMs-1).Draw(rt, "from")
	b := rapid.IntRange(tableIndex, machineVMs-1).Draw(rt, "to")

	if a != b {
		m.setPartitioned(a, b, rapid.Bool().Draw(rt, "cut"))
	}
}

func (m *machine) restart(v *vm) {
	v.halt()
	v.boot(nil)
}

// pull makes a VM pull rows from another one, as a lease message with a higher revision does.
func (m *machine) pull(rt *rapid.T) {
	to, from := m.anyVM(rt), m.anyVM(rt)
	to.sync.CatchUp(context.Background(), from.addr(), from.replica.View().CompleteRevision())
}

// replayPush delivers an earlier push once more, as if it had been delayed for a long time.
func (m *machine) replayPush(rt *rapid.T) {
	if len(m.pushedRows) > 0 {
		m.anyVM(rt).replica.Merge([]spar.Row{rapid.SampledFrom(m.pushedRows).Draw(rt, "row")}, 0)
	}
}

// checkReachable waits for propagationBound while faults continue. VMs that can reach the table must then
// have at least the generation that was in force before.
func (m *machine) checkReachable(rt *rapid.T) {
	before := m.lastGeneration()

	time.Sleep(propagationBound)
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, v := range m.vms {
		v.store.lag.Lock()
		reached := !m.outage && !m.partitioned[[2]int{v.index, tableIndex}] && !v.store.lagging
		v.store.lag.Unlock()

		if got := v.follower.Generation(); reached && got < before {
			rt.Fatalf("%s reaches the table but has generation %d, want at least %d", v.id(), got, before)
		}
	}
}

func (m *machine) wait(ms int) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
}

func (m *machine) checkProblems(rt *rapid.T) {
	synctest.Wait()

	for _, a := range m.attempts {
		m.checkResult(a)
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if len(m.problems) > 0 {
		rt.Fatalf("%s", strings.Join(m.problems, "; "))
	}
}

// settle ends all faults. Every VM must have the generation in force within propagationBound, and the
// result of every change with an unknown outcome must become known.
func (m *machine) settle(rt *rapid.T) {
	m.delayed.Wait()
	m.mu.Lock()
	m.outage, m.lostReplies, m.delayedCommits = false, 0, 0
	m.mu.Unlock()

	for i, v := range m.vms {
		v.store.setLag(false)

		for j := tableIndex; j < machineVMs; j++ {
			m.setPartitioned(i, j, false)
		}
	}

	m.checkPropagated(rt)

	for _, a := range m.attempts {
		if a.result.Verdict == change.Unknown {
			m.send(a, 0)
		}

		if a.result.Verdict == change.Unknown {
			m.problem("result of %s stays unknown", a.change.Op)
		}
	}

	m.checkProblems(rt)
	m.checkPropagated(rt)
}

// checkPropagated waits for propagationBound, after which every VM must have the generation in force.
func (m *machine) checkPropagated(rt *rapid.T) {
	time.Sleep(propagationBound)
	m.checkProblems(rt)

	for _, v := range m.vms {
		if got := v.follower.Generation(); got != m.lastGeneration() {
			rt.Fatalf("%s has generation %d, want %d", v.id(), got, m.lastGeneration())
		}
	}
}

func (m *machine) haltAll() {
	for _, v := range m.vms {
		v.halt()
	}
}
