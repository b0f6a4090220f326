// Package admit limits the number of concurrent calls to a backend server.
package admit

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
)

// Fixed limits the concurrent calls to the number of the backend server's slots or connections, whichever is
// lower. It is the baseline with which Adaptive is compared.
type Fixed struct {
	clock    spar.Clock
	maxQueue int

	mu     sync.Mutex
	load   spar.Load
	queued []chan struct{}
}

// NewFixed returns a limiter that admits nothing until Reset has set the capacity.
func NewFixed(clock spar.Clock, maxQueue int) *Fixed {
	return &Fixed{clock: clock, maxQueue: maxQueue}
}

// Reset sets the limit to the capacity of the backend server.
func (f *Fixed) Reset(c spar.Capacity) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.load.Limit = min(c.Slots, c.Conns)
	f.dispatch()
}

// Load returns the numbers of calls in flight and waiting, and the limit.
func (f *Fixed) Load() spar.Load {
	f.mu.Lock()
	defer f.mu.Unlock()

	load := f.load
	load.Queued = len(f.queued)

	return load
}

// Acquire waits for a permit; permits are granted in order of arrival.
func (f *Fixed) Acquire(ctx context.Context, c spar.Call) (Done, spar.Reason) {
	admitted, reason := f.submit()
	if admitted == nil {
		return f.done, reason
	}

	t := f.clock.Timer(c.Deadline - f.clock.Now())
	defer t.Stop()

	select {
	case <-admitted:
		return f.done, spar.ReasonNone
	case <-t.C:
		return f.abandon(admitted, spar.ReasonDeadline)
	case <-ctx.Done():
		return f.abandon(admitted, spar.ReasonDeadline)
	}
}

// submit grants a free permit and returns nil, or queues the call and returns a channel that is closed on
// admission. When the queue is full, it refuses the call with a reason.
func (f *Fixed) submit() (chan struct{}, spar.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.load.InFlight < f.load.Limit && len(f.queued) == 0 {
		f.load.InFlight++

		return nil, spar.ReasonNone
	}

	if len(f.queued) >= f.maxQueue {
		return nil, spar.ReasonShed
	}

	admitted := make(chan struct{})
	f.queued = append(f.queued, admitted)

	return admitted, spar.ReasonNone
}

// abandon removes a waiter from the queue, or returns the permit that was granted in the meantime.
func (f *Fixed) abandon(admitted chan struct{}, reason spar.Reason) (Done, spar.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for i, q := range f.queued {
		if q == admitted {
			f.queued = append(f.queued[:i], f.queued[i+1:]...)

			return f.done, reason
		}
	}

	f.load.InFlight--
	f.dispatch()

	return f.done, reason
}

func (f *Fixed) done(spar.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.load.InFlight--
	f.dispatch()
}

// dispatch grants free permits to waiting calls.
func (f *Fixed) dispatch() {
	for f.load.InFlight < f.load.Limit && len(f.queued) > 0 {
		close(f.queued[0])
		f.queued = f.queued[1:]
		f.load.InFlight++
	}
}
