package owner

import (
	"encoding/json"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Maps holds the newest known map of owners of each service.
type Maps struct {
	mu        sync.Mutex
	byService map[string]versioned
	changed   chan struct{}
	// pending are notifications whose base map has not arrived yet, by the base's revision. No two maps have the same
	// revision.
	pending map[spar.Revision]mapNotification
	// history has the last changes that led to the newest map of each service, in order and without gaps.
	history map[string][]mapNotification
}

const (
	// maxPending is the maximum number of notifications that wait for their base map.
	maxPending = 32
	// maxHistory is the maximum number of changes that are kept for peers that have missed them.
	maxHistory = 64
)

// NewMaps returns a Maps without any map.
func NewMaps() *Maps {
	return &Maps{
		byService: map[string]versioned{}, changed: make(chan struct{}), pending: map[spar.Revision]mapNotification{},
		history: map[string][]mapNotification{},
	}
}

// Find returns the owner of a service's key.
func (m *Maps) Find(service string, key int) (keymap.Range, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.byService[service].Map.Find(key)
}

// Revision returns the revision of a service's map.
func (m *Maps) Revision(service string) spar.Revision {
	return m.get(service).Revision
}

// Ranges returns the owned ranges of a service.
func (m *Maps) Ranges(service string) []keymap.Range {
	return m.get(service).Map.Ranges
}

// Changed returns a channel that is closed at the next change of any map.
func (m *Maps) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.changed
}

func (m *Maps) get(service string) versioned {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.byService[service]
}

// putIfNewer stores a map if it is newer than the known one, and reports whether it was. After a restore of the table,
// it stores only maps that were merged since: an older map that the restore brought back would undo moves. It stores no
// map that was merged without the known one, unless the time for merging it again is over.
func (m *Maps) putIfNewer(service string, v versioned) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.replaceLocked(service, v)
}

// replaceLocked stores a map that is newer than the known one and whose changes are not known.
func (m *Maps) replaceLocked(service string, v versioned) bool {
	if !m.putLocked(service, v) {
		return false
	}

	delete(m.history, service)
	m.applyPendingLocked(service)

	return true
}

func (m *Maps) putLocked(service string, v versioned) bool {
	known := m.byService[service]
	if v.Revision <= known.Revision || v.Map.Era != v.Revision.Era() {
		return false
	}

	if v.Revision.Era() > known.Revision.Era() && v.Map.Known < known.Revision && !v.Map.Settled() {
		return false
	}

	m.byService[service] = v
	close(m.changed)
	m.changed = make(chan struct{})

	return true
}

// applyPendingLocked applies the pending notifications whose bases have arrived.
func (m *Maps) applyPendingLocked(service string) {
	for {
		revision := m.byService[service].Revision

		n, ok := m.pending[revision]
		if !ok || n.Service != service {
			return
		}

		delete(m.pending, revision)

		if !m.advanceLocked(n, n.applyTo(m.byService[service])) {
			return
		}
	}
}

// advanceLocked stores the map that results from a change to the newest one, and adds the change to the history.
func (m *Maps) advanceLocked(n mapNotification, next versioned) bool {
	if !m.putLocked(n.Service, next) {
		return false
	}

	h := m.history[n.Service]
	if len(h) == maxHistory {
		h = slices.Delete(h, 0, 1)
	}

	m.history[n.Service] = append(h, n)

	return true
}

// putWritten stores a map that this node has written, which results from a change to its base.
func (m *Maps) putWritten(n mapNotification, v versioned) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	if m.byService[n.Service].Revision != n.Base {
		return m.replaceLocked(n.Service, v)
	}

	if !m.advanceLocked(n, v) {
		return false
	}

	m.applyPendingLocked(n.Service)

	return true
}

// applyNotification applies a change to its base map and reports whether the map changed. A notification that
// overtook that of its base map is kept until the base arrives.
func (m *Maps) applyNotification(n mapNotification) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	known := m.byService[n.Service]

	switch {
	case n.Base == known.Revision:
		if !m.advanceLocked(n, n.applyTo(known)) {
			return false
		}

		m.applyPendingLocked(n.Service)

		return true
	case n.Base > known.Revision && len(m.pending) < maxPending:
		m.pending[n.Base] = n
	case n.Base > known.Revision:
		clear(m.pending)
	}

	return false
}

// changesSince returns the changes that lead from a revision of a service's map to the newest one. It returns false if
// they are not known, or not shorter than the map.
func (m *Maps) changesSince(service string, revision spar.Revision) ([]mapNotification, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	known := m.byService[service]
	if revision == known.Revision {
		return nil, true
	}

	h := m.history[service]

	i := slices.IndexFunc(h, func(n mapNotification) bool { return n.Base == revision })
	if i < 0 {
		return nil, false
	}

	size := 0
	for _, n := range h[i:] {
		size += n.Change.Len()
	}

	return slices.Clone(h[i:]), size < len(known.Map.Ranges)
}

// applyTo returns the map that results from applying the change to its base.
func (n mapNotification) applyTo(base versioned) versioned {
	return versioned{Revision: n.Revision, Map: base.Map.WithChange(n.Change)}
}

// decodeMap decodes the row of a map.
func decodeMap(row spar.Row) (versioned, error) {
	v := versioned{Revision: row.Revision}
	if err := json.Unmarshal(row.Value, &v.Map); err != nil {
		return versioned{}, err
	}

	return v, nil
}
