package ledger

import (
	"sync"

	spar "sardinespar.example/spar"
)

// Limits bound the memory and the age of records.
type Limits struct {
	// MaxBytes is the memory limit of all records.
	MaxBytes int64
	// MaxBodyBytes is the size in bytes up to which the body of a result is kept.
	MaxBodyBytes int
	// MaxAge is how long the record of an ended run is kept.
	MaxAge spar.Millis
}

// DefaultLimits returns limits that keep records for as long as the longest deadline and use at
// most half of the 32 MB that the control plane may take on a node.
func DefaultLimits() Limits {
	return Limits{MaxBytes: 16 << 20, MaxBodyBytes: 16 << 10, MaxAge: 600_000}
}

// recordOverhead is the memory of a record without its result: the struct and its entries in the
// map and in the queue of ended records.
const recordOverhead = 208

// Verdict is the decision on a call with a token.
type Verdict int

// The verdicts of Begin.
const (
	// VerdictRun permits the run; the caller must end it.
	VerdictRun Verdict = iota
	// VerdictRecorded means that the token's run has completed; its result is returned.
	VerdictRecorded
	// VerdictInProgress means that the token's run is in progress.
	VerdictInProgress
	// VerdictUnknown means that the token may have run and will never run again.
	VerdictUnknown
	// VerdictMismatch means that the token was not issued for this slot, key or request; nothing ran.
	VerdictMismatch
	// VerdictStale means that the slot has already been used under a later assignment; nothing ran.
	VerdictStale
)

// Decision is the result of Begin.
type Decision struct {
	Verdict Verdict
	// Result is the recorded result of a completed run.
	Result Result
	// Done is closed when the run in progress ends.
	Done <-chan struct{}
	// Run is the permitted run.
	Run *ActiveRun
	// Detail explains to the caller why the outcome is unknown or the token does not match.
	Detail string
}

// slotID identifies a slot of a service.
type slotID struct {
	service string
	slot    spar.Slot
}

// Ledger holds the records of the slots that a node owns.
type Ledger struct {
	clock  spar.Clock
	limits Limits

	mu     sync.Mutex
	active map[slotID]*slotLedger
	// staged holds imported records until their slot is used.
	staged map[slotID]*slotLedger
	// ended holds the records of ended runs in the order in which they ended.
	ended []*record
	bytes int64
}

// New returns an empty ledger.
func New(clock spar.Clock, limits Limits) *Ledger {
	return &Ledger{clock: clock, limits: limits, active: map[slotID]*slotLedger{}, staged: map[slotID]*slotLedger{}}
}

// Usage is the number of records of ended runs and the memory of all records in bytes.
type Usage struct {
	Records int   `json:"records"`
	Bytes   int64 `json:"bytes"`
}

// Usage returns the current usage.
func (l *Ledger) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Usage{Records: len(l.ended), Bytes: l.bytes}
}

// Issue returns a new token for a key, given the slot's current assignment to this node.
func (l *Ledger) Issue(service string, slot spar.Slot, a spar.Assignment, key string) Token {
	l.mu.Lock()
	defer l.mu.Unlock()

	sl := l.activate(slotID{service, slot}, a)
	sl.issued++
	sl.version++

	return Token{Slot: slot, Base: sl.base, Number: sl.issued, Tag: sl.tag(sl.issued, key)}
}

