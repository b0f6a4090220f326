package fleet

import (
	"sync"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

// Replica holds the newest known snapshot of the table. A row never returns to an older revision.
type Replica struct {
	view atomic.Pointer[View]

	mu      sync.Mutex
	changed chan struct{}
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	r := &Replica{changed: make(chan struct{})}
	r.view.Store(newView())

	return r
}

// View returns the current snapshot.
func (r *Replica) View() *View {
	return r.view.Load()
}

// Merge adds those rows that are newer than the replica's, and reports whether a row changed. If rows include
// everything written after this replica's complete revision, complete is the revision up to which they do;
// otherwise it is 0.
func (r *Replica) Merge(rows []spar.Row, complete spar.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	next, changed := r.view.Load().with(rows, complete)
	r.view.Store(next)

	if changed {
		close(r.changed)
		r.changed = make(chan struct{})
	}

	return changed
}

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.changed
}
