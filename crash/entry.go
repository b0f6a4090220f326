// Package crash keeps requests that crash their backend servers away from the others.
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

// Entry is one suspected or quarantined request. Times are wall-clock milliseconds, since they are
// compared on all nodes.
type Entry struct {
	Fingerprint string        `json:"fingerprint"`
	Service     string        `json:"service"`
	Method      string        `json:"method"`
	Path        string        `json:"path"`
	Idempotent  bool          `json:"idempotent"`
	Victims     []spar.NodeID `json:"victims"`
	Changed     int64         `json:"changed_ms"`
	Until       int64         `json:"until_ms"`
	Lifted      bool          `json:"lifted"`
}

// Fingerprint tells a request by service, method, path and body. Headers don't count: callers may
// change them with each resend.
func Fingerprint(c spar.Call) string {
	path, _, _ := strings.Cut(c.URI, "?")
	h := sha256.New()
	_, _ = h.Write([]byte(c.Service.Name + "\n" + c.Method + " " + path + "\n"))
	_, _ = h.Write(c.Body)

	return hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

// Key returns the row key of a fingerprint.
func Key(fingerprint string) string {
	return fleet.PrefixQuarantine + fingerprint
}

// quarantined reports whether the request is held back for good: it crashed the backend server that
// a non-idempotent one may have, or the two of an idempotent one.
func (e Entry) quarantined() bool {
	return len(e.Victims) >= mostVictims || !e.Idempotent
}

func (e Entry) active(now int64) bool {
	return !e.Lifted && now < e.Until
}

// merge returns the newer of two entries. Crashes that two nodes saw at once add up.
func (e Entry) merge(o Entry) Entry {
	if o.Changed > e.Changed || o.Changed == e.Changed && e.Lifted {
		e, o = o, e
	}

	if e.Lifted || o.Lifted {
		return e
	}

	victims := slices.Concat(e.Victims, o.Victims)
	slices.Sort(victims)

	e.Victims = slices.Compact(victims)
	e.Until = max(e.Until, o.Until)

	return e
}

// check refuses entries that no node of ours writes.
func (e Entry) check() error {
	if raw, err := hex.DecodeString(e.Fingerprint); err != nil || len(raw) != fingerprintBytes {
		return errors.New("fingerprint is malformed")
	}

	if e.Until-e.Changed > int64(quarantineTime) || e.Changed < 0 || len(e.Victims) > maxVictims {
		return errors.New("quarantine is too long or has too many victims")
	}

	return nil
}

func decode(r spar.Row) (Entry, bool) {
	var e Entry

	err := json.Unmarshal(r.Value, &e)

	return e, err == nil && e.check() == nil && r.Key == Key(e.Fingerprint)
}
