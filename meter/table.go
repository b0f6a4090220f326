package meter

import (
	"context"

	spar "sardinespar.example/spar"
)

// CountingTable wraps a table and counts its calls: commits by verdict, reads by success or failure.
type CountingTable struct {
	inner spar.Table
	calls *Counters
}

// NewCountingTable returns a table that passes calls to t and counts them in calls.
func NewCountingTable(t spar.Table, calls *Counters) CountingTable {
	return CountingTable{inner: t, calls: calls}
}

// Get returns a row and whether it exists.
func (t CountingTable) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	row, ok, err := t.inner.Get(ctx, key)
	t.count("get", err)

	return row, ok, err
}

// Scan returns the rows under prefix written after since, and the table's revision.
func (t CountingTable) Scan(
	ctx context.Context, prefix string, since spar.Revision,
) ([]spar.Row, spar.Revision, error) {
	rows, revision, err := t.inner.Scan(ctx, prefix, since)
	t.count("scan", err)

	return rows, revision, err
}

// Commit commits a transaction.
func (t CountingTable) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	c := t.inner.Commit(ctx, txn)
	t.calls.Add("commit " + string(c.Verdict))

	return c
}

func (t CountingTable) count(call string, err error) {
	result := " ok"
	if err != nil {
		result = " failed"
	}

	t.calls.Add(call + result)
}

var _ spar.Table = CountingTable{}
