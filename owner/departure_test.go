package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/owner"
)

// heartbeat returns a heartbeat of the machine's backend server that is later than those which it has sent.
func (m *machine) heartbeat() owner.Heartbeat {
	return owner.Heartbeat{Incarnation: m.srv.incarnation, Service: service, Addr: m.appAddr(), Slots: 9, Seq: 900}
}

// withQuietServer runs a test on two machines. The backend server of the first, m, sends no heartbeats of its own.
func withQuietServer(t *testing.T, run func(t *testing.T, c *cluster, m *machine)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		c, stop := newCluster(2, 2, flaw.Set{}, byHeartbeat)
		m := c.machines[0]

		time.Sleep(5 * time.Second)
		m.srv.stop()
		synctest.Wait()

		run(t, c, m)

		c.close(stop)
		synctest.Wait()
	})
}

// reuseAfterDeparture lets a backend server depart and its node's process restart, and then delivers a late heartbeat
// from before the departure. It reports whether the new process uses the backend server.
func reuseAfterDeparture(t *testing.T, flaws flaw.Set, depart func(m *machine, b owner.Heartbeat)) bool {
	t.Helper()

	c, stop := newCluster(2, 2, flaws, byHeartbeat)
	m := c.machines[0]

	time.Sleep(5 * time.Second)
	m.srv.stop()
	synctest.Wait()

	last := m.heartbeat()
	depart(m, last)

	late := last
	late.Seq = 899

	_, err := m.process().owner.Heartbeat(c.ctx, late)
	qt.Check(t, err, qt.IsNil)
	time.Sleep(time.Second)

	used := m.process().gate.Upstream().Ready

	// A new incarnation with the same id is another backend server.
	next := late
	next.Incarnation = spar.Incarnation{ID: late.Incarnation.ID, StartedMs: late.Incarnation.StartedMs + 40}
	next.Seq = 1

	time.Sleep(15 * time.Second)

	_, err = m.process().owner.Heartbeat(c.ctx, next)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, m.process().gate.Upstream().Ready, qt.IsTrue)

	c.close(stop)
	synctest.Wait()

	return used
}

// duringOutage returns a function that lets a backend server depart and its node's process restart while the table is
// unavailable.
func duringOutage(depart func(m *machine, b owner.Heartbeat)) func(m *machine, b owner.Heartbeat) {
	return func(m *machine, b owner.Heartbeat) {
		m.c.store.Set(fault.StoreFaults{Outage: true})
		depart(m, b)
		time.Sleep(500 * time.Millisecond)
		m.killProcess()
		m.startProcess()
		time.Sleep(2 * time.Second)
		m.c.store.Set(fault.StoreFaults{})
		time.Sleep(2 * time.Second)
	}
}

// Guards against a backend server that is used again after its departure: the process that acknowledged the departure
// ends, and the next one receives a heartbeat that was sent before.
func TestDepartedServerNotReusedAfterRestart(t *testing.T) {
	departures := map[string]func(m *machine, b owner.Heartbeat){
		"draining": func(m *machine, b owner.Heartbeat) {
			b.Draining = true
			_, _ = m.process().owner.Heartbeat(m.c.ctx, b)

			m.killProcess()
			m.startProcess()
		},
		"leaves": func(m *machine, b owner.Heartbeat) {
			m.process().owner.Deregister(m.c.ctx, b.Incarnation.ID, nil)
			m.killProcess()
			m.startProcess()
		},
		"deregisters before its first heartbeat to the new process": func(m *machine, b owner.Heartbeat) {
			m.killProcess()
			m.startProcess()
			time.Sleep(time.Second)
			m.process().owner.Deregister(m.c.ctx, b.Incarnation.ID, nil)
		},
		"deregisters before its first heartbeat to a process that ends too": func(m *machine, b owner.Heartbeat) {
			m.killProcess()
			m.startProcess()
			time.Sleep(time.Second)
			m.process().owner.Deregister(m.c.ctx, b.Incarnation.ID, &b.Incarnation.StartedMs)
			m.killProcess()
			m.startProcess()
			time.Sleep(time.Second)
		},
		"draining while the table is unavailable": duringOutage(func(m *machine, b owner.Heartbeat) {
			b.Draining = true
			_, _ = m.process().owner.Heartbeat(m.c.ctx, b)
		}),
		"leaves while the table is unavailable": duringOutage(func(m *machine, b owner.Heartbeat) {
			m.process().owner.Deregister(m.c.ctx, b.Incarnation.ID, &b.Incarnation.StartedMs)
		}),
	}

	for name, depart := range departures {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				qt.Check(t, reuseAfterDeparture(t, flaw.Set{}, depart), qt.IsFalse)
			})
		})
	}

	// The check itself must recognize a process that forgets departures.
	synctest.Test(t, func(t *testing.T) {
		qt.Check(t, reuseAfterDeparture(t, flaw.Set{ForgetDepartures: true}, func(m *machine, b owner.Heartbeat) {
			b.Draining = true
			_, _ = m.process().owner.Heartbeat(m.c.ctx, b)

			m.killProcess()
			m.startProcess()
		}), qt.IsTrue)
	})
}

