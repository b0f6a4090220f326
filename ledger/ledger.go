package ledger

import (
	"sync"

	spar "sardinespar.example/spar"
)

// Limits bound the memory and the lifetime of records.
type Limits struct {
	// Bytes bounds the memory of all records.
	Bytes int64
	// Body bounds the body of a result that is kept.
	Body int
	// Age is how long an ended run is remembered.
	Age spar.Millis
}

// DefaultLimits keeps records for as long as the longest deadline, and takes half of the 32 MB
// that control may cost on a node.
func DefaultLimits() Limits {
	return Limits{Bytes: 16 << 20, Body: 16 << 10, Age: 600_000}
}

// recordBytes is the memory of a record without its result: the struct, the map's and the queue's
// entries.
const recordBytes = 208

// Verdict says what may happen with a token.
type Verdict int

// The verdicts of Begin.
const (
	// Run permits the run; the caller must end it.
	Run Verdict = iota
	// Recorded returns the result of the run that the token permitted before.
	Recorded
	// Wait says that the token's run is in progress.
	Wait
	// Unknown says that the token may have run and will never run again.
	Unknown
	// Foreign says that the token was not issued for this slot, key or request; nothing ran.
	Foreign
	// Stale says that the slot was used under a later assignment already; nothing ran.
	Stale
)

// Entry is the verdict on a token with what it needs.
type Entry struct {
	Verdict Verdict
	Result  Result
	Done    <-chan struct{}
	Run     *Running
	Detail  string
}

// place names a slot of a service.
type place struct {
	service string
	slot    spar.Slot
}

// Ledger holds the records of the slots that a node owns.
type Ledger struct {
	clock  spar.Clock
	limits Limits

	mu     sync.Mutex
	books  map[place]*book
	staged map[place]*book
	// ended holds the ended records in the order in which they ended.
	ended []*record
	bytes int64
}

// New returns an empty ledger.
func New(clock spar.Clock, limits Limits) *Ledger {
	return &Ledger{clock: clock, limits: limits, books: map[place]*book{}, staged: map[place]*book{}}
}

// Usage is the number of ended records and the memory of all in bytes.
type Usage struct {
	Records int   `json:"records"`
	Bytes   int64 `json:"bytes"`
}

// Usage returns the present usage.
func (l *Ledger) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Usage{Records: len(l.ended), Bytes: l.bytes}
}

// Issue returns a new token for a key, given the slot's present assignment to this node.
func (l *Ledger) Issue(service string, slot spar.Slot, a spar.Assignment, key string) Token {
	l.mu.Lock()
	defer l.mu.Unlock()

	b := l.open(place{service, slot}, a)
	b.issued++
	b.version++

	return Token{Slot: slot, Base: b.base, Number: b.issued, Tag: b.tag(b.issued, key)}
}

