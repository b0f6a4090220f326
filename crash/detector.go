package crash

import (
	"fmt"
	"strings"

	spar "sardinespar.example/spar"
)

const (
	// A request that was in flight when minVictims servers crashed is quarantined for firstQuarantine. Requests that
	// were merely in flight beside the one at fault complete when they run after that.
	minVictims                  = 2
	firstQuarantine spar.Millis = 30_000
	// A request with confirmedVictims is quarantined until its entry expires.
	confirmedVictims = 3
	// suspicionAge is the age at which the entry of a request with one victim expires, and quarantineAge that of the
	// others.
	suspicionAge  spar.Millis = 3_600_000
	quarantineAge spar.Millis = 24 * 3_600_000
	// maxPathBytes bounds the path in an entry, which only describes the request. The fingerprint covers all of it.
	maxPathBytes = 256
)

// Request is what identifies a request that callers may send again, to any node.
type Request struct {
	Service string
	Host    string
	Method  string
	URI     string
	Body    []byte
}

// Fingerprint returns the identifier of the request. Headers are left out, because they differ between attempts and
// between the nodes that receive them.
func (r Request) Fingerprint() string {
	return hashRequest(strings.Join([]string{r.Service, r.Host, r.Method, r.URI}, "\n"), r.Body)
}

// Detector finds the requests that crash backend servers and quarantines them. A request is suspected of each crash
// that happened while it was in flight at the server that crashed. A request that completes is no longer suspected.
// The caller exchanges the entries with the other nodes; a Backup keeps them in the table.
type Detector struct {
	registry   *Registry
	unixMillis func() int64
}

// NewDetector returns a detector without entries.
func NewDetector(unixMillis func() int64) *Detector {
	return &Detector{registry: NewRegistry(unixMillis), unixMillis: unixMillis}
}

// Quarantined reports whether a request must not run now, and the time until it may.
func (d *Detector) Quarantined(r Request) (spar.Millis, bool) {
	if d.registry.Empty() {
		return 0, false
	}

	e, ok := d.registry.All()[r.Fingerprint()]
	if !ok {
		return 0, false
	}

	remaining := spar.Millis(e.quarantineEnd() - d.unixMillis())

	return remaining, remaining > 0
}

// quarantineEnd returns the end of the quarantine in Unix milliseconds, or 0 if there is none.
func (e Record) quarantineEnd() int64 {
	switch n := len(e.Victims); {
	case e.Lifted || n < minVictims:
		return 0
	case n < confirmedVictims:
		return e.ChangedMs + int64(firstQuarantine)
	default:
		return e.UntilMs
	}
}

// RecordCrash records that a backend server crashed while the requests were in flight there, and returns their
// entries. victim identifies the incarnation of the server.
func (d *Detector) RecordCrash(victim spar.NodeID, requests []Request) []Record {
	changed := make([]Record, 0, len(requests))

	for _, r := range requests {
		path, _, _ := strings.Cut(r.URI, "?")
		fingerprint := r.Fingerprint()

		changed = append(changed, d.registry.Update(fingerprint, func(known Record) Record {
			e := Record{
				Fingerprint: fingerprint, Service: r.Service, Method: r.Method, Path: path[:min(len(path), maxPathBytes)],
				Victims: []spar.NodeID{victim}, UntilMs: d.unixMillis() + int64(suspicionAge),
			}

			if !known.Lifted && len(known.Victims) > 0 && known.UntilMs > d.unixMillis() {
				e = known.merge(e)
			}

			if len(e.Victims) >= minVictims {
				e.UntilMs = d.unixMillis() + int64(quarantineAge)
			}

			return e
		}))
	}

	return changed
}

// RecordCompletion ends the suspicion of a request that completed. It reports whether the request was suspected.
func (d *Detector) RecordCompletion(r Request) bool {
	if d.registry.Empty() {
		return false
	}

	fingerprint := r.Fingerprint()
	if e, ok := d.registry.All()[fingerprint]; !ok || e.Lifted {
		return false
	}

	d.registry.Update(fingerprint, Record.withLift)

	return true
}

// Merge merges the entries of another node. It returns an error if one of them is invalid; the others are merged.
func (d *Detector) Merge(entries []Record) error {
	var invalid error

	valid := make([]Record, 0, len(entries))

	for _, e := range entries {
		if err := e.validate(quarantineAge); err != nil {
			invalid = fmt.Errorf("entry of request %.40q: %w", e.Path, err)

			continue
		}

		valid = append(valid, e)
	}

	d.registry.MergeAll(valid)

	return invalid
}

// Entries returns the entries that have not expired.
func (d *Detector) Entries() []Record {
	return d.registry.Unexpired()
}

// Digest returns a number that differs between two nodes with different entries, and 0 without entries.
func (d *Detector) Digest() uint64 {
	return d.registry.Digest()
}
