// Package pace shares the bandwidth of a VM's network link, so that short answers don't wait behind
// long ones, and long ones are refused while they could not arrive in time.
package pace

import (
	"context"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// burst is how far ahead of the link long answers are written, and so the longest time that a short
	// answer waits behind them.
	burst spar.Millis = 12
	// usableShare is the part of the link that long answers may take; the rest is for all else.
	usableShare = 0.85
	// objectiveShare is the part of the time left for which a long answer may wait for the link.
	objectiveShare = 0.75
	// sizeStart is the size of a long answer assumed before any was seen, in bytes.
	sizeStart = 64 << 10
	// sizeGain is the weight of a new size in the average.
	sizeGain = 0.05
	// pauseLeast is the shortest pause before the link is looked at again.
	pauseLeast spar.Millis = 1
	// ChunkBytes is the most that is written at once.
	ChunkBytes = 8 << 10
	// BytesPerMegabit turns megabits a second into bytes a millisecond.
	BytesPerMegabit = 125
)

// Link is the network link of this VM. The link of no rate bounds nothing.
type Link struct {
	clock spar.Clock
	// rate is in bytes a millisecond.
	rate float64

	mu sync.Mutex
	// free is when the link has sent all that was written.
	free spar.Millis
	// booked is the number of bytes that are promised and not written yet.
	booked  float64
	size    float64
	last    int64
	waiting []*waiter
}

// waiter is a transfer whose next chunk waits for the link.
type waiter struct {
	order int64
	// turn is sent to when the waiter may have become the first.
	turn chan struct{}
}

// New returns a link of a rate in bytes a millisecond; 0 means that the link bounds nothing.
func New(clock spar.Clock, rate float64) *Link {
	return &Link{clock: clock, rate: rate * usableShare, size: sizeStart}
}

// Wait returns how long the link is busy with what is promised.
func (l *Link) Wait() spar.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.waitLocked(l.clock.Now())
}

func (l *Link) waitLocked(now spar.Millis) spar.Millis {
	if l.rate <= 0 {
		return 0
	}

	return max(0, l.free-now) + spar.Millis(l.booked/l.rate)
}

// Book promises the link to a long answer that is due at a time. It returns false and the time after
// which there is room if the answer would not arrive by then. The transfer must be closed.
func (l *Link) Book(due spar.Millis) (t *Transfer, after spar.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	wait := l.waitLocked(now)
	l.last++
	t = &Transfer{link: l, order: l.last}

	if l.rate <= 0 {
		return t, 0, true
	}

	left := (due - now) * objectiveShare
	need := wait + spar.Millis(l.size/l.rate)

	if wait > 0 && need > left {
		return nil, need - left, false
	}

	t.left = l.size
	l.booked += t.left

	return t, 0, true
}

// Note counts bytes that don't wait for the link: short answers, requests to other nodes, states.
func (l *Link) Note(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.sendLocked(l.clock.Now(), float64(bytes))
}

func (l *Link) sendLocked(now spar.Millis, bytes float64) {
	if l.rate > 0 {
		l.free = max(l.free, now) + spar.Millis(bytes/l.rate)
	}
}

// Transfer is one long answer on a link.
type Transfer struct {
	link  *Link
	order int64
	// left is what is booked and not written.
	left float64
	sent float64
}

// Take waits until the next bytes of the answer may be written. Earlier booked answers go first.
func (t *Transfer) Take(ctx context.Context, bytes int) error {
	if t.link.rate <= 0 {
		return nil
	}

	w := &waiter{order: t.order, turn: make(chan struct{}, 1)}
	t.link.enter(w)
	defer t.link.leave(w)

	for {
		pause, ok := t.try(w, float64(bytes))
		if ok {
			return nil
		}

		if err := t.link.pause(ctx, w, pause); err != nil {
			return err
		}
	}
}

// try takes the link, or returns the time until it may be free.
func (t *Transfer) try(w *waiter, bytes float64) (spar.Millis, bool) {
	l := t.link

	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	ahead := l.free - now

	switch {
	case ahead > burst:
		return max(pauseLeast, ahead-burst), false
	case l.waiting[0] != w:
		return burst, false
	}

	l.sendLocked(now, bytes)
	t.sent += bytes
	t.bookLocked(t.left - bytes)

	return 0, true
}

func (t *Transfer) bookLocked(left float64) {
	left = max(0, left)
	t.link.booked += left - t.left
	t.left = left
}

// Resize corrects what is booked once the answer's length is known.
func (t *Transfer) Resize(bytes int64) {
	if t.link.rate <= 0 || bytes < 0 {
		return
	}

	t.link.mu.Lock()
	defer t.link.mu.Unlock()

	t.bookLocked(float64(bytes) - t.sent)
}

// Close gives back what is booked. Whole says that the answer was sent to its end.
func (t *Transfer) Close(whole bool) {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()

	t.bookLocked(0)

	if whole {
		t.link.size += sizeGain * (t.sent - t.link.size)
	}
}

func (l *Link) enter(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()

	i, _ := slices.BinarySearchFunc(l.waiting, w.order, func(o *waiter, order int64) int { return int(o.order - order) })
	l.waiting = slices.Insert(l.waiting, i, w)
}

func (l *Link) leave(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()

	i := slices.Index(l.waiting, w)
	l.waiting = slices.Delete(l.waiting, i, i+1)

	if len(l.waiting) == 0 {
		return
	}

	select {
	case l.waiting[0].turn <- struct{}{}:
	default:
	}
}

func (l *Link) pause(ctx context.Context, w *waiter, d spar.Millis) error {
	timer := l.clock.Timer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.turn:
	case <-timer.C:
	}

	return nil
}
