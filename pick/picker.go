// Package pick chooses among the upstreams of services where any upstream may serve a request, hedges calls and
// limits retries.
package pick

import (
	"context"

	spar "sardinespar.example/spar"
)

// Result is the result of an attempt, as far as it concerns the upstream's health.
type Result int

// The results of an attempt. A refusal by admission does not affect the upstream's health.
const (
	ResultAnswered Result = iota
	ResultRefused
	ResultFailed
	ResultCanceled
)

// Picker chooses the upstreams of attempts, and adapts to their results.
type Picker interface {
	// Pick chooses one of nodes that is not in tried, or any of them if all are. Nodes must not be empty
	// and must all be upstreams of one service.
	Pick(nodes []spar.Node, tried []spar.NodeID) spar.Node
	// Begin records the start of an attempt. The caller passes its result to the returned function.
	Begin(id spar.NodeID) func(took spar.Millis, result Result)
	// Report stores the load that the upstream's guard has sent with its answer.
	Report(id spar.NodeID, l spar.Load)
}

// minFailedStatus is the lowest HTTP status of answers that count as failures. Failures are often faster than
// good answers, and would attract more calls if they counted as answers.
const minFailedStatus = 500

// ResultOf returns the result of the attempt that returned a.
func ResultOf(ctx context.Context, a spar.Answer) Result {
	switch {
	case a.Outcome == spar.OutcomeCompleted && a.Status < minFailedStatus:
		return ResultAnswered
	case ctx.Err() != nil:
		return ResultCanceled
	case a.Outcome == spar.OutcomeNotRun && a.Reason != spar.ReasonUnreachable:
		return ResultRefused
	default:
		return ResultFailed
	}
}
