package owner

import (
	"context"
	"errors"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
)

const (
	// recordDepartureTimeout is the maximum time that the acknowledgment of a departure waits until it is recorded.
	// The backend server itself waits for one second.
	recordDepartureTimeout spar.Millis = 600
	// earlierDepartureTimeout is the maximum time that a heartbeat waits until the departures before the start of this
	// process are known.
	earlierDepartureTimeout spar.Millis = 400
	// unknownDepartureWindow is how long heartbeats are ignored from a backend server that deregistered before this
	// process received any heartbeat from it and that named no start. Heartbeats may arrive seconds late.
	unknownDepartureWindow spar.Millis = 15_000
)

// ErrNotRecorded is returned for a departure that the next process of the node might not learn, since neither the table
// nor another node has recorded it. It must not be acknowledged.
var ErrNotRecorded = errors.New("neither the table nor another node has recorded the departure")

// unknownDeparture is the deregistration of a backend server that is known by its id alone.
type unknownDeparture struct {
	id string
	at spar.Millis
}

// ignores reports whether a heartbeat that is received now may come from the departed backend server.
func (u unknownDeparture) ignores(from spar.Incarnation, now spar.Millis) bool {
	return from.ID == u.id && now-u.at < unknownDepartureWindow
}

// Deregister handles the deregistration of a backend server that shuts down. The server may continue to run for a
// while, so the keys that it holds count as held until their grants expire. startedMs is the start of the server, or
// nil if it is not known. A deregistration of an earlier incarnation than the one in force arrived late and changes
// nothing. Deregister returns ErrNotRecorded if the departure may be forgotten.
func (o *Owner) Deregister(ctx context.Context, id string, startedMs *int64) error {
	departed, ok := o.noteDeregistration(id, startedMs)
	if !ok {
		return nil
	}

	o.stopUsing(departed)

	return o.recordDeparture(ctx)
}

// noteDeregistration records a deregistration in this process and returns the incarnation that has departed. It returns
// false for one that arrived late, or whose incarnation is not known.
func (o *Owner) noteDeregistration(id string, startedMs *int64) (spar.Incarnation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	current := o.incarnation
	latest := max(current.StartedMs, o.departed.StartedMs)

	switch {
	case startedMs == nil || *startedMs > o.deps.UnixMillis()+int64(maxClockLead):
		if id != current.ID {
			o.unknownDeparted = unknownDeparture{id: id, at: o.deps.Clock.Now()}
			o.deps.Log.Info("unknown backend server deregisters", "id", id)

			return spar.Incarnation{}, false
		}

		o.departed = current
	case *startedMs < latest:
		o.deps.Log.Info("ignoring late deregistration", "id", id, "born", *startedMs, "current", current.ID,
			"current_born", current.StartedMs)

		return spar.Incarnation{}, false
	default:
		// The incarnation in force, or a later one, in which case the one in force has ended at the same address.
		o.departed = spar.Incarnation{ID: id, StartedMs: *startedMs}
	}

	o.deps.Log.Info("backend server deregisters", "id", id, "born", o.departed.StartedMs)

	return o.departed, true
}

// stopUsing stops sending requests to the backend server if it is the departed incarnation or an earlier one.
func (o *Owner) stopUsing(departed spar.Incarnation) {
	o.deps.Gate.Update(func(u gate.Upstream) gate.Upstream {
		if u.Incarnation.StartedMs <= departed.StartedMs {
			u.Ready = false
			u = u.WithHolds(nil)
		}

		return u
	})
	o.deps.Mesh.Announce()
}

// Departed returns the newest backend server that has deregistered or is draining. It is zero once a later one sends
// heartbeats, which shows that all earlier ones have ended.
func (o *Owner) Departed() spar.Incarnation {
	o.mu.Lock()
	defer o.mu.Unlock()

	departed := o.departedLocked()
	if departed.StartedMs < o.incarnation.StartedMs {
		return spar.Incarnation{}
	}

	return departed
}

// departedLocked returns the newest backend server that has deregistered or is draining.
func (o *Owner) departedLocked() spar.Incarnation {
	if o.draining {
		return o.incarnation
	}

	return o.departed
}

// hasDepartedLocked reports whether the backend server that last sent a heartbeat has deregistered.
func (o *Owner) hasDepartedLocked() bool {
	return !o.incarnation.IsZero() && o.incarnation.StartedMs <= o.departed.StartedMs
}

// recordDeparture waits until the next process of the node can learn the newest departure: it writes it to the node's
// lease row and, if the table does not answer in time, sends it to other nodes.
func (o *Owner) recordDeparture(ctx context.Context) error {
	departed, recorded := o.departureRecorded()
	if recorded {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, recordDepartureTimeout.Duration())
	defer cancel()

	replicated := make(chan bool, 1)

	go o.runReplicate(ctx, departed, replicated)

	for ctx.Err() == nil {
		if _, recorded := o.departureRecorded(); recorded {
			return nil
		}

		if !o.holdsLease() || !o.renewLease(ctx) {
			o.deps.Clock.Sleep(ctx, retryDelay)
		}
	}

	if !<-replicated {
		o.deps.Log.Warn("departure of the backend server is not acknowledged: neither the table nor another node has it",
			"id", departed.ID)

		return ErrNotRecorded
	}

	o.mu.Lock()
	o.replicatedDeparted = departed
	o.mu.Unlock()
	o.deps.Log.Info("departure of the backend server is recorded by other nodes only", "id", departed.ID)

	return nil
}

// departureRecorded returns the newest departure, and whether the table or other nodes have recorded it.
func (o *Owner) departureRecorded() (spar.Incarnation, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	departed := o.departedLocked()

	return departed, departed == o.recordedDeparted || departed == o.replicatedDeparted
}

// departureUnwritten reports whether the newest departure is not yet in the lease row.
func (o *Owner) departureUnwritten() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.departedLocked() != o.recordedDeparted
}

func (o *Owner) holdsLease() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.lease.revision != 0
}

// applyEarlierLease takes over the departure that an earlier process of this node recorded, and unblocks runLearn. A
// zero row means that there was no earlier process.
func (o *Owner) applyEarlierLease(l leaseRow) {
	if l.Addr == o.cfg.AppAddr {
		o.learnDeparture(l.Departed)
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	if !o.earlierKnown {
		o.earlierKnown = true
		close(o.earlierRead)
	}
}

// learnDeparture takes over a departure that an earlier process of this node acknowledged.
func (o *Owner) learnDeparture(departed spar.Incarnation) {
	o.mu.Lock()

	if o.deps.Flaws.ForgetDepartures || departed.StartedMs <= o.departed.StartedMs {
		o.mu.Unlock()

		return
	}

	o.departed = departed
	o.mu.Unlock()
	o.deps.Log.Info("backend server had departed before this process started", "id", departed.ID,
		"born", departed.StartedMs)
	o.stopUsing(departed)
}

// awaitEarlierDepartures waits until the departures before the start of this process are known, and reports whether
// they are. Before that, a heartbeat may come from a backend server that has already departed.
func (o *Owner) awaitEarlierDepartures(ctx context.Context) bool {
	if o.deps.Flaws.ForgetDepartures {
		return true
	}

	t := o.deps.Clock.Timer(earlierDepartureTimeout)
	defer t.Stop()

	select {
	case <-o.departuresKnown:
		return true
	case <-t.C:
	case <-ctx.Done():
	}

	return false
}