// Begin decides on a token, given the slot's present assignment to this node. The digest tells the
// request from others, so that a token used for a second request doesn't get the first's answer.
func (l *Ledger) Begin(service string, slot spar.Slot, a spar.Assignment, key string, t Token, digest uint64) Entry {
	if t.Slot != slot {
		return Entry{Verdict: Foreign, Detail: "token is for another slot"}
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.expire()

	b := l.open(place{service, slot}, a)
	if b.epoch > a.Epoch {
		return Entry{Verdict: Stale}
	}

	if t.Base != a.Base {
		return Entry{Verdict: Unknown, Detail: "token is of another base epoch"}
	}

	if t.Tag != b.tag(t.Number, key) {
		if b.gap {
			return Entry{Verdict: Unknown, Detail: "records of the token's time are missing"}
		}

		return Entry{Verdict: Foreign, Detail: "token is for another key, or was not issued here"}
	}

	if r, ok := b.records[t.Number]; ok {
		return r.entry(digest)
	}

	if t.Number <= b.dropped || t.Number > b.issued {
		return Entry{Verdict: Unknown, Detail: "the token's record was dropped"}
	}

	r := &record{book: b, number: t.Number, digest: digest}
	b.records[t.Number] = r
	b.running++
	b.version++
	l.bytes += recordBytes

	return Entry{Verdict: Run, Run: &Running{ledger: l, record: r}}
}

func (r *record) entry(digest uint64) Entry {
	if r.digest != digest {
		return Entry{Verdict: Foreign, Detail: "token was used for another request"}
	}

	switch r.state {
	case stateCompleted:
		return Entry{Verdict: Recorded, Result: r.result.unpack()}
	case stateUnknown:
		return Entry{Verdict: Unknown, Detail: "the run's result is unknown"}
	default:
		if r.waiters == nil {
			r.waiters = make(chan struct{})
		}

		return Entry{Verdict: Wait, Done: r.waiters}
	}
}

// open returns the slot's book under an assignment: the present one, the one staged for it, or a
// new one. A new one in the middle of a base lacks the records since that base. A call that was
// delayed and comes with an earlier assignment must not replace the present book.
func (l *Ledger) open(p place, a spar.Assignment) *book {
	b, staged := l.books[p], l.staged[p]
	if b != nil && (b.epoch > a.Epoch || b.epoch == a.Epoch && b.base == a.Base) {
		return b
	}

	l.forget(b)

	switch {
	case staged != nil && staged.epoch == a.Epoch && (staged.base == a.Base || staged.base == 0):
		b = staged
		b.base = a.Base
		l.adopt(b)
	default:
		b = newBook(a, a.Base != a.Epoch)
	}

	if staged != nil && staged.epoch <= a.Epoch {
		delete(l.staged, p)
	}

	l.books[p] = b

	return b
}

// Running is a run in progress. Exactly one of its methods must be called; later calls do nothing.
type Running struct {
	ledger *Ledger
	record *record
	once   sync.Once
}

// Complete keeps the result. One that is too large is remembered without header and body.
func (r *Running) Complete(result Result) {
	if len(result.Body) > r.ledger.limits.Body {
		result = Result{Status: result.Status}
	}

	r.once.Do(func() { r.ledger.end(r.record, stateCompleted, pack(result)) })
}

// Unknown remembers that the run may have happened.
func (r *Running) Unknown() {
	r.once.Do(func() { r.ledger.end(r.record, stateUnknown, stored{}) })
}

// Abort removes the record of a run that did not happen; the token may be used again.
func (r *Running) Abort() {
	r.once.Do(func() { r.ledger.abort(r.record) })
}

func (l *Ledger) end(r *record, s state, result stored) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r.book.running--
	r.book.version++
	r.state, r.result, r.ended = s, result, l.clock.Now()
	r.wake()

	if r.gone {
		return
	}

	r.size = recordBytes + result.size()
	l.bytes += result.size()
	l.ended = append(l.ended, r)
	l.expire()
}

func (l *Ledger) abort(r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r.book.running--
	r.book.version++
	delete(r.book.records, r.number)
	r.wake()

	if !r.gone {
		l.bytes -= recordBytes
	}
}

// expire drops ended records that are too old, and the oldest while there are too many bytes.
func (l *Ledger) expire() {
	now := l.clock.Now()

	for len(l.ended) > 0 {
		r := l.ended[0]
		if !r.gone && l.bytes <= l.limits.Bytes && now-r.ended < l.limits.Age {
			return
		}

		l.ended[0] = nil
		l.ended = l.ended[1:]

		if r.gone {
			continue
		}

		r.book.dropped = max(r.book.dropped, r.number)
		r.book.version++
		delete(r.book.records, r.number)
		l.bytes -= r.size
	}
}

// forget takes a book's records out of the bounds.
func (l *Ledger) forget(b *book) {
	if b == nil {
		return
	}

	for _, r := range b.records {
		l.bytes -= max(recordBytes, r.size)
		r.gone = true
		r.result = stored{}
	}
}

// adopt takes the records of a staged book into the bounds.
func (l *Ledger) adopt(b *book) {
	now := l.clock.Now()

	for _, r := range b.sorted() {
		r.ended = now
		r.size = recordBytes + r.result.size()
		l.bytes += r.size
		l.ended = append(l.ended, r)
	}
}
