package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/keymap"
)

// Guards against epochs that are issued again by the first map of an era, if the restore lost the service's only map
// and all processes that knew it have ended.
func TestFirstMapOfEraReusesNoEpochs(t *testing.T) {
	for _, d := range []delivery{byHeartbeat, byCommand} {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := newTable(2)
				snapshot := memory.Snapshot()
				c, stop := newClusterOn(memory, 2, 2, flaw.Set{}, d, true)

				c.heldAfter()

				for _, m := range c.machines {
					m.killProcess()
				}

				// The grants of the earlier processes expire.
				time.Sleep(20 * time.Second)
				memory.Restore(snapshot)

				for _, m := range c.machines {
					m.srv.stop()
					m.startServer()
					m.startProcess()
				}

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
