package spar

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// ErrEarlierEra is the error of a response from before the newest restore of the table that is known.
var ErrEarlierEra = errors.New("response is from an earlier era of the table")

// Eras keeps the newest era of a table that a client has seen. The era rises when the table is restored from an older
// snapshot; revisions are then issued again, so conditions and responses of earlier eras prove nothing. The zero value
// has seen no era. A table without eras stays in era 0.
type Eras struct {
	newest atomic.Int64

	mu sync.Mutex
	// seen is set once an era has been observed.
	seen     bool
	watchers []func(era int64, restored bool)
}

// Newest returns the newest era that was observed, or 0.
func (e *Eras) Newest() int64 {
	return e.newest.Load()
}

// Watch calls f with each later era that is observed. restored is false for the first era that the client sees, which
// may be any. An observed era is used only after f has returned. f must not call Observe.
func (e *Eras) Watch(f func(era int64, restored bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()

	e.watchers = append(e.watchers, f)
}

// Observe records the era of a response, or one that a peer reports. It returns ErrEarlierEra if a later era was seen
// before, and another error if the era can't be part of a revision.
func (e *Eras) Observe(era int64) error {
	if _, err := NewRevision(era, 0); err != nil {
		return err
	}

	e.mu.Lock()
	defer e.mu.Unlock()

	newest := e.newest.Load()
	if era < newest {
		return fmt.Errorf("%w: era %d, newest is %d", ErrEarlierEra, era, newest)
	}

	restored := e.seen
	e.seen = true

	if era > newest {
		e.newest.Store(era)

		for _, f := range e.watchers {
			f(era, restored)
		}
	}

	return nil
}

// Conflict returns the key of the first condition of an era other than the newest. Such a condition must not be sent,
// since it might match a revision that was issued again. Absent rows have no era.
func (e *Eras) Conflict(txn Txn) (key string, found bool) {
	newest := e.Newest()

	for _, c := range txn.Conditions {
		if c.Revision != 0 && c.Revision.Era() != newest {
			return c.Key, true
		}
	}

	return "", false
}

// Confirm returns the result of a transaction, given the result that the table reported. A transaction that was applied
// in an era other than that of its conditions has an unknown outcome: the conditions may have matched revisions that
// were issued again, and what was written on that basis is not what the sender meant.
func (e *Eras) Confirm(txn Txn, c Commit) Commit {
	for _, x := range txn.Conditions {
		if c.Verdict == VerdictApplied && x.Revision != 0 && x.Revision.Era() != c.Revision.Era() {
			return Commit{Verdict: VerdictUnknown}
		}
	}

	return c
}
