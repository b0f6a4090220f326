package quota

import (
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// lostExpiry is how long a node that is not heard from keeps its share. Regions may lose each other for an hour, and
	// the nodes on both sides go on using their shares.
	lostExpiry spar.Millis = 2 * 3_600_000
	// leftExpiry is how long a node that left in order keeps its share, so that a restart changes no shares.
	leftExpiry spar.Millis = 600_000
	// unreadTime is how long after its start a node that could not read the table of nodes waits for the other nodes to
	// contact it, before it takes those that did for all.
	unreadTime spar.Millis = 20_000
)

// Roster counts the nodes that have a share of the limits, whether they are alive or not.
type Roster struct {
	started spar.Millis

	mu    sync.Mutex
	nodes map[string]rosterEntry
	// complete is true once the table of nodes has been read.
	complete bool
}

// rosterEntry is when a node was last heard from, or first known, and whether it was leaving then.
type rosterEntry struct {
	heard   spar.Millis
	leaving bool
}

// NewRoster returns a roster of a node that starts now.
func NewRoster(now spar.Millis) *Roster {
	return &Roster{started: now, nodes: map[string]rosterEntry{}}
}

// Complete records that the table of nodes has been read.
func (r *Roster) Complete() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.complete = true
}

// Add adds another node that was last heard from at the given time, or never if that is 0.
func (r *Roster) Add(node string, heard spar.Millis, leaving bool, now spar.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()

	e, ok := r.nodes[node]
	if !ok {
		e.heard = now
	}

	if heard > 0 && (heard >= e.heard || !ok) {
		e = rosterEntry{heard: heard, leaving: leaving}
	}

	r.nodes[node] = e
}

// Known returns the number of nodes including this one, or 0 if it is not known yet.
func (r *Roster) Known(now spar.Millis) int {
	r.mu.Lock()
	defer r.mu.Unlock()

	for node, e := range r.nodes {
		expiry := lostExpiry
		if e.leaving {
			expiry = leftExpiry
		}

		if now-e.heard > expiry {
			delete(r.nodes, node)
		}
	}

	if !r.complete && now-r.started < unreadTime {
		return 0
	}

	return len(r.nodes) + 1
}
