package admit

import (
	"context"

	spar "sardinespar.example/spar"
)

// Done gives a permit back. Took is the backend server's time to the head of its answer; ok is
// false if the server refused the call or did not answer.
type Done func(took spar.Millis, ok bool)

// Limiter admits calls to one backend server.
type Limiter interface {
	// Acquire waits for a permit until the call's deadline. A refusal has a reason.
	Acquire(ctx context.Context, c spar.Call) (Done, spar.Reason)
	// Reset starts over for a backend server that has just started with this capacity.
	Reset(c spar.Capacity)
	// Load returns the current counts.
	Load() spar.Load
}

func noDone(spar.Millis, bool) {}
