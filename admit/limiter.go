package admit

import (
	"context"

	spar "sardinespar.example/spar"
)

// Done returns a permit. The parameter took is the time until the response header of the backend server
// arrived, and ok is false if the server refused the call or did not answer.
type Done func(took spar.Millis, ok bool)

// Limiter limits the concurrent calls to one backend server.
type Limiter interface {
	// Acquire waits for a permit until the deadline of the call. If it refuses the call, it returns a reason
	// other than spar.ReasonNone.
	Acquire(ctx context.Context, c spar.Call) (Done, spar.Reason)
	// Reset sets the capacity when a backend server has just started.
	Reset(c spar.Capacity)
	// Load returns the numbers of calls in flight and waiting, and the limit.
	Load() spar.Load
}

// noDone is returned with a refusal, where there is no permit to return.
func noDone(spar.Millis, bool) {}
