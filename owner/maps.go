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
}

// NewMaps returns no maps.
func NewMaps() *Maps {
	return &Maps{byName: map[string]versioned{}, changed: make(chan struct{})}
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

	if v.Revision <= m.byName[service].Revision {
		return false
	}

	m.byName[service] = v
	close(m.changed)
	m.changed = make(chan struct{})

	return true
}

// decodeMap reads the row of a map.
func decodeMap(row spar.Row) (versioned, error) {
	v := versioned{Revision: row.Revision}
	if err := json.Unmarshal(row.Value, &v.Map); err != nil {
		return versioned{}, err
	}

	return v, nil
}
