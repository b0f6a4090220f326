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
	// everywhere is the design's bound on the time until a change is in force on every node.
	everywhere = 8 * time.Second
)

// machine runs operators and faults against the oracle.
type machine struct {
	*world

	attempts []*attempt
	pushed   []spar.Row
}

// TestPresetInForce guards against two presets under one generation, a generation that goes back
// on a VM, an accepted change that does not arrive in time, and results that are not true.
func TestPresetInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(plain{t}, func(rt *rapid.T) {
			m := &machine{world: newWorld()}
			m.prepare(rt)

			rt.Repeat(map[string]func(*rapid.T){
				"operators": m.operators,
				"more":      m.operators,
				"faults":    m.faults,
				"cut":       m.cutOrHeal,
				"restart":   func(rt *rapid.T) { m.restart(m.any(rt)) },
				"lag":       func(rt *rapid.T) { m.any(rt).store.setLag(rapid.Bool().Draw(rt, "lagging")) },
				"pull":      m.pull,
				"old push":  m.oldPush,
				"wait":      func(rt *rapid.T) { m.wait(rapid.IntRange(1, 4000).Draw(rt, "ms")) },
				"reach":     m.reach,
				"":          m.check,
			})

			m.settle(rt)
			m.end()
		})
	})
}

func (m *machine) prepare(rt *rapid.T) {
	m.start(machineVMs)
	time.Sleep(time.Second)

	for version := range 3 {
		text := fmt.Sprintf("[department d]\nservice = desk\nobjective = churn_slots_per_hour\ntarget = %d\n", version+1)
		store := preset.NewStore(m.vms[0].store, spar.RuntimeClock(), time.Now().UnixMilli)

		_, r := store.Create(context.Background(), "day", []byte(text), "ann", fmt.Sprint("create", version))
		if r.Verdict != change.Accepted {
			rt.Fatalf("preset is not created: %+v", r)
		}
	}
}

func (m *machine) any(rt *rapid.T) *vm {
	return m.vms[rapid.IntRange(0, machineVMs-1).Draw(rt, "vm")]
}

// operators lets one to three operators change the preset at the same time.
func (m *machine) operators(rt *rapid.T) {
	var wg sync.WaitGroup

	for range rapid.IntRange(1, 3).Draw(rt, "operators") {
		op := fmt.Sprint("op", len(m.attempts))
		seen := max(0, m.last()-int64(rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(rt, "behind")))
		a := &attempt{change: preset.Change{
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

	if row, ok, _ := m.table.Get(context.Background(), fleet.PrefixForce); ok {
		m.pushed = append(m.pushed, row)
	}
}

// outageAfter starts an outage while operators work.
func (m *machine) outageAfter(d time.Duration) {
	time.Sleep(d)
	m.mu.Lock()
	defer m.mu.Unlock()

	m.outage = true
}

func (m *machine) faults(rt *rapid.T) {
	outage := rapid.IntRange(0, 3).Draw(rt, "outage") == 0
	lose := rapid.IntRange(0, 3).Draw(rt, "lose")
	delay := rapid.IntRange(0, 2).Draw(rt, "delay")

	m.mu.Lock()
	defer m.mu.Unlock()

	m.outage, m.lose, m.delay = outage, lose, delay
}

func (m *machine) cutOrHeal(rt *rapid.T) {
	a := rapid.IntRange(0, machineVMs-1).Draw(rt, "from")
	b := rapid.IntRange(tableIndex, machineVMs-1).Draw(rt, "to")

	if a != b {
		m.setCut(a, b, rapid.Bool().Draw(rt, "cut"))
	}
}

func (m *machine) restart(v *vm) {
	v.halt()
	v.boot(nil)
}

// pull lets a VM learn from another one, as the lease's messages do.
func (m *machine) pull(rt *rapid.T) {
	to, from := m.any(rt), m.any(rt)
	to.spread.Behind(context.Background(), from.addr(), from.replica.View().Complete())
}

// oldPush delivers a push that was under way for long.
func (m *machine) oldPush(rt *rapid.T) {
	if len(m.pushed) > 0 {
		m.any(rt).replica.Merge([]spar.Row{rapid.SampledFrom(m.pushed).Draw(rt, "row")}, 0)
	}
}

// reach waits for the bound while other VMs stay cut off: those that reach the table have what is in
// force.
func (m *machine) reach(rt *rapid.T) {
	before := m.last()

	time.Sleep(everywhere)
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, v := range m.vms {
		v.store.lag.Lock()
		reached := !m.outage && !m.cut[[2]int{v.index, tableIndex}] && !v.store.lagging
		v.store.lag.Unlock()

		if got := v.follower.Generation(); reached && got < before {
			rt.Fatalf("%s reaches the table and has generation %d, in force is %d", v.id(), got, before)
		}
	}
}

func (m *machine) wait(ms int) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
}

func (m *machine) check(rt *rapid.T) {
	synctest.Wait()

	for _, a := range m.attempts {
		m.judge(a)
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if len(m.problems) > 0 {
		rt.Fatalf("%s", strings.Join(m.problems, "; "))
	}
}

// settle ends all faults. Within the bound every VM has the generation in force; then the changes
// in doubt become known.
func (m *machine) settle(rt *rapid.T) {
	m.late.Wait()
	m.mu.Lock()
	m.outage, m.lose, m.delay = false, 0, 0
	m.mu.Unlock()

	for i, v := range m.vms {
		v.store.setLag(false)

		for j := tableIndex; j < machineVMs; j++ {
			m.setCut(i, j, false)
		}
	}

	m.everywhere(rt)

	for _, a := range m.attempts {
		if a.result.Verdict == change.Unknown {
			m.send(a, 0)
		}

		if a.result.Verdict == change.Unknown {
			m.problem("result of %s can't be learned", a.change.Op)
		}
	}

	m.check(rt)
	m.everywhere(rt)
}

func (m *machine) everywhere(rt *rapid.T) {
	time.Sleep(everywhere)
	m.check(rt)

	for _, v := range m.vms {
		if got := v.follower.Generation(); got != m.last() {
			rt.Fatalf("%s has generation %d, in force is %d", v.id(), got, m.last())
		}
	}
}

func (m *machine) end() {
	for _, v := range m.vms {
		v.halt()
	}
}
