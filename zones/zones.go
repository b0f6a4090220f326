// Package zones keeps which availability zones operators have withdrawn. Its knowledge comes from several sources,
// and only newer knowledge replaces what is known.
package zones

import (
	"hash/fnv"
	"io"
	"maps"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
)

// Change is a change of whether an availability zone is withdrawn, with its revision in the operators' table.
type Change struct {
	Zone      string
	Withdrawn bool
	Revision  spar.Revision
}

// Snapshot lists all withdrawn zones as of a revision.
type Snapshot struct {
	Withdrawn []string      `json:"withdrawn"`
	Revision  spar.Revision `json:"revision"`
}

// Set holds the withdrawn zones as of the newest known revision.
type Set struct {
	mu        sync.Mutex
	withdrawn map[string]bool
	revision  spar.Revision
	// retained are zones that were withdrawn before the table was restored, and that the restored table does not list.
	retained map[string]bool
}

// New returns an empty set as of revision 0.
func New() *Set {
	return &Set{withdrawn: map[string]bool{}}
}

// Withdrawn reports whether a zone is withdrawn.
func (z *Set) Withdrawn(zone string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()

	return z.withdrawn[zone] || z.retained[zone]
}

// Retained returns the zones that still count as withdrawn although the restored table does not list them, since the
// restore may have lost their rows before operators write them again.
func (z *Set) Retained() []string {
	z.mu.Lock()
	defer z.mu.Unlock()

	return slices.Sorted(maps.Keys(z.retained))
}

// Release ends the retention of zones.
func (z *Set) Release() {
	z.mu.Lock()
	defer z.mu.Unlock()

	z.retained = nil
}

// Snapshot returns all withdrawn zones of the table, without the retained ones.
func (z *Set) Snapshot() Snapshot {
	z.mu.Lock()
	defer z.mu.Unlock()

	return Snapshot{Withdrawn: slices.Sorted(maps.Keys(z.withdrawn)), Revision: z.revision}
}

// Replace applies a snapshot if it is newer than what is known. It reports whether the withdrawn zones changed. If the
// snapshot is of a later era, zones that it no longer lists are retained.
func (z *Set) Replace(s Snapshot) bool {
	z.mu.Lock()
	defer z.mu.Unlock()

	if s.Revision <= z.revision {
		return false
	}

	next := make(map[string]bool, len(s.Withdrawn))
	for _, zone := range s.Withdrawn {
		next[zone] = true
	}

	if s.Revision.Era() > z.revision.Era() {
		z.retainLocked(next)
	}

	return z.setLocked(next, s.Revision)
}

// retainLocked retains the withdrawn zones that are not in next.
func (z *Set) retainLocked(next map[string]bool) {
	retained := maps.Clone(z.retained)

	for zone := range z.withdrawn {
		if !next[zone] {
			if retained == nil {
				retained = map[string]bool{}
			}

			retained[zone] = true
		}
	}

	z.retained = retained
}

// Apply applies all changes up to a revision, as the store delivers them. Changes that are not newer than what is
// known are skipped. It reports whether the withdrawn zones changed.
func (z *Set) Apply(changes []Change) bool {
	z.mu.Lock()
	defer z.mu.Unlock()

	next, revision := maps.Clone(z.withdrawn), z.revision

	for _, c := range changes {
		if c.Revision <= z.revision {
			continue
		}

		revision = max(revision, c.Revision)
		delete(z.retained, c.Zone)

		if c.Withdrawn {
			next[c.Zone] = true
		} else {
			delete(next, c.Zone)
		}
	}

	return z.setLocked(next, revision)
}

func (z *Set) setLocked(next map[string]bool, revision spar.Revision) bool {
	changed := !maps.Equal(next, z.withdrawn)
	z.withdrawn, z.revision = next, revision

	return changed
}

// Digest returns a number that differs between two snapshots with different zones, and 0 if no zone is withdrawn.
func (s Snapshot) Digest() uint64 {
	if len(s.Withdrawn) == 0 {
		return 0
	}

	h := fnv.New64a()
	for _, zone := range s.Withdrawn {
		_, _ = io.WriteString(h, zone+"\n")
	}

	return h.Sum64()
}
