// Package table accesses the platform's transactional table service.
package table

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	spar "sardinespar.example/spar"
)

// Memory is a table in memory, for the platform's stand-in and for tests.
type Memory struct {
	mu       sync.Mutex
	rows     map[string]spar.Row
	revision spar.Revision
	era      int64
	now      func() spar.Millis
}

// NewMemory returns an empty table.
func NewMemory() *Memory {
	return &Memory{rows: map[string]spar.Row{}, now: func() spar.Millis { return 0 }}
}

// SetClock sets the monotonic clock whose time the table returns with rows and commits. It must be called before
// the first use.
func (m *Memory) SetClock(now func() spar.Millis) *Memory {
	m.now = now

	return m
}

// Snapshot is a copy of a table's rows at a version.
type Snapshot struct {
	rows     map[string]spar.Row
	revision spar.Revision
}

// Snapshot returns a copy of the table's rows.
func (m *Memory) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()

	return Snapshot{rows: maps.Clone(m.rows), revision: m.revision}
}

// Restore replaces the table's rows by those of a snapshot and begins a new era, in which the versions after that of
// the snapshot are issued again.
func (m *Memory) Restore(s Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.rows, m.revision = maps.Clone(s.rows), s.revision
	m.era++
}

// inEra returns the revision of a version in the current era. The revisions in m.rows are versions only.
func (m *Memory) inEra(version spar.Revision) spar.Revision {
	r, err := spar.NewRevision(m.era, int64(version))
	if err != nil {
		panic("table: " + err.Error())
	}

	return r
}

// Get returns a row and whether it exists. After a restore, the revision of a missing row and that of a rejected
// transaction have the era, which the client must remove, and conditions are compared without their era, as the
// platform does.
func (m *Memory) Get(_ context.Context, key string) (spar.Row, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	row, ok := m.rows[key]
	row.Revision = m.inEra(row.Revision)
	row.Now = m.now()

	return row, ok, nil
}

// Scan returns the rows with the given key prefix that were written after since, and the table's revision.
func (m *Memory) Scan(_ context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()

	var rows []spar.Row

	for key, row := range m.rows {
		row.Revision = m.inEra(row.Revision)
		if strings.HasPrefix(key, prefix) && row.Revision > since {
			rows = append(rows, row)
		}
	}

	slices.SortFunc(rows, func(a, b spar.Row) int { return strings.Compare(a.Key, b.Key) })

	return rows, m.inEra(m.revision), nil
}

// Commit applies the transaction if all its conditions hold.
func (m *Memory) Commit(_ context.Context, txn spar.Txn) spar.Commit {
	m.mu.Lock()
	defer m.mu.Unlock()

	for _, c := range txn.Conditions {
		if int64(m.rows[c.Key].Revision) != c.Revision.Version() {
			return spar.Commit{Verdict: spar.VerdictRejected, Conflict: c.Key, Revision: m.inEra(0)}
		}
	}

	m.revision++

	for _, w := range txn.Writes {
		if len(w.Value) == 0 || string(w.Value) == "null" {
			delete(m.rows, w.Key)

			continue
		}

		m.rows[w.Key] = spar.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: m.revision}
	}

	return spar.Commit{Verdict: spar.VerdictApplied, Revision: m.inEra(m.revision), Now: m.now()}
}
