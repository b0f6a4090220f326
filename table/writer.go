package table

import (
	"context"
	"encoding/json"

	spar "sardinespar.example/spar"
)

const (
	backoffFirst spar.Millis = 20
	backoffMost  spar.Millis = 2000
)

// marker is the value of an operation row.
type marker struct {
	Number int64 `json:"number"`
}

// Writer commits the transactions of one stream one after the other and resolves unknown
// verdicts by sending the same transaction again and reading the stream's marker row.
type Writer struct {
	table spar.Table
	clock spar.Clock
	key   string

	// turn is held during a commit. A mutex would not let go when a waiter's context ends.
	turn     chan struct{}
	number   int64
	revision spar.Revision
	pending  *spar.Txn
}

// NewWriter returns the writer of a node's stream. The node id must be new, so that its marker
// row is absent.
func NewWriter(t spar.Table, clock spar.Clock, node spar.NodeID, stream string) *Writer {
	return &Writer{table: t, clock: clock, key: "op/" + string(node) + "/" + stream, turn: make(chan struct{}, 1)}
}

// Commit commits txn. It returns unknown only when ctx ends first; the next call then resolves
// that transaction before it sends its own. If ctx ends before txn was sent at all, it is rejected
// with the marker's key as the conflict.
func (w *Writer) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	if !w.enter(ctx) {
		return spar.Commit{Verdict: spar.Rejected, Conflict: w.key}
	}
	defer w.leave()

	if w.pending != nil {
		if c := w.resolve(ctx); c.Verdict == spar.Unknown {
			return spar.Commit{Verdict: spar.Rejected, Conflict: w.key}
		}
	}

	marked := w.mark(txn)
	w.pending = &marked

	return w.resolve(ctx)
}

// Settle resolves a transaction left in doubt, if there is one, and returns its verdict.
func (w *Writer) Settle(ctx context.Context) (spar.Commit, bool) {
	if !w.enter(ctx) {
		return spar.Commit{Verdict: spar.Unknown}, true
	}
	defer w.leave()

	if w.pending == nil {
		return spar.Commit{}, false
	}

	return w.resolve(ctx), true
}

func (w *Writer) enter(ctx context.Context) bool {
	select {
	case w.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *Writer) leave() {
	<-w.turn
}

func (w *Writer) mark(txn spar.Txn) spar.Txn {
	value, err := json.Marshal(marker{Number: w.number + 1})
	if err != nil {
		panic("table: marker can't be encoded: " + err.Error())
	}

	return spar.Txn{
		Conditions: append([]spar.Condition{{Key: w.key, Revision: w.revision}}, txn.Conditions...),
		Writes:     append([]spar.Write{{Key: w.key, Value: value}}, txn.Writes...),
	}
}

func (w *Writer) resolve(ctx context.Context) spar.Commit {
	resent := false

	for pause := (spar.Backoff{First: backoffFirst, Most: backoffMost}); ; {
		c := w.table.Commit(ctx, *w.pending)
		if c.Verdict == spar.Rejected && resent {
			c = w.readBack(ctx, c)
		}

		switch c.Verdict {
		case spar.Applied:
			w.pending = nil
			w.number++
			w.revision = c.Revision

			return c
		case spar.Rejected:
			w.pending = nil

			return c
		case spar.Unknown:
			resent = true
		}

		pause = pause.WithFailure()
		if !w.clock.Sleep(ctx, pause.Pause()) {
			return spar.Commit{Verdict: spar.Unknown}
		}
	}
}

// readBack tells whether an earlier attempt of the pending transaction took effect.
func (w *Writer) readBack(ctx context.Context, rejected spar.Commit) spar.Commit {
	row, ok, err := w.table.Get(ctx, w.key)
	if err != nil {
		return spar.Commit{Verdict: spar.Unknown}
	}

	if !ok {
		return rejected
	}

	var m marker
	if err := json.Unmarshal(row.Value, &m); err != nil || m.Number != w.number+1 {
		return rejected
	}

	return spar.Commit{Verdict: spar.Applied, Revision: row.Revision}
}
