package spar

import (
	"context"
	"encoding/json"
	"fmt"
)

// Revision orders the committed transactions of the whole table. It consists of the table's era in the upper bits and a
// version that counts the transactions of the era, so that each revision of a later era is newer. The era rises when
// the table is restored from an older snapshot and issues versions again.
type Revision int64

const (
	// versionBits is the number of bits of a version. JSON implementations agree on integers up to 2^53 only, and at
	// 100,000 transactions per second a table takes 2,850 years to reach that. 10 bits remain for the era.
	versionBits = 53
	maxVersion  = 1<<versionBits - 1
	maxEra      = 1<<(63-versionBits) - 1
)

// NewRevision returns the revision of a version in an era. It returns an error for numbers that don't fit.
func NewRevision(era, version int64) (Revision, error) {
	switch {
	case era < 0 || era > maxEra:
		return 0, fmt.Errorf("era %d is not between 0 and %d", era, maxEra)
	case version < 0 || version > maxVersion:
		return 0, fmt.Errorf("version %d is not between 0 and %d", version, int64(maxVersion))
	}

	return Revision(era<<versionBits | version), nil
}

// Era returns the era of the revision. Revision 0, that of absent rows, has no era.
func (r Revision) Era() int64 {
	return int64(r >> versionBits)
}

// Version returns the version within the era, which is the table's own number.
func (r Revision) Version() int64 {
	return int64(r & maxVersion)
}

// Row is one row of the table with the revision of its last write.
type Row struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value"`
	Revision Revision        `json:"revision"`
	// Now is the time of the table's monotonic clock when it replied, or 0 if the table reports none.
	Now Millis `json:"now_ms,omitempty"`
}

// Condition requires that a row has a revision. Revision 0 requires that the row is absent, and has no era.
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
