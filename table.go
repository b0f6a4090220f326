package spar

import (
	"context"
	"encoding/json"
)

// Revision counts the committed transactions of the whole table.
type Revision int64

// Row is one row of the table with the revision of its last write.
type Row struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision Revision        `json:"revision"`
	// Now is the time of the table's monotonic clock when it replied, or 0 if the table reports none.
	Now Millis `json:"now_ms,omitempty"`
}

// Condition requires that a row has a revision. Revision 0 requires that the row is absent.
type Condition struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Write replaces the value of a row. A null value deletes the row.
type Write struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Txn is a transaction. Its writes take effect atomically if all conditions hold.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Verdict is the result of a transaction as its sender knows it.
type Verdict string

// Verdicts. VerdictUnknown means that the transaction may or may not have taken effect.
const (
	VerdictApplied  Verdict = "applied"
	VerdictRejected Verdict = "rejected"
	VerdictUnknown  Verdict = "unknown"
)

// Commit is the result of sending a transaction.
type Commit struct {
	Verdict  Verdict  `json:"verdict"`
	Revision Revision `json:"revision,omitempty"`
	// Conflict is the key of a row whose condition did not hold, if the verdict is VerdictRejected.
	Conflict string `json:"conflict,omitempty"`
	// Now is the time of the table's monotonic clock when it replied, or 0 if the table reports none.
	Now Millis `json:"now_ms,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row and whether it exists.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns the rows whose keys begin with prefix and that were written after since, and a revision
	// that includes all of them.
	Scan(ctx context.Context, prefix string, since Revision) ([]Row, Revision, error)
	// Commit sends a transaction.
	Commit(ctx context.Context, txn Txn) Commit
}
