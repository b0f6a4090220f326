// Package change carries operators' changes of the table: a compare-and-set that is sent again until its
// result is known, so that a lost reply is never taken for a failure.
package change

import (
	"context"
	"fmt"
	"math/rand/v2"

	spar "sardinespar.example/spar"
)

// Verdict says what became of an operator's change.
type Verdict string

// The verdicts. Unavailable means that nothing was sent to the table; unknown means that something
// was sent and its result can't be read yet.
const (
	Accepted    Verdict = "accepted"
	Conflict    Verdict = "conflict"
	Refused     Verdict = "refused"
	Unavailable Verdict = "unavailable"
	Unknown     Verdict = "unknown"
)

// Winner is the change that took the place of a refused one.
type Winner struct {
	Generation int64  `json:"generation"`
	What       string `json:"what"`
	By         string `json:"by"`
	Op         string `json:"op"`
}

// Result is the outcome of an operator's change. Rows are what to spread to the peers.
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

// Refuse returns the result of a change that is wrong in itself.
func Refuse(op, format string, args ...any) Result {
	return Result{Verdict: Refused, Op: op, Detail: fmt.Sprintf(format, args...)}
}

// Lost returns the result of a change that another one forestalled.
func Lost(op string, w Winner) Result {
	return Result{
		Verdict: Conflict, Op: op, Winner: &w, Generation: w.Generation,
		Detail: fmt.Sprintf("generation %d is %s by %s (operation %s)", w.Generation, w.What, w.By, w.Op),
	}
}

// Step is what to do next: return the result if the verdict is set, otherwise send the transaction,
// after which the result holds if it is applied.
type Step struct {
	Final  Result
	Txn    spar.Txn
	Result Result
}

// Done returns the step that ends a change.
func Done(r Result) Step {
	return Step{Final: r}
}

const (
	backoffFirst spar.Millis = 20
	backoffMost  spar.Millis = 500
)

// Resolve reads, sends and reads back until the result is known or ctx ends. Every transaction
// that next returns for one operation must exclude that an earlier one takes effect as well.
func Resolve(
	ctx context.Context, t spar.Table, clock spar.Clock, op string, next func(context.Context) (Step, error),
) Result {
	sent := false
	reason := "table service does not answer"

	for backoff := backoffFirst; ; backoff = min(2*backoff, backoffMost) {
		step, err := next(ctx)

		switch {
		case err != nil:
			reason = err.Error()
		case step.Final.Verdict != "":
			return step.Final
		default:
			sent = true

			if c := t.Commit(ctx, step.Txn); c.Verdict == spar.Applied {
				step.Result.Revision = c.Revision
				step.Result.Rows = rowsOf(step.Txn, c.Revision)

				return step.Result
			}
		}

		if !clock.Sleep(ctx, backoff/2+spar.Millis(rand.Float64())*backoff/2) {
			return undecided(op, sent, reason)
		}
	}
}

func undecided(op string, sent bool, reason string) Result {
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
