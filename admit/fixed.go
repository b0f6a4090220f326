// Package admit bounds the work that a backend server gets at once.
package admit

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
)

// Fixed admits as many calls at once as the backend server has slots. It is the baseline.
type Fixed struct {
	clock    spar.Clock
	maxQueue int

	mu     sync.Mutex
	load   spar.Load
	queued []chan struct{}
}

// NewFixed returns a limiter that admits nothing until Reset tells the capacity.
func NewFixed(clock spar.Clock, maxQueue int) *Fixed {
	return &Fixed{clock: clock, maxQueue: maxQueue}
}

// Reset sets the limit to the backend server's slots.
func (f *Fixed) Reset(c spar.Capacity) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.load.Limit = min(c.Slots, c.Conns)
	f.wake()
}

// Load returns the current counts.
func (f *Fixed) Load() spar.Load {
	f.mu.Lock()
	defer f.mu.Unlock()

	load := f.load
	load.Queued = len(f.queued)

	return load
}

// Acquire waits in order of arrival for a permit.
func (f *Fixed) Acquire(ctx context.Context, c spar.Call) (Done, spar.Reason) {
	turn, reason := f.enter()
	if turn == nil {
		return f.done, reason
	}

	t := f.clock.Timer(c.Deadline - f.clock.Now())
	defer t.Stop()

	select {
	case <-turn:
		return f.done, spar.ReasonNone
	case <-t.C:
		return f.leave(turn, spar.ReasonDeadline)
	case <-ctx.Done():
		return f.leave(turn, spar.ReasonDeadline)
	}
}

// enter takes a permit at once, joins the queue, or refuses when the queue is full.
func (f *Fixed) enter() (chan struct{}, spar.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.load.InFlight < f.load.Limit && len(f.queued) == 0 {
		f.load.InFlight++

		return nil, spar.ReasonNone
	}

	if len(f.queued) >= f.maxQueue {
		return nil, spar.ReasonShed
	}

	turn := make(chan struct{})
	f.queued = append(f.queued, turn)

	return turn, spar.ReasonNone
}

// leave gives up a place in the queue, or the permit that was given meanwhile.
func (f *Fixed) leave(turn chan struct{}, reason spar.Reason) (Done, spar.Reason) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for i, q := range f.queued {
		if q == turn {
			f.queued = append(f.queued[:i], f.queued[i+1:]...)

			return f.done, reason
		}
	}

	f.load.InFlight--
	f.wake()

	return f.done, reason
}

func (f *Fixed) done(spar.Millis, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.load.InFlight--
	f.wake()
}

func (f *Fixed) wake() {
	for f.load.InFlight < f.load.Limit && len(f.queued) > 0 {
		close(f.queued[0])
		f.queued = f.queued[1:]
		f.load.InFlight++
	}
}
