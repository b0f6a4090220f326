package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/keymap"
)

// restartAll kills all processes and starts them again, that of the first machine later than the others. The backend
// servers go on.
func (c *cluster) restartAll(beforeStart func()) {
	const soon, late = 600 * time.Millisecond, 3500 * time.Millisecond

	for _, m := range c.machines {
		m.killProcess()
	}

	beforeStart()
	time.Sleep(soon)

	for _, m := range c.machines[1:] {
		m.startProcess()
	}

	time.Sleep(late - soon)
	c.machines[0].startProcess()
}

// Guards against a first map that is written at once because neither the restored table nor any process remembers the
// earlier one, while backend servers still hold keys by its grants.
func TestFirstMapLostWithAllProcesses(t *testing.T) {
	for _, d := range []delivery{byHeartbeat, byCommand} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := newTable(2)
				empty := memory.Snapshot()
				c, stop := newClusterOn(memory, 4, 2, flaw.Set{}, d, true)

				c.heldAfter()
				time.Sleep(time.Second)
				c.restartAll(func() { memory.Restore(empty) })
				time.Sleep(30 * time.Second)

				if n := c.oracle.held(); n != keymap.Keys {
					t.Errorf("%d of %d keys held", n, keymap.Keys)
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
