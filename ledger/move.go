package ledger

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

	spar "sardinespar.example/spar"
)

// exportedSlot is the encoded form of a slot's records, which another node imports. Base 0 means
// that no token was ever issued. Gap means that records of the base epoch are missing.
type exportedSlot struct {
	Base    spar.Epoch       `json:"base"`
	Version uint64           `json:"version"`
	Secret  []byte           `json:"secret,omitempty"`
	Issued  uint64           `json:"issued"`
	Dropped uint64           `json:"dropped"`
	Gap     bool             `json:"gap,omitempty"`
	Records []exportedRecord `json:"records,omitempty"`
}

// exportedRecord is the record of an ended run. Without a result the run's outcome is unknown.
type exportedRecord struct {
	Number uint64        `json:"number"`
	Digest uint64        `json:"digest"`
	Result *storedResult `json:"result,omitempty"`
}

// Export returns the slot's records for another node. It returns nil while a run is in progress; a
// planned move waits until the run has ended.
func (l *Ledger) Export(service string, slot spar.Slot) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()

	id := slotID{service, slot}
	sl := l.active[id]

	// A slot that was imported and has had no call since is still staged.
	if s := l.staged[id]; s != nil && (sl == nil || s.epoch > sl.epoch) {
		sl = s
	}

	if sl == nil || sl.base == 0 {
		return encode(exportedSlot{})
	}

	if sl.activeRuns > 0 {
		return nil
	}

	out := exportedSlot{
		Base: sl.base, Version: sl.version, Secret: sl.secret[:], Issued: sl.issued, Dropped: sl.dropped, Gap: sl.incomplete,
	}

	for _, r := range sl.sorted() {
		c := exportedRecord{Number: r.number, Digest: r.digest}
		if r.state == stateCompleted {
			c.Result = &r.result
		}

		out.Records = append(out.Records, c)
	}

	return encode(out)
}

func encode(c exportedSlot) json.RawMessage {
	data, err := json.Marshal(c)
	if err != nil {
		panic("ledger: encode records: " + err.Error())
	}

	return data
}

// Import stages the records of a slot that this node will own at epoch. They take effect once the
// slot is used under an assignment with that epoch and the base epoch of the records.
func (l *Ledger) Import(service string, slot spar.Slot, epoch spar.Epoch, data json.RawMessage) error {
	exported, err := l.decode(data)
	if err != nil {
		return fmt.Errorf("import records of slot %d of %s: %w", slot, service, err)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	id := slotID{service, slot}

	if sl := l.active[id]; sl != nil && sl.epoch >= epoch {
		return fmt.Errorf("import records of slot %d of %s: epoch %d is over", slot, service, epoch)
	}

	if s := l.staged[id]; s != nil && (s.epoch > epoch || s.epoch == epoch && s.version > exported.Version) {
		return fmt.Errorf("import records of slot %d of %s: newer ones are staged", slot, service)
	}

	l.staged[id] = exported.newSlotLedger(epoch)

	return nil
}

// Drop removes the slot's records after the slot has moved to another node. If the slot is still
// used under the same assignment, its earlier tokens have an unknown outcome.
func (l *Ledger) Drop(service string, slot spar.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()

	id := slotID{service, slot}
	sl := l.active[id]

	delete(l.staged, id)

	if sl == nil {
		return
	}

	l.untrack(sl)
	l.active[id] = newSlotLedger(spar.Assignment{Epoch: sl.epoch, Base: sl.base}, true)
}

func (l *Ledger) decode(data json.RawMessage) (exportedSlot, error) {
	var exported exportedSlot

	// Null means that the sender has no ledger or that a run was in progress during the export. It
	// must not be treated as an empty set of records.
	if string(bytes.TrimSpace(data)) == "null" {
		return exportedSlot{}, errors.New("no records")
	}

	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()

	if err := d.Decode(&exported); err != nil {
		return exportedSlot{}, fmt.Errorf("decode: %w", err)
	}

	if d.More() {
		return exportedSlot{}, errors.New("data after the end")
	}

	return exported, exported.check(l.limits)
}

// check validates data from another node.
func (s exportedSlot) check(limits Limits) error {
	switch {
	case s.Base == 0 && (s.Issued != 0 || s.Dropped != 0 || len(s.Records) != 0 || len(s.Secret) != 0):
		return errors.New("records without a base epoch")
	case s.Base < 0:
		return errors.New("base epoch is negative")
	case s.Base > 0 && len(s.Secret) != secretBytes:
		return fmt.Errorf("secret must have %d bytes", secretBytes)
	case s.Dropped > s.Issued:
		return errors.New("dropped number was never issued")
	}

	var last uint64

	for _, r := range s.Records {
		if r.Number <= last || r.Number > s.Issued {
			return fmt.Errorf("number %d is out of order or was never issued", r.Number)
		}

		last = r.Number

		if err := r.check(limits); err != nil {
			return fmt.Errorf("record %d: %w", r.Number, err)
		}
	}

	return nil
}

func (r exportedRecord) check(limits Limits) error {
	if r.Result == nil {
		return nil
	}

	if r.Result.Status < http.StatusOK || r.Result.Status > 999 {
		return fmt.Errorf("status %d", r.Result.Status)
	}

	if len(r.Result.Body) > limits.MaxBodyBytes || !r.Result.Kept && r.Result.size() > 0 {
		return errors.New("body is too large or should be missing")
	}

	if _, err := r.Result.header(); err != nil {
		return fmt.Errorf("header: %w", err)
	}

	return nil
}

// newSlotLedger returns the records in the form that the ledger holds.
func (s exportedSlot) newSlotLedger(epoch spar.Epoch) *slotLedger {
	if s.Base == 0 {
		return newSlotLedger(spar.Assignment{Epoch: epoch}, false)
	}

	sl := &slotLedger{
		epoch: epoch, base: s.Base, issued: s.Issued, dropped: s.Dropped, version: s.Version, incomplete: s.Gap,
		secret: [secretBytes]byte(s.Secret), records: make(map[uint64]*record, len(s.Records)),
	}

	for _, r := range s.Records {
		rec := &record{parent: sl, number: r.Number, digest: r.Digest, state: stateUnknown}
		if r.Result != nil {
			rec.state, rec.result = stateCompleted, *r.Result
		}

		sl.records[r.Number] = rec
	}

	return sl
}

// sorted returns the records in the order of their token numbers.
func (sl *slotLedger) sorted() []*record {
	records := make([]*record, 0, len(sl.records))
	for _, r := range sl.records {
		records = append(records, r)
	}

	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.number, b.number) })

	return records
}
