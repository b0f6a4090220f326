package crash

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// maxEntries bounds the memory of a registry. The entry that expires first is evicted.
const maxEntries = 4096

// Registry is one node's copy of the entries that all nodes share. It decides nothing: it merges entries, in any
// order, and drops expired ones.
type Registry struct {
	unixMillis func() int64

	// mu is held while entries are replaced.
	mu      sync.Mutex
	entries atomic.Pointer[map[string]Record]
}

// NewRegistry returns an empty registry.
func NewRegistry(unixMillis func() int64) *Registry {
	r := &Registry{unixMillis: unixMillis}
	r.entries.Store(&map[string]Record{})

	return r
}

// Empty reports whether the registry has no entries.
func (r *Registry) Empty() bool {
	return len(*r.entries.Load()) == 0
}

// All returns all entries by fingerprint, expired and lifted ones included. The map must not be modified.
func (r *Registry) All() map[string]Record {
	return *r.entries.Load()
}

// Unexpired returns the entries that have not expired, lifted ones included, sorted by fingerprint.
func (r *Registry) Unexpired() []Record {
	now := r.unixMillis()
	list := slices.Collect(maps.Values(r.All()))
	list = slices.DeleteFunc(list, func(e Record) bool { return now >= e.UntilMs })
	slices.SortFunc(list, func(a, b Record) int { return strings.Compare(a.Fingerprint, b.Fingerprint) })

	return list
}

// Merge merges an entry into the known ones and returns the result. It also removes expired entries.
func (r *Registry) Merge(e Record) Record {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.mergeLocked(e)
}

// Update replaces the entry of a fingerprint by the result of f, which gets the known entry or an empty one. The
// result counts as newer than the known entry even if the clock of the node that wrote that one is ahead.
func (r *Registry) Update(fingerprint string, f func(known Record) Record) Record {
	r.mu.Lock()
	defer r.mu.Unlock()

	known := r.All()[fingerprint]
	e := f(known)
	e.ChangedMs = max(r.unixMillis(), known.ChangedMs+1)

	return r.mergeLocked(e)
}

func (r *Registry) mergeLocked(e Record) Record {
	old := *r.entries.Load()
	now := r.unixMillis()

	if known, ok := old[e.Fingerprint]; ok && known.UntilMs > now {
		e = known.merge(e)
	}

	next := maps.Clone(old)
	next[e.Fingerprint] = e

	maps.DeleteFunc(next, func(_ string, o Record) bool { return now >= o.UntilMs })

	if len(next) > maxEntries {
		firstToExpire := slices.MinFunc(slices.Collect(maps.Values(next)), func(a, b Record) int {
			return int(a.UntilMs - b.UntilMs)
		})
		delete(next, firstToExpire.Fingerprint)
	}

	r.entries.Store(&next)

	return e
}
