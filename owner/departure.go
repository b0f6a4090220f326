package owner

import (
	"context"

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
	at spar.Millis
}

// Deregister handles the deregistration of a backend server that shuts down. The server may continue to run for a
// while, so the keys that it holds count as held until their grants expire.
func (o *Owner) Deregister(ctx context.Context, id string) {
	o.mu.Lock()

	if o.incarnation.ID != id {
		o.unknownDeparted = unknownDeparture{id: id, at: o.deps.Clock.Now()}
		o.mu.Unlock()
		o.deps.Log.Info("unknown backend server deregisters", "id", id)

		return
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
