package owner

import (
	"encoding/json"
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
}

// maxPending is the maximum number of notifications that wait for their base map.
const maxPending = 32

// NewMaps returns a Maps without any map.
func NewMaps() *Maps {
	return &Maps{
		byService: map[string]versioned{}, changed: make(chan struct{}), pending: map[spar.Revision]mapNotification{},
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

	return m.putLocked(service, v)
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

	if n, ok := m.pending[v.Revision]; ok && n.Service == service {
		delete(m.pending, v.Revision)
		m.putLocked(service, n.applyTo(v))
	}

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
		return m.putLocked(n.Service, n.applyTo(known))
	case n.Base > known.Revision && len(m.pending) < maxPending:
		m.pending[n.Base] = n
	case n.Base > known.Revision:
		clear(m.pending)
	}

	return false
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
