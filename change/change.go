// Package change writes operators' changes to the table: each is a compare-and-set that is sent again
// until its result is known, so that a lost reply is never mistaken for a failure.
package change

import (
	"context"
	"fmt"
	"math/rand/v2"

	spar "sardinespar.example/spar"
)

// Verdict is the result of an operator's change.
type Verdict string

// Verdicts of a change. Unavailable means that nothing was sent to the table. Unknown means that something
// was sent and its result can't be read yet.
const (
	Accepted    Verdict = "accepted"
	Conflict    Verdict = "conflict"
	Refused     Verdict = "refused"
	Unavailable Verdict = "unavailable"
	Unknown     Verdict = "unknown"
)

// Winner is the change that was applied instead of one that conflicts with it.
type Winner struct {
	Generation int64  `json:"generation"`
	What       string `json:"what"`
	By         string `json:"by"`
	Op         string `json:"op"`
}

// Result is the result of an operator's change. Rows are the written rows, which the caller pushes to the
// peers.
type Result struct {
	Verdict    Verdict       `json:"verdict"`
	Op         string        `json:"op"`
	Detail     string        `json:"detail"`
	Generation int64         `json:"generation,omitempty"`
	Revision   spar.Revision `json:"revision,omitempty"`
	Winner     *Winner       `json:"winner,omitempty"`
	Faults     []string      `json:"faults,omitempty"`
	Rows       []spar.Row    `json:"-"`
}

// RefusedResult returns the result of a change that is invalid in itself.
func RefusedResult(op, format string, args ...any) Result {
	return Result{Verdict: Refused, Op: op, Detail: fmt.Sprintf(format, args...)}
}

// ConflictResult returns the result of a change that conflicts with another one applied before it.
func ConflictResult(op string, w Winner) Result {
	return Result{
		Verdict: Conflict, Op: op, Winner: &w, Generation: w.Generation,
		Detail: fmt.Sprintf("generation %d is %s by %s (operation %s)", w.Generation, w.What, w.By, w.Op),
	}
}

// Step is the next step of a change. If the verdict of Final is set, Final is returned. Otherwise Txn is
// sent, and Result is returned if it is applied.
type Step struct {
	Final  Result
	Txn    spar.Txn
	Result Result
}

// FinalStep returns the step that ends a change.
func FinalStep(r Result) Step {
	return Step{Final: r}
}

const (
	initialBackoff spar.Millis = 20
	maxBackoff     spar.Millis = 500
)

// Resolve repeatedly calls next and sends the transaction that it returns, until the result is known or ctx
// ends.
// Transactions that next returns for one operation must exclude each other: at most one of them may take
// effect.
func Resolve(
	ctx context.Context, t spar.Table, clock spar.Clock, op string, next func(context.Context) (Step, error),
) Result {
	sent := false
	reason := "table service does not answer"

	for backoff := initialBackoff; ; backoff = min(2*backoff, maxBackoff) {
		step, err := next(ctx)

		switch {
		case err != nil:
			reason = err.Error()
		case step.Final.Verdict != "":
			return step.Final
		default:
			sent = true

			if c := t.Commit(ctx, step.Txn); c.Verdict == spar.VerdictApplied {
				step.Result.Revision = c.Revision
				step.Result.Rows = rowsOf(step.Txn, c.Revision)

				return step.Result
			}
		}

		if !clock.Sleep(ctx, backoff/2+spar.Millis(rand.Float64())*backoff/2) {
			return unresolved(op, sent, reason)
		}
	}
}

func unresolved(op string, sent bool, reason string) Result {
	if sent {
		return Result{Verdict: Unknown, Op: op, Detail: "sent, but the result can't be read yet: " + reason}
	}

	return Result{Verdict: Unavailable, Op: op, Detail: "nothing was sent: " + reason}
}

func rowsOf(txn spar.Txn, revision spar.Revision) []spar.Row {
	rows := make([]spar.Row, 0, len(txn.Writes))
	for _, w := range txn.Writes {
		rows = append(rows, spar.Row{Key: w.Key, Value: w.Value, Revision: revision})
	}

	return rows
}