// Guards against a deregistration that arrives late and shuts out the next incarnation at the same id.
func TestLateDeregistrationIgnored(t *testing.T) {
	withQuietServer(t, func(t *testing.T, c *cluster, m *machine) {
		b := m.heartbeat()
		start := b.Incarnation.StartedMs
		beat := func(startedMs int64) bool {
			b.Incarnation.StartedMs = startedMs
			b.Seq++
			_, err := m.process().owner.Heartbeat(c.ctx, b)
			qt.Check(t, err, qt.IsNil)

			u := m.process().gate.Upstream()

			return u.Ready && u.Incarnation == b.Incarnation
		}
		deregister := func(startedMs int64) {
			m.process().owner.Deregister(c.ctx, b.Incarnation.ID, &startedMs)
		}

		// The deregistration of the first incarnation arrives after a heartbeat of the second.
		qt.Check(t, beat(start+10), qt.IsTrue)
		deregister(start)
		qt.Check(t, m.process().gate.Upstream().Ready, qt.IsTrue)
		qt.Check(t, beat(start+10), qt.IsTrue)

		// The second departs, and the third is accepted at once and after a restart of the process.
		deregister(start + 10)
		qt.Check(t, beat(start+10), qt.IsFalse)
		qt.Check(t, beat(start+20), qt.IsTrue)
		deregister(start + 20)
		m.killProcess()
		m.startProcess()
		time.Sleep(time.Second)
		deregister(start + 20)
		deregister(start)
		qt.Check(t, beat(start+20), qt.IsFalse)
		qt.Check(t, beat(start+30), qt.IsTrue)

		// The lease row names the departed incarnation, not the one in force.
		m.killProcess()
		m.startProcess()
		time.Sleep(time.Second)
		qt.Check(t, beat(start+30), qt.IsTrue)

		// An incarnation that deregisters before its first heartbeat is not used, and neither is the one before it.
		deregister(start + 40)
		qt.Check(t, m.process().gate.Upstream().Ready, qt.IsFalse)
		qt.Check(t, beat(start+30), qt.IsFalse)
		qt.Check(t, beat(start+40), qt.IsFalse)
		qt.Check(t, beat(start+50), qt.IsTrue)
	})
}

// Guards against the acknowledgment of a departure that nothing but the process itself would remember.
func TestDepartureNotAcknowledgedUnlessRecorded(t *testing.T) {
	withQuietServer(t, func(t *testing.T, c *cluster, m *machine) {
		b := m.heartbeat()
		b.Draining = true

		c.store.Set(fault.StoreFaults{Outage: true})
		c.machines[1].killProcess()
		time.Sleep(5 * time.Second)

		_, err := m.process().owner.Heartbeat(c.ctx, b)
		qt.Check(t, err, qt.ErrorIs, owner.ErrNotRecorded)
		qt.Check(t, m.process().gate.Upstream().Ready, qt.IsFalse)

		start := b.Incarnation.StartedMs
		err = m.process().owner.Deregister(c.ctx, b.Incarnation.ID, &start)
		qt.Check(t, err, qt.ErrorIs, owner.ErrNotRecorded)

		// Another node is enough, and so is the table.
		c.machines[1].startProcess()
		c.store.Set(fault.StoreFaults{})
		time.Sleep(5 * time.Second)
		c.store.Set(fault.StoreFaults{Outage: true})
		qt.Check(t, m.process().owner.Deregister(c.ctx, b.Incarnation.ID, &start), qt.IsNil)
	})
}

// Guards against a departure that is never learned if no other node can be asked when the process starts.
func TestDepartureLearnedLater(t *testing.T) {
	withQuietServer(t, func(t *testing.T, c *cluster, m *machine) {
		other := c.machines[1]
		b := m.heartbeat()
		start := b.Incarnation.StartedMs

		c.store.Set(fault.StoreFaults{Outage: true})
		qt.Check(t, m.process().owner.Deregister(c.ctx, b.Incarnation.ID, &start), qt.IsNil)
		m.killProcess()
		m.startProcess()
		c.net.Partition(m.host, other.host)
		c.store.Set(fault.StoreFaults{})
		time.Sleep(5 * time.Second)

		_, err := m.process().owner.Heartbeat(c.ctx, b)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, m.process().gate.Upstream().Ready, qt.IsTrue)

		c.net.HealPartition(m.host, other.host)
		time.Sleep(5 * time.Second)
		qt.Check(t, m.process().gate.Upstream().Ready, qt.IsFalse)
	})
}

// Guards against a backend server that ends draining and is shut out, because other nodes know that it drained.
func TestServerThatEndsDrainingIsUsed(t *testing.T) {
	withQuietServer(t, func(t *testing.T, c *cluster, m *machine) {
		b := m.heartbeat()
		for _, draining := range []bool{true, false, true, false} {
			b.Seq++
			b.Draining = draining
			_, err := m.process().owner.Heartbeat(c.ctx, b)
			qt.Check(t, err, qt.IsNil)
			time.Sleep(3 * time.Second)
			qt.Check(t, m.process().gate.Upstream().Ready, qt.Equals, !draining)
		}

		m.killProcess()
		m.startProcess()
		time.Sleep(3 * time.Second)

		b.Seq++
		_, err := m.process().owner.Heartbeat(c.ctx, b)
		qt.Check(t, err, qt.IsNil)
		time.Sleep(3 * time.Second)
		qt.Check(t, m.process().gate.Upstream().Ready, qt.IsTrue)
	})
}
