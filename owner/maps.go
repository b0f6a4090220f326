package owner

import (
	"encoding/json"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Maps are the newest known maps of all services.
type Maps struct {
	mu      sync.Mutex
	byName  map[string]versioned
	changed chan struct{}
	// early are notices whose base has not come yet, by their base's revision, which no two maps share.
	early map[spar.Revision]mapNotice
}

// mostEarly bounds the notices that wait for their base.
const mostEarly = 32

// NewMaps returns no maps.
func NewMaps() *Maps {
	return &Maps{byName: map[string]versioned{}, changed: make(chan struct{}), early: map[spar.Revision]mapNotice{}}
}

// Find returns the owner of a service's key.
func (m *Maps) Find(service string, key int) (keymap.Range, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.byName[service].Map.Find(key)
}

// Revision returns the revision of a service's map.
func (m *Maps) Revision(service string) spar.Revision {
	return m.get(service).Revision
}

// Ranges returns the owned ranges of a service.
func (m *Maps) Ranges(service string) []keymap.Range {
	return m.get(service).Map.Ranges
}

// Changed is closed at the next change of any map.
func (m *Maps) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.changed
}

func (m *Maps) get(service string) versioned {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.byName[service]
}

// put takes a map if it is newer than the known one.
func (m *Maps) put(service string, v versioned) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.putLocked(service, v)
}

func (m *Maps) putLocked(service string, v versioned) bool {
	if v.Revision <= m.byName[service].Revision {
		return false
	}

	m.byName[service] = v
	close(m.changed)
	m.changed = make(chan struct{})

	if n, ok := m.early[v.Revision]; ok && n.Service == service {
		delete(m.early, v.Revision)
		m.putLocked(service, n.after(v))
	}

	return true
}

// change takes a notice. One whose base has not come yet waits for it.
func (m *Maps) change(n mapNotice) bool {
	m.mu.Lock()
	defer m.mu.Unlock()

	known := m.byName[n.Service]

	switch {
	case n.Base == known.Revision:
		return m.putLocked(n.Service, n.after(known))
	case n.Base > known.Revision && len(m.early) < mostEarly:
		m.early[n.Base] = n
	case n.Base > known.Revision:
		clear(m.early)
	}

	return false
}

// after returns the map that a notice leads to.
func (n mapNotice) after(base versioned) versioned {
	return versioned{Revision: n.Revision, Map: base.Map.With(n.Change)}
}

// decodeMap reads the row of a map.
func decodeMap(row spar.Row) (versioned, error) {
	v := versioned{Revision: row.Revision}
	if err := json.Unmarshal(row.Value, &v.Map); err != nil {
		return versioned{}, err
	}

	return v, nil
}