// Begin decides whether a call with token t may run, given the slot's current assignment to this
// node. The digest identifies the request, so that a token that is reused for another request does
// not get the first request's result.
func (l *Ledger) Begin(service string, slot spar.Slot, a spar.Assignment, key string, t Token, digest uint64) Decision {
	if t.Slot != slot {
		return Decision{Verdict: VerdictMismatch, Detail: "token is for another slot"}
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.expire()

	sl := l.activate(slotID{service, slot}, a)
	if sl.epoch > a.Epoch {
		return Decision{Verdict: VerdictStale}
	}

	if t.Base != a.Base {
		return Decision{Verdict: VerdictUnknown, Detail: "token is of another base epoch"}
	}

	if t.Tag != sl.tag(t.Number, key) {
		if sl.incomplete {
			return Decision{Verdict: VerdictUnknown, Detail: "records of the token's time are missing"}
		}

		return Decision{Verdict: VerdictMismatch, Detail: "token is for another key, or was not issued here"}
	}

	if r, ok := sl.records[t.Number]; ok {
		return r.decide(digest)
	}

	if t.Number <= sl.dropped || t.Number > sl.issued {
		return Decision{Verdict: VerdictUnknown, Detail: "the token's record was dropped"}
	}

	r := &record{parent: sl, number: t.Number, digest: digest}
	sl.records[t.Number] = r
	sl.activeRuns++
	sl.version++
	l.bytes += recordOverhead

	return Decision{Verdict: VerdictRun, Run: &ActiveRun{ledger: l, record: r}}
}

// decide returns the decision on a token that already has a record.
func (r *record) decide(digest uint64) Decision {
	if r.digest != digest {
		return Decision{Verdict: VerdictMismatch, Detail: "token was used for another request"}
	}

	switch r.state {
	case stateCompleted:
		return Decision{Verdict: VerdictRecorded, Result: r.result.unpack()}
	case stateUnknown:
		return Decision{Verdict: VerdictUnknown, Detail: "the run's result is unknown"}
	default:
		if r.done == nil {
			r.done = make(chan struct{})
		}

		return Decision{Verdict: VerdictInProgress, Done: r.done}
	}
}

// activate returns the slot's ledger under an assignment: the active one, the one staged for the
// assignment, or a new one. A new one that starts after the base epoch lacks the records since the
// base epoch. A delayed call with an earlier assignment must not replace the active ledger.
func (l *Ledger) activate(id slotID, a spar.Assignment) *slotLedger {
	sl, staged := l.active[id], l.staged[id]
	if sl != nil && (sl.epoch > a.Epoch || sl.epoch == a.Epoch && sl.base == a.Base) {
		return sl
	}

	l.untrack(sl)

	switch {
	case staged != nil && staged.epoch == a.Epoch && (staged.base == a.Base || staged.base == 0):
		sl = staged
		sl.base = a.Base
		l.track(sl)
	default:
		sl = newSlotLedger(a, a.Base != a.Epoch)
	}

	if staged != nil && staged.epoch <= a.Epoch {
		delete(l.staged, id)
	}

	l.active[id] = sl

	return sl
}

// ActiveRun is a run in progress. Exactly one of its methods must be called; later calls do nothing.
type ActiveRun struct {
	ledger *Ledger
	record *record
	once   sync.Once
}

// Complete records the result. A result whose body is too large is recorded without header and body.
func (r *ActiveRun) Complete(result Result) {
	if len(result.Body) > r.ledger.limits.MaxBodyBytes {
		result = Result{Status: result.Status}
	}

	r.once.Do(func() { r.ledger.end(r.record, stateCompleted, pack(result)) })
}

// Unknown records that the run may have happened.
func (r *ActiveRun) Unknown() {
	r.once.Do(func() { r.ledger.end(r.record, stateUnknown, storedResult{}) })
}

// Abort removes the record of a run that did not happen; the token may be used again.
func (r *ActiveRun) Abort() {
	r.once.Do(func() { r.ledger.abort(r.record) })
}

func (l *Ledger) end(r *record, s state, result storedResult) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r.parent.activeRuns--
	r.parent.version++
	r.state, r.result, r.endedAt = s, result, l.clock.Now()
	r.closeDone()

	if r.untracked {
		return
	}

	r.bytes = recordOverhead + result.size()
	l.bytes += result.size()
	l.ended = append(l.ended, r)
	l.expire()
}

func (l *Ledger) abort(r *record) {
	l.mu.Lock()
	defer l.mu.Unlock()

	r.parent.activeRuns--
	r.parent.version++
	delete(r.parent.records, r.number)
	r.closeDone()

	if !r.untracked {
		l.bytes -= recordOverhead
	}
}

// expire drops records of ended runs that are too old, and the oldest ones while the memory limit
// is exceeded.
func (l *Ledger) expire() {
	now := l.clock.Now()

	for len(l.ended) > 0 {
		r := l.ended[0]
		if !r.untracked && l.bytes <= l.limits.MaxBytes && now-r.endedAt < l.limits.MaxAge {
			return
		}

		l.ended[0] = nil
		l.ended = l.ended[1:]

		if r.untracked {
			continue
		}

		r.parent.dropped = max(r.parent.dropped, r.number)
		r.parent.version++
		delete(r.parent.records, r.number)
		l.bytes -= r.bytes
	}
}

// untrack removes the records of a slot from the accounting of the limits and drops their results.
func (l *Ledger) untrack(sl *slotLedger) {
	if sl == nil {
		return
	}

	for _, r := range sl.records {
		l.bytes -= max(recordOverhead, r.bytes)
		r.untracked = true
		r.result = storedResult{}
	}
}

// track adds the records of a staged slot to the accounting of the limits. Their age counts from now.
func (l *Ledger) track(sl *slotLedger) {
	now := l.clock.Now()

	for _, r := range sl.sorted() {
		r.endedAt = now
		r.bytes = recordOverhead + r.result.size()
		l.bytes += r.bytes
		l.ended = append(l.ended, r)
	}
}
