// Package event records the time line of one node and merges those of several nodes.
package event

import (
	"maps"
	"sync"

	spar "sardinespar.example/spar"
)

// Ring is a ring buffer of the newest events of one node, with timestamps of a hybrid logical clock.
type Ring struct {
	wall func() int64

	mu      sync.Mutex
	node    spar.NodeID
	last    spar.Timestamp
	events  []spar.Event
	next    int
	full    bool
	counts  map[spar.EventKind]int64
	dropped int64
}

// NewRing returns a ring for size events. The function wall returns the time of the wall clock in milliseconds.
func NewRing(size int, wall func() int64) *Ring {
	return &Ring{wall: wall, events: make([]spar.Event, size), counts: map[spar.EventKind]int64{}}
}

// SetNode sets the node id for later events that name no node.
func (r *Ring) SetNode(id spar.NodeID) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.node = id
}

// Record adds e with the next timestamp, in place of the oldest event if the ring is full.
func (r *Ring) Record(e spar.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.last = r.tick(r.last)
	e.Timestamp = r.last

	if e.Node == "" {
		e.Node = r.node
	}

	r.counts[e.Kind]++

	if r.full {
		r.dropped++
	}

	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
	r.full = r.full || r.next == 0
}

// Counts returns how many events of each kind have been recorded.
func (r *Ring) Counts() map[spar.EventKind]int64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return maps.Clone(r.counts)
}

// Dropped returns how many events have been replaced by newer ones.
func (r *Ring) Dropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.dropped
}

// Observe advances the clock past a timestamp received from another process.
func (r *Ring) Observe(t spar.Timestamp) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.last.Less(t) {
		r.last = t
	}

	r.last = r.tick(r.last)
}

// Now returns the next timestamp, for an outgoing message.
func (r *Ring) Now() spar.Timestamp {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.last = r.tick(r.last)

	return r.last
}

// Events returns the kept events, oldest first.
func (r *Ring) Events() []spar.Event {
	r.mu.Lock()
	defer r.mu.Unlock()

	if !r.full {
		return append([]spar.Event(nil), r.events[:r.next]...)
	}

	return append(append([]spar.Event(nil), r.events[r.next:]...), r.events[:r.next]...)
}

// tick returns the timestamp after last: the time of the wall clock, or the same time with a higher counter if the
// wall clock is not ahead.
func (r *Ring) tick(last spar.Timestamp) spar.Timestamp {
	if wall := r.wall(); wall > last.Wall {
		return spar.Timestamp{Wall: wall}
	}

	return spar.Timestamp{Wall: last.Wall, Counter: last.Counter + 1}
}
