// Package crash quarantines requests that crash backend servers, so that they do not crash the others as well.
// Quarantine shares its entries through the table, and Detector leaves sharing them to its caller.
//
// With Quarantine, a request whose connection broke because the backend server crashed gets a quarantine entry, which
// all nodes receive. The entry node, to which the caller sent the request, may try an idempotent request on one further
// backend server; until that attempt has a result, the request is suspected and nodes refuse other calls of it.
// After the second crash, or the first one of a request that is not idempotent, the request is quarantined: all
// nodes refuse it until the entry expires or is lifted.
package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"slices"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

const fingerprintBytes = 16

// Record is the quarantine entry of one suspected or quarantined request. Times are Unix milliseconds, because
// all nodes compare them. Victims are the nodes whose backend servers the request has crashed.
type Record struct {
	Fingerprint string        `json:"fingerprint"`
	Service     string        `json:"service"`
	Method      string        `json:"method"`
	Path        string        `json:"path"`
	Idempotent  bool          `json:"idempotent"`
	Victims     []spar.NodeID `json:"victims"`
	ChangedMs   int64         `json:"changed_ms"`
	UntilMs     int64         `json:"until_ms"`
	Lifted      bool          `json:"lifted"`
}

// Fingerprint identifies a request by its service, method, path and body. Headers are left out, because
// callers may change them with each resend.
func Fingerprint(c spar.Call) string {
	path, _, _ := strings.Cut(c.URI, "?")

	return hashRequest(c.Service.Name+"\n"+c.Method+" "+path, c.Body)
}

// hashRequest returns the fingerprint of a request with the given description and body.
func hashRequest(description string, body []byte) string {
	h := sha256.New()
	_, _ = h.Write([]byte(description + "\n"))
	_, _ = h.Write(body)

	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// Key returns the row key of a fingerprint.
func Key(fingerprint string) string {
	return fleet.PrefixQuarantine + fingerprint
}

// isQuarantined reports whether the request gets no further attempt: it has crashed one backend server and is
// not idempotent, or it has crashed two.
func (e Record) isQuarantined() bool {
	return len(e.Victims) >= quarantineVictims || !e.Idempotent
}

// isActive reports whether the entry has neither expired nor been lifted.
func (e Record) isActive(now int64) bool {
	return !e.Lifted && now < e.UntilMs
}

// merge returns the newer of two entries of a request. If neither is lifted, the result has the victims of both,
// since two nodes may report crashes at the same time.
func (e Record) merge(other Record) Record {
	if other.ChangedMs > e.ChangedMs || other.ChangedMs == e.ChangedMs && e.Lifted {
		e, other = other, e
	}

	if e.Lifted || other.Lifted {
		return e
	}

	victims := slices.Concat(e.Victims, other.Victims)
	slices.Sort(victims)

	e.Victims = slices.Compact(victims)
	e.UntilMs = max(e.UntilMs, other.UntilMs)

	return e
}

// withLift returns a copy of e that is lifted.
func (e Record) withLift() Record {
	e.Lifted, e.Victims = true, nil

	return e
}

// validate returns an error for an entry that no node can have written, if nodes write entries that expire after
// at most maxAge.
func (e Record) validate(maxAge spar.Millis) error {
	if raw, err := hex.DecodeString(e.Fingerprint); err != nil || len(raw) != fingerprintBytes {
		return errors.New("fingerprint is malformed")
	}

	if e.UntilMs-e.ChangedMs > int64(maxAge) || e.ChangedMs < 0 || len(e.Victims) > maxVictims {
		return errors.New("quarantine is too long or has too many victims")
	}

	return nil
}

// decode reads a row and reports whether it holds a valid entry under the right key.
func decode(r spar.Row) (Record, bool) {
	var e Record

	err := json.Unmarshal(r.Value, &e)

	return e, err == nil && e.validate(quarantineDuration) == nil && r.Key == Key(e.Fingerprint)
}
