package owner

import (
	"context"
	"math"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
)

const (
	// recordDepartureTimeout is the maximum time that the acknowledgment of a deregistration waits for the table.
	// The backend server itself waits for one second.
	recordDepartureTimeout spar.Millis = 600
	// earlierLeaseTimeout is the maximum time that a heartbeat waits until the node's own lease row has been read.
	earlierLeaseTimeout spar.Millis = 400
	// unknownDepartureWindow is how long heartbeats are ignored from a backend server that deregistered before this
	// process received any heartbeat from it. Heartbeats may arrive seconds late.
	unknownDepartureWindow spar.Millis = 15_000
)

// unknownDeparture is the deregistration of a backend server from which this process has received no heartbeat.
type unknownDeparture struct {
	id string
	// startedMs is the start of the newest incarnation that has departed, or the maximum if it is not known.
	startedMs int64
	at        spar.Millis
}

// ignores reports whether a heartbeat that is received now may come from the departed backend server.
func (u unknownDeparture) ignores(from spar.Incarnation, now spar.Millis) bool {
	return from.ID == u.id && from.StartedMs <= u.startedMs && now-u.at < unknownDepartureWindow
}

// Deregister handles the deregistration of a backend server that shuts down. The server may continue to run for a
// while, so the keys that it holds count as held until their grants expire. startedMs is the start of the server, or
// nil if it is not known. A deregistration of an earlier incarnation than the one in force arrived late and changes
// nothing.
func (o *Owner) Deregister(ctx context.Context, id string, startedMs *int64) {
	o.mu.Lock()

	if startedMs != nil && *startedMs < o.incarnation.StartedMs {
		current := o.incarnation
		o.mu.Unlock()
		o.deps.Log.Info("ignoring late deregistration", "id", id, "born", *startedMs, "current", current.ID,
			"current_born", current.StartedMs)

		return
	}

	if o.incarnation.ID != id {
		o.noteUnknownDepartureLocked(id, startedMs)
		o.mu.Unlock()
		o.deps.Log.Info("unknown backend server deregisters", "id", id)

		return
	}

	if startedMs != nil && *startedMs > o.incarnation.StartedMs {
		// The next incarnation departs before its first heartbeat. The one in force has ended at the same address.
		o.noteUnknownDepartureLocked(id, startedMs)
	}

	o.departed = o.incarnation
	o.mu.Unlock()
	o.deps.Log.Info("backend server deregisters", "id", id)
	o.deps.Gate.Update(func(u gate.Upstream) gate.Upstream {
		if u.Incarnation.ID == id {
			u.Ready = false
			u = u.WithHolds(nil)
		}

		return u
	})
	o.deps.Mesh.Announce()
	o.recordDeparture(ctx)
}

// noteUnknownDepartureLocked records the departure of a backend server that has sent no heartbeat to this process.
func (o *Owner) noteUnknownDepartureLocked(id string, startedMs *int64) {
	u := unknownDeparture{id: id, startedMs: math.MaxInt64, at: o.deps.Clock.Now()}
	if startedMs != nil {
		u.startedMs = *startedMs
	}

	// A late deregistration of an earlier incarnation must not hide that of a later one.
	if last := o.unknownDeparted; last.id == id && u.at-last.at < unknownDepartureWindow && last.startedMs > u.startedMs {
		return
	}

	o.unknownDeparted = u
}

// departedLocked returns the newest backend server that has deregistered or is draining.
func (o *Owner) departedLocked() spar.Incarnation {
	if o.draining {
		return o.incarnation
	}

	return o.departed
}

// recordDeparture writes the departure to the node's lease row, so that the next process of the node knows of it.
// If the table is unavailable, the deregistration is still acknowledged, since the backend server ends in any case.
func (o *Owner) recordDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recordDepartureTimeout.Duration())
	defer cancel()

	for ctx.Err() == nil {
		o.mu.Lock()
		departed, done, held := o.departedLocked(), o.recordedDeparted, o.lease.revision != 0
		o.mu.Unlock()

		if done == departed {
			return
		}

		if !held || !o.renewLease(ctx) {
			o.deps.Clock.Sleep(ctx, retryDelay)
		}
	}

	o.deps.Log.Warn("departure of the backend server is not recorded; a process that starts now may use the server again")
}

// departureUnrecorded reports whether the newest departure is not yet in the lease row.
func (o *Owner) departureUnrecorded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.departedLocked() != o.recordedDeparted
}

// applyEarlierLease takes over the departure that an earlier process of this node recorded, and unblocks
// awaitEarlierLease. A zero row means that there was no earlier process.
func (o *Owner) applyEarlierLease(l leaseRow) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if !o.deps.Flaws.ForgetDepartures && l.Addr == o.cfg.AppAddr && l.Departed.StartedMs > o.departed.StartedMs {
		o.departed = l.Departed
	}

	if !o.earlierKnown {
		o.earlierKnown = true
		close(o.earlierRead)
	}
}

// awaitEarlierLease waits until the lease row of an earlier process has been read, and reports whether it has. Before
// that, a heartbeat may come from a backend server that has already departed.
func (o *Owner) awaitEarlierLease(ctx context.Context) bool {
	if o.deps.Flaws.ForgetDepartures {
		return true
	}

	t := o.deps.Clock.Timer(earlierLeaseTimeout)
	defer t.Stop()

	select {
	case <-o.earlierRead:
		return true
	case <-t.C:
	case <-ctx.Done():
	}

	return false
}
