package crash

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"io"
	"maps"
	"math"
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
	// digest is the last result of Digest.
	digest atomic.Pointer[digest]
}

// digest identifies the entries of a map until the first of them expires.
type digest struct {
	entries *map[string]Record
	untilMs int64
	value   uint64
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

	return r.mergeLocked(e)[0]
}

// MergeAll merges entries into the known ones and removes expired entries.
func (r *Registry) MergeAll(entries []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.mergeLocked(entries...)
}

// Update replaces the entry of a fingerprint by the result of f, which gets the known entry or an empty one, and
// returns it. It counts as newer than the known entry even if the clock of the node that wrote that one is ahead.
func (r *Registry) Update(fingerprint string, f func(known Record) Record) Record {
	r.mu.Lock()
	defer r.mu.Unlock()

	known := r.All()[fingerprint]
	e := f(known)
	e.ChangedMs = max(r.unixMillis(), known.ChangedMs+1)

	return r.mergeLocked(e)[0]
}

// mergeLocked merges entries into the known ones and returns the results.
func (r *Registry) mergeLocked(entries ...Record) []Record {
	next := maps.Clone(r.All())
	now := r.unixMillis()
	merged := make([]Record, 0, len(entries))

	for _, e := range entries {
		if known, ok := next[e.Fingerprint]; ok && known.UntilMs > now {
			e = known.merge(e)
		}

		next[e.Fingerprint] = e
		merged = append(merged, e)
	}

	maps.DeleteFunc(next, func(_ string, o Record) bool { return now >= o.UntilMs })

	for len(next) > maxEntries {
		delete(next, firstToExpire(next).Fingerprint)
	}

	r.entries.Store(&next)

	return merged
}

// firstToExpire returns the entry that expires first.
func firstToExpire(entries map[string]Record) Record {
	return slices.MinFunc(slices.Collect(maps.Values(entries)), func(a, b Record) int {
		return cmp.Compare(a.UntilMs, b.UntilMs)
	})
}

// Digest returns a number that differs between two registries with different entries, and 0 without entries.
func (r *Registry) Digest() uint64 {
	entries, now := r.entries.Load(), r.unixMillis()

	if d := r.digest.Load(); d != nil && d.entries == entries && now < d.untilMs {
		return d.value
	}

	list := r.Unexpired()
	d := &digest{entries: entries, untilMs: math.MaxInt64}
	h := fnv.New64a()

	for _, e := range list {
		_, _ = io.WriteString(h, e.Fingerprint)
		_ = binary.Write(h, binary.BigEndian, [...]int64{e.ChangedMs, int64(len(e.Victims))})
		d.untilMs = min(d.untilMs, e.UntilMs)
	}

	if len(list) > 0 {
		d.value = h.Sum64()
	}

	r.digest.Store(d)

	return d.value
}
