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

// copied is a book as it goes to another node. Base 0 says that no token was ever issued.
type copied struct {
	Base    spar.Epoch     `json:"base"`
	Version uint64         `json:"version"`
	Secret  []byte         `json:"secret,omitempty"`
	Issued  uint64         `json:"issued"`
	Dropped uint64         `json:"dropped"`
	Gap     bool           `json:"gap,omitempty"`
	Records []copiedRecord `json:"records,omitempty"`
}

// copiedRecord is an ended run. Without a result the run's result is unknown.
type copiedRecord struct {
	Number uint64  `json:"number"`
	Digest uint64  `json:"digest"`
	Result *stored `json:"result,omitempty"`
}

// Export returns the slot's records for another node. It returns nil while a run is in progress: a
// planned move waits for it to end.
func (l *Ledger) Export(service string, slot spar.Slot) json.RawMessage {
	l.mu.Lock()
	defer l.mu.Unlock()

	p := place{service, slot}
	b := l.books[p]

	// A slot that was received and got no call since is still staged.
	if s := l.staged[p]; s != nil && (b == nil || s.epoch > b.epoch) {
		b = s
	}

	if b == nil || b.base == 0 {
		return encode(copied{})
	}

	if b.running > 0 {
		return nil
	}

	out := copied{
		Base: b.base, Version: b.version, Secret: b.secret[:], Issued: b.issued, Dropped: b.dropped, Gap: b.gap,
	}

	for _, r := range b.sorted() {
		c := copiedRecord{Number: r.number, Digest: r.digest}
		if r.state == stateCompleted {
			c.Result = &r.result
		}

		out.Records = append(out.Records, c)
	}

	return encode(out)
}

func encode(c copied) json.RawMessage {
	data, err := json.Marshal(c)
	if err != nil {
		panic("ledger: records can't be encoded: " + err.Error())
	}

	return data
}

// Import stages the records of a slot that this node is to own at epoch. They take effect once the
// slot is used under an assignment of that epoch and of their base.
func (l *Ledger) Import(service string, slot spar.Slot, epoch spar.Epoch, data json.RawMessage) error {
	c, err := l.decode(data)
	if err != nil {
		return fmt.Errorf("import records of slot %d of %s: %w", slot, service, err)
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	p := place{service, slot}

	if b := l.books[p]; b != nil && b.epoch >= epoch {
		return fmt.Errorf("import records of slot %d of %s: epoch %d is over", slot, service, epoch)
	}

	if s := l.staged[p]; s != nil && (s.epoch > epoch || s.epoch == epoch && s.version > c.Version) {
		return fmt.Errorf("import records of slot %d of %s: newer ones are staged", slot, service)
	}

	l.staged[p] = c.book(epoch)

	return nil
}

// Drop forgets the slot's records after it has gone to another node. Should the slot be used under
// the same assignment all the same, its earlier tokens count as unknown.
func (l *Ledger) Drop(service string, slot spar.Slot) {
	l.mu.Lock()
	defer l.mu.Unlock()

	p := place{service, slot}
	b := l.books[p]

	delete(l.staged, p)

	if b == nil {
		return
	}

	l.forget(b)
	l.books[p] = newBook(spar.Assignment{Epoch: b.epoch, Base: b.base}, true)
}

func (l *Ledger) decode(data json.RawMessage) (copied, error) {
	var c copied

	// Null is what a running record leaves of an export, or no ledger at all; it is not empty.
	if string(bytes.TrimSpace(data)) == "null" {
		return copied{}, errors.New("no records")
	}

	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()

	if err := d.Decode(&c); err != nil {
		return copied{}, fmt.Errorf("decode: %w", err)
	}

	if d.More() {
		return copied{}, errors.New("data after the end")
	}

	return c, c.check(l.limits)
}

func (c copied) check(limits Limits) error {
	switch {
	case c.Base == 0 && (c.Issued != 0 || c.Dropped != 0 || len(c.Records) != 0 || len(c.Secret) != 0):
		return errors.New("records without a base epoch")
	case c.Base < 0:
		return errors.New("base epoch is negative")
	case c.Base > 0 && len(c.Secret) != secretBytes:
		return fmt.Errorf("secret must have %d bytes", secretBytes)
	case c.Dropped > c.Issued:
		return errors.New("dropped number was never issued")
	}

	var last uint64

	for _, r := range c.Records {
		if r.Number <= last || r.Number > c.Issued {
			return fmt.Errorf("number %d is out of order or was never issued", r.Number)
		}

		last = r.Number

		if err := r.check(limits); err != nil {
			return fmt.Errorf("record %d: %w", r.Number, err)
		}
	}

	return nil
}

func (r copiedRecord) check(limits Limits) error {
	if r.Result == nil {
		return nil
	}

	if r.Result.Status < http.StatusOK || r.Result.Status > 999 {
		return fmt.Errorf("status %d", r.Result.Status)
	}

	if len(r.Result.Body) > limits.Body || !r.Result.Kept && r.Result.size() > 0 {
		return errors.New("body is too large or should be missing")
	}

	if _, err := r.Result.header(); err != nil {
		return fmt.Errorf("header: %w", err)
	}

	return nil
}

func (c copied) book(epoch spar.Epoch) *book {
	if c.Base == 0 {
		return newBook(spar.Assignment{Epoch: epoch}, false)
	}

	b := &book{
		epoch: epoch, base: c.Base, issued: c.Issued, dropped: c.Dropped, version: c.Version, gap: c.Gap,
		secret: [secretBytes]byte(c.Secret), records: make(map[uint64]*record, len(c.Records)),
	}

	for _, r := range c.Records {
		kept := &record{book: b, number: r.Number, digest: r.Digest, state: stateUnknown}
		if r.Result != nil {
			kept.state, kept.result = stateCompleted, *r.Result
		}

		b.records[r.Number] = kept
	}

	return b
}

// sorted returns the records in the order of their numbers.
func (b *book) sorted() []*record {
	records := make([]*record, 0, len(b.records))
	for _, r := range b.records {
		records = append(records, r)
	}

	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.number, b.number) })

	return records
}
