// Package pace shares the bandwidth of a VM's network link: short responses don't wait behind long ones, and
// long responses are refused if they could not arrive by the time at which they are due.
package pace

import (
	"context"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// burst is how far ahead of the link long responses are written, and so the maximum time that a short
	// response waits behind them.
	burst spar.Millis = 12
	// usableShare is the fraction of the link that long responses may use; the rest is for all other traffic.
	usableShare = 0.85
	// objectiveShare is the fraction of the remaining time within which a long response must be sent.
	objectiveShare = 0.75
	// initialSize is the size in bytes that is assumed for a long response before the first one was sent.
	initialSize = 64 << 10
	// sizeGain is the weight of a new size in the moving average.
	sizeGain = 0.05
	// minDelay is the minimum time between two checks of the link.
	minDelay spar.Millis = 1
	// ChunkBytes is the maximum size of one write of a long response.
	ChunkBytes = 8 << 10
	// BytesPerMegabit converts megabits per second into bytes per millisecond.
	BytesPerMegabit = 125
)

// Link schedules the long responses on the network link of this VM. A link with the rate 0 limits nothing.
type Link struct {
	clock spar.Clock
	// rate is the usable rate in bytes per millisecond.
	rate float64

	mu sync.Mutex
	// freeAt is when the link will have sent all bytes that have been written.
	freeAt spar.Millis
	// reserved is the number of bytes that are reserved and not written yet.
	reserved float64
	// meanSize is the moving average of the sizes of long responses.
	meanSize float64
	// lastOrder is the order of the newest transfer.
	lastOrder int64
	// waiting is sorted by order.
	waiting []*waiter
}

// waiter is a transfer that waits to write its next chunk.
type waiter struct {
	order int64
	// wake is signaled when the waiter may have become the first.
	wake chan struct{}
}

// New returns a link with a rate in bytes per millisecond; 0 means that the link limits nothing.
func New(clock spar.Clock, rate float64) *Link {
	return &Link{clock: clock, rate: rate * usableShare, meanSize: initialSize}
}

// Wait returns how long the link is busy with the bytes that are written or reserved.
func (l *Link) Wait() spar.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.waitLocked(l.clock.Now())
}

// Backlog returns how long it takes at the full rate to send the bytes that have been written, and so the delay of what
// is written now.
func (l *Link) Backlog() spar.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()

	return max(0, l.freeAt-l.clock.Now()) * usableShare
}

func (l *Link) waitLocked(now spar.Millis) spar.Millis {
	if l.rate <= 0 {
		return 0
	}

	return max(0, l.freeAt-now) + spar.Millis(l.reserved/l.rate)
}

// Reserve reserves time on the link for a long response that is due at a time. If the link is busy and the response
// could not arrive by then, it returns false and the time after which there is free capacity. The transfer must be
// closed.
func (l *Link) Reserve(due spar.Millis) (t *Transfer, after spar.Millis, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	wait := l.waitLocked(now)
	l.lastOrder++
	t = &Transfer{link: l, order: l.lastOrder}

	if l.rate <= 0 {
		return t, 0, true
	}

	budget := (due - now) * objectiveShare
	needed := wait + spar.Millis(l.meanSize/l.rate)

	if wait > 0 && needed > budget {
		return nil, needed - budget, false
	}

	t.reserved = l.meanSize
	l.reserved += t.reserved

	return t, 0, true
}

// Record records bytes that are sent without waiting for the link: short responses, requests to other nodes and
// the node's state that it sends to its peers.
func (l *Link) Record(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.sendLocked(l.clock.Now(), float64(bytes))
}

// sendLocked moves freeAt by the time that the link takes to send the bytes.
func (l *Link) sendLocked(now spar.Millis, bytes float64) {
	if l.rate > 0 {
		l.freeAt = max(l.freeAt, now) + spar.Millis(bytes/l.rate)
	}
}

// Transfer is one long response on a link.
type Transfer struct {
	link  *Link
	order int64
	// reserved is the number of bytes that are reserved and not written yet.
	reserved float64
	sent     float64
}

// Acquire waits until the next bytes of the response may be written. Responses are served in the order of their
// reservations.
func (t *Transfer) Acquire(ctx context.Context, bytes int) error {
	if t.link.rate <= 0 {
		return nil
	}

	w := &waiter{order: t.order, wake: make(chan struct{}, 1)}
	t.link.enqueue(w)
	defer t.link.dequeue(w)

	for {
		delay, ok := t.tryAcquire(w, float64(bytes))
		if ok {
			return nil
		}

		if err := t.link.awaitWake(ctx, w, delay); err != nil {
			return err
		}
	}
}

// tryAcquire acquires the link for the next bytes, or returns the time until it may be free.
func (t *Transfer) tryAcquire(w *waiter, bytes float64) (spar.Millis, bool) {
	l := t.link

	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	ahead := l.freeAt - now

	switch {
	case ahead > burst:
		return max(minDelay, ahead-burst), false
	case l.waiting[0] != w:
		return burst, false
	}

	l.sendLocked(now, bytes)
	t.sent += bytes
	t.setReservedLocked(t.reserved - bytes)

	return 0, true
}

// setReservedLocked sets the reservation of the transfer, and updates that of the link.
func (t *Transfer) setReservedLocked(reserved float64) {
	reserved = max(0, reserved)
	t.link.reserved += reserved - t.reserved
	t.reserved = reserved
}

// Resize corrects the reservation once the length of the response is known.
func (t *Transfer) Resize(bytes int64) {
	if t.link.rate <= 0 || bytes < 0 {
		return
	}

	t.link.mu.Lock()
	defer t.link.mu.Unlock()

	t.setReservedLocked(float64(bytes) - t.sent)
}

// Close releases the rest of the reservation. The size of the response counts in the mean if complete is true,
// which means that all of it was sent.
func (t *Transfer) Close(complete bool) {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()

	t.setReservedLocked(0)

	if complete {
		t.link.meanSize += sizeGain * (t.sent - t.link.meanSize)
	}
}

// enqueue adds a waiter behind those with an earlier reservation.
func (l *Link) enqueue(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()

	i, _ := slices.BinarySearchFunc(l.waiting, w.order, func(o *waiter, order int64) int { return int(o.order - order) })
	l.waiting = slices.Insert(l.waiting, i, w)
}

// dequeue removes a waiter and wakes the first of the others.
func (l *Link) dequeue(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()

	i := slices.Index(l.waiting, w)
	l.waiting = slices.Delete(l.waiting, i, i+1)

	if len(l.waiting) == 0 {
		return
	}

	select {
	case l.waiting[0].wake <- struct{}{}:
	default:
	}
}

// awaitWake waits until the waiter is woken, the delay has passed or ctx has ended.
func (l *Link) awaitWake(ctx context.Context, w *waiter, d spar.Millis) error {
	timer := l.clock.Timer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.wake:
	case <-timer.C:
	}

	return nil
}
