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

// MethodPush tells peers of a changed entry.
const MethodPush = "crash.push"

const (
	// quarantineTime is long against a caller's resends; operators can lift earlier.
	quarantineTime spar.Millis = 600_000
	// suspectTime is how long a request with one victim is left to the entry node's further attempt.
	// After it, the next call is the further attempt: requests that were only in flight beside the
	// crashing one must not stay out of service for the whole quarantine.
	suspectTime spar.Millis = 10_000
	pushTimeout spar.Millis = 500
	mostVictims             = 2
	maxVictims              = 64
	// maxEntries bounds the memory; the oldest go first.
	maxEntries = 4096
)

// State says whether a call may run.
type State int

// The states of a call.
const (
	Free State = iota
	Suspected
	Quarantined
)

// Quarantine is one node's part of the fleet-wide quarantine.
type Quarantine struct {
	self    func() spar.NodeID
	replica *fleet.Replica
	table   spar.Table
	calls   peers.Caller
	clock   spar.Clock
	wall    func() int64
	record  spar.Recorder

	// seen is the replica's snapshot whose rows are merged in.
	seen    atomic.Pointer[fleet.View]
	entries atomic.Pointer[map[string]Entry]

	mu sync.Mutex
	// unwritten names the entries that the table lacks, and whether they must be pushed before.
	unwritten map[string]bool
	changed   chan struct{}
}

// New returns a quarantine that knows what the replica holds.
func New(
	self func() spar.NodeID, r *fleet.Replica, t spar.Table, calls peers.Caller, clock spar.Clock,
	wall func() int64, record spar.Recorder,
) *Quarantine {
	q := &Quarantine{
		self: self, replica: r, table: t, calls: calls, clock: clock, wall: wall, record: record,
		unwritten: map[string]bool{}, changed: make(chan struct{}, 1),
	}
	q.entries.Store(&map[string]Entry{})

	return q
}

// Register adds the method that peers call.
func (q *Quarantine) Register(m *peers.Mux) {
	peers.Handle(m, MethodPush, q.servePush)
}

func (q *Quarantine) servePush(_ context.Context, e Entry) (fleet.Empty, error) {
	if err := e.check(); err != nil {
		return fleet.Empty{}, err
	}

	q.merge(e)

	return fleet.Empty{}, nil
}

// State says whether the call may run now. A call that is let through although it is suspected is
// the further attempt; others are then held back again for a time.
func (q *Quarantine) State(c spar.Call) State {
	all := q.all()
	if len(all) == 0 {
		return Free
	}

	now := q.wall()

	e, ok := all[Fingerprint(c)]
	if !ok || !e.active(now) {
		return Free
	}

	switch {
	case e.quarantined():
		return Quarantined
	case c.Trial || now-e.Changed >= int64(suspectTime):
		return Free
	default:
		return Suspected
	}
}

// Late reports whether the call is suspected and no further attempt came in time, so that this call
// is the further attempt. It tells the peers, so that they hold back others.
func (q *Quarantine) Late(ctx context.Context, c spar.Call) bool {
	all := q.all()
	if len(all) == 0 {
		return false
	}

	now := q.wall()

	e, ok := all[Fingerprint(c)]
	if !ok || !e.active(now) || e.quarantined() || now-e.Changed < int64(suspectTime) {
		return false
	}

	e.Changed = now
	q.push(ctx, q.merge(e))

	return true
}

// Crashed notes that the call crashed this node's backend server. It reports whether the entry node
// may try the call on one more. The peers know of it when Crashed returns, as far as they answer.
func (q *Quarantine) Crashed(ctx context.Context, c spar.Call) bool {
	now := q.wall()
	path, _, _ := strings.Cut(c.URI, "?")
	e := Entry{
		Fingerprint: Fingerprint(c), Service: c.Service.Name, Method: c.Method, Path: path,
		Idempotent: c.Idempotent, Victims: []spar.NodeID{q.self()}, Changed: now, Until: now + int64(quarantineTime),
	}

	before := q.all()[e.Fingerprint]
	known := before.active(now) && slices.Contains(before.Victims, q.self())

	e = q.merge(e)
	q.record.Record(spar.Event{Kind: spar.EventQuarantined, Service: e.Service, Request: c.ID, Detail: e.Fingerprint})
	q.push(ctx, e)

	q.note(e.Fingerprint, false)

	return !known && !e.quarantined()
}

// Clear lifts the suspicion after a further attempt that crashed nothing.
func (q *Quarantine) Clear(c spar.Call) {
	fingerprint := Fingerprint(c)

	if e, ok := q.all()[fingerprint]; ok && e.active(q.wall()) && !e.quarantined() {
		q.lift(e)
	}
}

// List returns the requests held back at present, in the order of their fingerprints.
func (q *Quarantine) List() []Entry {
	now := q.wall()
	active := slices.Collect(maps.Values(q.all()))
	active = slices.DeleteFunc(active, func(e Entry) bool { return !e.active(now) })
	slices.SortFunc(active, func(a, b Entry) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })

	return active
}

// ErrNotFound says that a fingerprint is not held back.
var ErrNotFound = errors.New("no request with this fingerprint is held back")

// Lift lets a request run again on all nodes.
func (q *Quarantine) Lift(fingerprint string) error {
	e, ok := q.all()[fingerprint]
	if !ok || !e.active(q.wall()) {
		return fmt.Errorf("lift %s: %w", fingerprint, ErrNotFound)
	}

	q.lift(e)

	return nil
}

func (q *Quarantine) lift(e Entry) {
	e.Changed, e.Lifted, e.Victims = max(q.wall(), e.Changed+1), true, nil

	q.merge(e)
	q.record.Record(spar.Event{Kind: spar.EventQuarantined, Service: e.Service, Detail: e.Fingerprint + " lifted"})
	q.note(e.Fingerprint, true)
}

// all returns the entries, with the replica's rows merged in.
func (q *Quarantine) all() map[string]Entry {
	v := q.replica.View()
	if q.seen.Load() == v {
		return *q.entries.Load()
	}

	for _, r := range v.Rows(fleet.PrefixQuarantine) {
		if e, ok := decode(r); ok {
			q.merge(e)
		}
	}

	q.seen.Store(v)

	return *q.entries.Load()
}

// merge takes an entry over and returns what is then known.
func (q *Quarantine) merge(e Entry) Entry {
	q.mu.Lock()
	defer q.mu.Unlock()

	old := *q.entries.Load()

	if known, ok := old[e.Fingerprint]; ok && known.Until > q.wall() {
		e = known.merge(e)
	}

	next := maps.Clone(old)
	next[e.Fingerprint] = e
	now := q.wall()

	maps.DeleteFunc(next, func(_ string, o Entry) bool { return now >= o.Until })

	if len(next) > maxEntries {
		oldest := slices.MinFunc(slices.Collect(maps.Values(next)), func(a, b Entry) int { return int(a.Until - b.Until) })
		delete(next, oldest.Fingerprint)
	}

	q.entries.Store(&next)

	return e
}
