package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/keymap"
)

// loseFirstMap calls lose once the backend servers of a cluster hold all keys by the first map of the service. restore
// brings the table back from a snapshot before that map. All keys must be held again in the end, by one server each.
func loseFirstMap(t *testing.T, nodes int, lose func(c *cluster, restore func())) {
	t.Helper()

	for _, d := range []delivery{byHeartbeat, byCommand} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := newTable(2)
				empty := memory.Snapshot()
				c, stop := newClusterOn(memory, nodes, 2, flaw.Set{}, d, true)

				c.heldAfter()
				lose(c, func() { memory.Restore(empty) })
				c.heldAfter()

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

// Guards against epochs that are issued again by the first map of an era, if the restore lost the service's only map
// and all processes that knew it have ended.
func TestFirstMapOfEraReusesNoEpochs(t *testing.T) {
	loseFirstMap(t, 2, func(c *cluster, restore func()) {
		for _, m := range c.machines {
			m.killProcess()
		}

		// The grants of the earlier processes expire.
		time.Sleep(20 * time.Second)
		restore()

		for _, m := range c.machines {
			m.srv.stop()
			m.startServer()
			m.startProcess()
		}
	})
}

// Guards against a first map that is written at once because neither the restored table nor any process remembers the
// earlier one, while backend servers still hold keys by its grants. One process restarts later than the others.
func TestFirstMapLostWithAllProcesses(t *testing.T) {
	const soon, late, end = 600 * time.Millisecond, 3500 * time.Millisecond, 30 * time.Second

	loseFirstMap(t, 4, func(c *cluster, restore func()) {
		time.Sleep(time.Second)

		for _, m := range c.machines {
			m.killProcess()
		}

		restore()
		time.Sleep(soon)

		for _, m := range c.machines[1:] {
			m.startProcess()
		}

		time.Sleep(late - soon)
		c.machines[0].startProcess()
		time.Sleep(end)
	})
}
