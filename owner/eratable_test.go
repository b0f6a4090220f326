package owner_test

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

// errCut is the error of a read while a machine doesn't reach the table.
var errCut = errors.New("table unreachable")

// eraTable is a client of a table.Memory that can be restored. It treats eras as the platform's client does.
type eraTable struct {
	inner spar.Table
	eras  *spar.Eras
	cut   *atomic.Bool
	// blind is set while reads of the map of owners fail.
	blind *atomic.Bool
	// ignoreEra is a flaw: revisions are compared without their era.
	ignoreEra bool
}

// observe records the era of a response, and returns the response's revision.
func (t *eraTable) observe(r spar.Revision) (spar.Revision, error) {
	if t.ignoreEra {
		return spar.Revision(r.Version()), nil
	}

	if t.cut.Load() {
		return 0, errCut
	}

	return r, t.eras.Observe(r.Era())
}

// Get returns a row and whether it exists.
func (t *eraTable) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if t.cut.Load() || t.blind.Load() && strings.HasPrefix(key, "owners/") {
		return spar.Row{}, false, errCut
	}

	row, found, err := t.inner.Get(ctx, key)
	if err == nil {
		row.Revision, err = t.observe(row.Revision)
	}

	if !found {
		row.Revision = 0
	}

	return row, found, err
}

// Scan returns rows and a revision.
func (t *eraTable) Scan(
	ctx context.Context, prefix string, since spar.Revision,
) ([]spar.Row, spar.Revision, error) {
	if t.cut.Load() {
		return nil, 0, errCut
	}

	rows, revision, err := t.inner.Scan(ctx, prefix, since)
	if err == nil {
		revision, err = t.observe(revision)
	}

	return rows, revision, err
}

// Commit sends a transaction.
func (t *eraTable) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	if t.cut.Load() {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	if key, found := t.eras.Conflict(txn); found {
		return spar.Commit{Verdict: spar.VerdictRejected, Conflict: key}
	}

	c := t.inner.Commit(ctx, txn)
	if c.Verdict == spar.VerdictUnknown {
		return c
	}

	revision, err := t.observe(c.Revision)
	if err != nil {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	if c.Revision = revision; c.Verdict == spar.VerdictRejected {
		c.Revision = 0
	}

	return t.eras.Confirm(txn, c)
}
