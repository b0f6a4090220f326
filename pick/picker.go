// Package pick chooses among upstreams where any may serve, hedges calls and bounds retries.
package pick

import (
	"context"

	spar "sardinespar.example/spar"
)

// End tells how an attempt ended.
type End int

// The ends of an attempt. A refusal by admission tells nothing about the upstream's health.
const (
	EndAnswered End = iota
	EndRefused
	EndFailed
	EndCanceled
)

// Picker chooses the upstream of an attempt and learns from its result.
type Picker interface {
	// Pick chooses one of nodes, leaving out those in tried while others are there. Nodes is not
	// empty and holds upstreams of one service.
	Pick(nodes []spar.Node, tried []spar.NodeID) spar.Node
	// Begin notes that an attempt starts; the function returned notes how it ended.
	Begin(id spar.NodeID) func(took spar.Millis, end End)
	// Report takes the load that a guard told with its answer.
	Report(id spar.NodeID, l spar.Load)
}

// statusFailed is the least HTTP status of answers that count as failures. Failures are often
// faster than good answers, and would draw more calls if they counted as answers.
const statusFailed = 500

// EndOf returns how the attempt that brought a ended.
func EndOf(ctx context.Context, a spar.Answer) End {
	switch {
	case a.Outcome == spar.OutcomeCompleted && a.Status < statusFailed:
		return EndAnswered
	case ctx.Err() != nil:
		return EndCanceled
	case a.Outcome == spar.OutcomeNotRun && a.Reason != spar.ReasonUnreachable:
		return EndRefused
	default:
		return EndFailed
	}
}
