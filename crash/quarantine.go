package crash

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
)

// MethodPush sends a changed entry to a peer.
const MethodPush = "crash.push"

const (
	// quarantineDuration is long compared with the time for which callers resend a request. Operators can lift
	// a quarantine earlier.
	quarantineDuration spar.Millis = 600_000
	// attemptTimeout is how long other calls of a request with one victim are refused so that the entry node
	// can make the one further attempt. After that, the next call is the further attempt: requests that were
	// merely in flight when another one crashed the server must not be refused for the whole quarantine.
	attemptTimeout spar.Millis = 10_000
	pushTimeout    spar.Millis = 500
	// quarantineVictims is the number of crashes after which an idempotent request gets no further attempt.
	quarantineVictims = 2
	// maxVictims is the largest number of victims that an entry from a peer or the table may list.
	maxVictims = 64
)

// State determines whether a call may run.
type State int

// The states of a call.
const (
	// StateFree means that the call may run.
	StateFree State = iota
	// StateSuspected means that the call is refused until the one further attempt has a result.
	StateSuspected
	// StateQuarantined means that the call is refused until the entry expires or is lifted.
	StateQuarantined
)

// Quarantine is one node's copy of the entries that all nodes share.
type Quarantine struct {
	self       func() spar.NodeID
	replica    *fleet.Replica
	table      spar.Table
	caller     peers.Caller
	clock      spar.Clock
	unixMillis func() int64
	recorder   spar.Recorder

	registry *Registry
	// mergedView is the last snapshot of the replica whose rows have been merged into the registry.
	mergedView atomic.Pointer[fleet.View]

	mu sync.Mutex
	// pending holds the fingerprints of entries to be written to the table. The value is true if the entry
	// must be pushed to the peers first.
	pending map[string]bool
	// wake starts the writing of pending entries.
	wake chan struct{}
}

// New returns a quarantine that reads the entries of the replica r. Run must be started to write new ones.
func New(
	self func() spar.NodeID, r *fleet.Replica, t spar.Table, caller peers.Caller, clock spar.Clock,
	unixMillis func() int64, recorder spar.Recorder,
) *Quarantine {
	return &Quarantine{
		self: self, replica: r, table: t, caller: caller, clock: clock, unixMillis: unixMillis, recorder: recorder,
		registry: NewRegistry(unixMillis), pending: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// Register adds the method that peers call.
func (q *Quarantine) Register(m *peers.Mux) {
	peers.Handle(m, MethodPush, q.servePush)
}

func (q *Quarantine) servePush(_ context.Context, e Record) (fleet.Empty, error) {
	if err := e.validate(quarantineDuration); err != nil {
		return fleet.Empty{}, err
	}

	q.registry.Merge(e)

	return fleet.Empty{}, nil
}

// State determines whether the call may run now. A suspected request is free for the one further attempt: a call that
// is marked as such by the entry node, or any call if the attempt timeout has passed since the last change. In
// the second case, the guard then calls ClaimAttempt, and other calls are refused again.
func (q *Quarantine) State(c spar.Call) State {
	all := q.allEntries()
	if len(all) == 0 {
		return StateFree
	}

	now := q.unixMillis()

	e, ok := all[Fingerprint(c)]
	if !ok || !e.isActive(now) {
		return StateFree
	}

	switch {
	case e.isQuarantined():
		return StateQuarantined
	case c.Trial || now-e.ChangedMs >= int64(attemptTimeout):
		return StateFree
	default:
		return StateSuspected
	}
}

// ClaimAttempt reports whether the request is suspected and no further attempt has been made within the
// timeout. The call then becomes the further attempt: the timeout starts again, and the peers are notified,
// so that they refuse other calls meanwhile.
func (q *Quarantine) ClaimAttempt(ctx context.Context, c spar.Call) bool {
	all := q.allEntries()
	if len(all) == 0 {
		return false
	}

	now := q.unixMillis()

	e, ok := all[Fingerprint(c)]
	if !ok || !e.isActive(now) || e.isQuarantined() || now-e.ChangedMs < int64(attemptTimeout) {
		return false
	}

	e.ChangedMs = now
	q.push(ctx, q.registry.Merge(e))

	return true
}

// RecordCrash records that the call crashed this node's backend server. It reports whether the entry node may try the
// call on one further backend server, which is false if this node has recorded a crash of it before. When
// RecordCrash returns, all peers that answered know the entry.
func (q *Quarantine) RecordCrash(ctx context.Context, c spar.Call) bool {
	now := q.unixMillis()
	path, _, _ := strings.Cut(c.URI, "?")
	fingerprint := Fingerprint(c)

	before := q.allEntries()[fingerprint]
	repeated := before.isActive(now) && slices.Contains(before.Victims, q.self())

	e := q.registry.Update(fingerprint, func(Record) Record {
		return Record{
			Fingerprint: fingerprint, Service: c.Service.Name, Method: c.Method, Path: path, Idempotent: c.Idempotent,
			Victims: []spar.NodeID{q.self()}, UntilMs: now + int64(quarantineDuration),
		}
	})
	q.recorder.Record(spar.Event{Kind: spar.EventQuarantined, Service: e.Service, Request: c.ID, Detail: e.Fingerprint})
	q.push(ctx, e)

	q.enqueue(e.Fingerprint, false)

	return !repeated && !e.isQuarantined()
}

// ClearSuspicion lifts the suspicion after the further attempt, which did not crash its backend server.
func (q *Quarantine) ClearSuspicion(c spar.Call) {
	fingerprint := Fingerprint(c)

	if e, ok := q.allEntries()[fingerprint]; ok && e.isActive(q.unixMillis()) && !e.isQuarantined() {
		q.lift(e)
	}
}

// List returns the entries of the suspected and quarantined requests, sorted by fingerprint.
func (q *Quarantine) List() []Record {
	now := q.unixMillis()
	active := slices.Collect(maps.Values(q.allEntries()))
	active = slices.DeleteFunc(active, func(e Record) bool { return !e.isActive(now) })
	slices.SortFunc(active, func(a, b Record) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })

	return active
}

// ErrNotFound is returned by Lift if no active entry has the fingerprint.
var ErrNotFound = errors.New("no request with this fingerprint is held back")

// Lift ends the quarantine of a request, which may then run again on all nodes.
func (q *Quarantine) Lift(fingerprint string) error {
	e, ok := q.allEntries()[fingerprint]
	if !ok || !e.isActive(q.unixMillis()) {
		return fmt.Errorf("lift %s: %w", fingerprint, ErrNotFound)
	}

	q.lift(e)

	return nil
}

// lift marks the entry lifted.
func (q *Quarantine) lift(e Record) {
	q.registry.Update(e.Fingerprint, Record.withLift)
	q.recorder.Record(spar.Event{Kind: spar.EventQuarantined, Service: e.Service, Detail: e.Fingerprint + " lifted"})
	q.enqueue(e.Fingerprint, true)
}

// allEntries returns all entries. It first merges the replica's rows if the replica has changed.
func (q *Quarantine) allEntries() map[string]Record {
	v := q.replica.View()
	if q.mergedView.Load() == v {
		return q.registry.All()
	}

	for _, r := range v.Rows(fleet.PrefixQuarantine) {
		if e, ok := decode(r); ok {
			q.registry.Merge(e)
		}
	}

	q.mergedView.Store(v)

	return q.registry.All()
}
