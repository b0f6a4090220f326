package table

import (
	"context"
	"encoding/json"

	spar "sardinespar.example/spar"
)

const (
	minBackoff spar.Millis = 20
	maxBackoff spar.Millis = 2000
)

// marker is the value of a stream's marker row, which holds the number of the last applied transaction.
type marker struct {
	Number int64 `json:"number"`
}

// Writer commits the transactions of one stream one after the other. Each transaction also writes the stream's
// marker row. The writer resolves unknown verdicts by sending the same transaction again: if that is rejected,
// the marker row shows whether an earlier attempt was applied.
type Writer struct {
	table spar.Table
	clock spar.Clock
	key   string

	// sem is held during a commit. It is a channel, since waiting for a mutex would not end with the context.
	sem      chan struct{}
	number   int64
	revision spar.Revision
	pending  *spar.Txn
}

// NewWriter returns the writer of a node's stream. The node id must not have been used before, so that the
// marker row doesn't exist.
func NewWriter(t spar.Table, clock spar.Clock, node spar.NodeID, stream string) *Writer {
	return &Writer{table: t, clock: clock, key: "op/" + string(node) + "/" + stream, sem: make(chan struct{}, 1)}
}

// Commit commits txn. It returns an unknown verdict only if ctx ends first; the next call then resolves that
// transaction before it sends its own. If ctx ends before txn was sent at all, txn is rejected with the key of
// the marker row as the conflict.
func (w *Writer) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	if !w.acquire(ctx) {
		return spar.Commit{Verdict: spar.VerdictRejected, Conflict: w.key}
	}
	defer w.release()

	if w.pending != nil {
		if c := w.commitPending(ctx); c.Verdict == spar.VerdictUnknown {
			return spar.Commit{Verdict: spar.VerdictRejected, Conflict: w.key}
		}
	}

	pending := w.withMarker(txn)
	w.pending = &pending

	return w.commitPending(ctx)
}

// ResolvePending resolves the transaction with an unknown verdict. It returns its verdict, which is still unknown if
// ctx ends first, or false if there is no such transaction.
func (w *Writer) ResolvePending(ctx context.Context) (spar.Commit, bool) {
	if !w.acquire(ctx) {
		return spar.Commit{Verdict: spar.VerdictUnknown}, true
	}
	defer w.release()

	if w.pending == nil {
		return spar.Commit{}, false
	}

	return w.commitPending(ctx), true
}

// acquire waits for the end of a commit in progress. It returns false if ctx ends first.
func (w *Writer) acquire(ctx context.Context) bool {
	select {
	case w.sem <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Writer) release() {
	<-w.sem
}

// withMarker returns txn with the condition that the marker row is unchanged, and with the marker's next value.
func (w *Writer) withMarker(txn spar.Txn) spar.Txn {
	value, err := json.Marshal(marker{Number: w.number + 1})
	if err != nil {
		panic("table: encode marker: " + err.Error())
	}

	return spar.Txn{
		Conditions: append([]spar.Condition{{Key: w.key, Revision: w.revision}}, txn.Conditions...),
		Writes:     append([]spar.Write{{Key: w.key, Value: value}}, txn.Writes...),
	}
}

// commitPending sends the pending transaction until its verdict is known or ctx ends.
func (w *Writer) commitPending(ctx context.Context) spar.Commit {
	maybeApplied := false

	for backoff := (spar.Backoff{Initial: minBackoff, Max: maxBackoff}); ; {
		c := w.table.Commit(ctx, *w.pending)
		if c.Verdict == spar.VerdictRejected && maybeApplied {
			c = w.readMarker(ctx, c)
		}

		switch c.Verdict {
		case spar.VerdictApplied:
			w.pending = nil
			w.number++
			w.revision = c.Revision

			return c
		case spar.VerdictRejected:
			w.pending = nil

			return c
		case spar.VerdictUnknown:
			maybeApplied = true
		}

		backoff = backoff.WithFailure()
		if !w.clock.Sleep(ctx, backoff.Delay()) {
			return spar.Commit{Verdict: spar.VerdictUnknown}
		}
	}
}

// readMarker returns the verdict of a pending transaction whose last attempt was rejected: applied if the marker
// row shows that an earlier attempt was applied, unknown if the row can't be read, else rejected.
func (w *Writer) readMarker(ctx context.Context, rejected spar.Commit) spar.Commit {
	row, ok, err := w.table.Get(ctx, w.key)
	if err != nil {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	if !ok {
		return rejected
	}

	var m marker
	if err := json.Unmarshal(row.Value, &m); err != nil || m.Number != w.number+1 {
		return rejected
	}

	return spar.Commit{Verdict: spar.VerdictApplied, Revision: row.Revision}
}
