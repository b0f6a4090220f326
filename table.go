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
	// Now is the table's steady clock when it answered, or 0 if the table tells none.
	Now Millis `json:"now_ms,omitempty"`
}

// Condition demands that a row has a revision; 0 demands that the row is absent.
type Condition struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Write replaces the value of a row; a null value deletes the row.
type Write struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// Txn is a transaction: the writes take effect together if every condition holds.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Verdict is the result of a transaction as its sender knows it.
type Verdict string

// The verdicts. Unknown means that the transaction may or may not have taken effect.
const (
	Applied  Verdict = "applied"
	Rejected Verdict = "rejected"
	Unknown  Verdict = "unknown"
)

// Commit is the outcome of a transaction.
type Commit struct {
	Verdict  Verdict  `json:"verdict"`
	Revision Revision `json:"revision,omitempty"`
	Conflict string   `json:"conflict,omitempty"`
	// Now is the table's steady clock when it answered, or 0 if the table tells none.
	Now Millis `json:"now_ms,omitempty"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Get returns a row and whether it is there.
	Get(ctx context.Context, key string) (Row, bool, error)
	// Scan returns the rows under prefix written after since, and the table's revision.
	Scan(ctx context.Context, prefix string, since Revision) ([]Row, Revision, error)
	// Commit sends a transaction.
	Commit(ctx context.Context, txn Txn) Commit
}
