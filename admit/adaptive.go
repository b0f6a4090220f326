package admit

import (
	"context"
	"strings"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// maxClasses bounds the number of call classes with their own latency statistics. Calls of further
	// classes share otherClass.
	maxClasses = 64
	otherClass = ""
	// holdWeight is the weight of a new sample in the mean time that permits are held.
	holdWeight = 0.05

	// timerSlack is the tolerance for timers that fire early: a call that ends less than this before its
	// deadline counts as ended by the deadline.
	timerSlack spar.Millis = 1
)

// Settings are the settings of the adaptive limiter.
type Settings struct {
	// StartLimit is the limit after the backend server has started and after it has become slow.
	StartLimit int
	// Warmup is the minimum time in which the limit grows from its start value to the capacity after a start.
	Warmup spar.Millis
	// SlowRatio is the multiple of its own recent best latency at which the backend server counts as cold or
	// slow.
	SlowRatio float64
	// MaxQueue is the maximum number of waiting calls.
	MaxQueue int
}

// Adaptive adapts the number of concurrent calls to the latency of the backend server, up to the number
// of its slots and connections. Waiting calls of one key are admitted in order of arrival, and the keys
// are served round-robin. A call whose deadline can't be met according to the measured times is refused
// on arrival or when it reaches the head of the queue. When the queue is full, the newest call of the
// key with the most waiting calls is refused.
type Adaptive struct {
	clock    spar.Clock
	cfg      Settings
	reporter reporter

	mu       sync.Mutex
	control  limitControl
	inFlight int
	queue    *Queue[string, *waiter]
	classes  map[string]*latencyStats
	meanHold spar.Millis
}

// waiter is a call that waits for admission. The reason is set before decided is closed.
type waiter struct {
	call    spar.Call
	class   *latencyStats
	decided chan struct{}
	reason  spar.Reason
}

// NewAdaptive returns a limiter that admits nothing until Reset has set the capacity.
func NewAdaptive(clock spar.Clock, cfg Settings, events spar.Recorder) *Adaptive {
	return &Adaptive{
		clock: clock, cfg: cfg, reporter: reporter{events: events},
		control: limitControl{startLimit: cfg.StartLimit, warmup: cfg.Warmup, slowRatio: cfg.SlowRatio},
		queue:   NewQueue[string, *waiter](), classes: map[string]*latencyStats{},
	}
}

// Reset returns to the start limit, with the capacity of a backend server that has just started. The best
// latencies are kept, so that the new server process is compared with the one before it.
func (a *Adaptive) Reset(c spar.Capacity) {
	a.mu.Lock()
	defer a.mu.Unlock()

	now := a.clock.Now()
	a.control.reset(now, max(0, min(c.Slots, c.Conns)))
	a.reporter.limit(now, a.control.current(), "backend server started")
	a.dispatch(now)
}

// SetPolicy applies the preset in force: a limit fixed at the capacity or an adaptive limit, and the maximum
// number of waiting calls. Latencies are measured in both cases.
func (a *Adaptive) SetPolicy(fixed bool, maxQueue int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.control.fixed, a.cfg.MaxQueue = fixed, maxQueue
	a.dispatch(a.clock.Now())
}

// Load returns the numbers of calls in flight and waiting, and the limit.
func (a *Adaptive) Load() spar.Load {
	a.mu.Lock()
	defer a.mu.Unlock()

	return spar.Load{InFlight: a.inFlight, Limit: a.control.current(), Queued: a.queue.Len()}
}

// Acquire waits for a permit until the deadline of the call or the end of ctx.
func (a *Adaptive) Acquire(ctx context.Context, c spar.Call) (Done, spar.Reason) {
	w := a.submit(c)

	select {
	case <-w.decided:
	default:
		a.await(ctx, w)
	}

	if w.reason != spar.ReasonNone {
		return noDone, w.reason
	}

	return a.done(ctx, w), spar.ReasonNone
}

// await waits for the decision on a queued call.
func (a *Adaptive) await(ctx context.Context, w *waiter) {
	t := a.clock.Timer(w.call.Deadline - a.clock.Now())
	defer t.Stop()

	select {
	case <-w.decided:
	case <-t.C:
		a.abandon(w)
	case <-ctx.Done():
		a.abandon(w)
	}
}

// submit admits, queues or refuses a call.
func (a *Adaptive) submit(c spar.Call) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()

	now := a.clock.Now()
	w := &waiter{call: c, class: a.class(c), decided: make(chan struct{})}

	switch {
	case a.inFlight < a.control.current():
		a.grant(w)
	case now+a.estimateWait(c.Key)+w.class.estimateP90() > c.Deadline:
		a.shed(now, w, "deadline can't be met")
	case a.queue.Len() < a.cfg.MaxQueue || a.evict(now, c.Key):
		a.queue.Push(c.Key, w)
	default:
		a.shed(now, w, "queue is full")
	}

	return w
}

// evict frees a place in the queue for a call of key by refusing the newest call of the key with the most
// waiting calls. It reports false if that key doesn't have at least two more waiting calls than key.
func (a *Adaptive) evict(now spar.Millis, key string) bool {
	longest, newest, ok := a.queue.LastOfLongest()
	if !ok || a.queue.LenOf(longest) <= a.queue.LenOf(key)+1 {
		return false
	}

	a.queue.Remove(longest, newest)
	a.shed(now, newest, "queue is full")

	return true
}

// estimateWait returns how long a new call of key would wait, according to the mean time that permits are
// held.
func (a *Adaptive) estimateWait(key string) spar.Millis {
	return spar.Millis(a.queue.Ahead(key)+1) * a.meanHold / spar.Millis(max(1, a.control.current()))
}

func (a *Adaptive) grant(w *waiter) {
	a.inFlight++
	close(w.decided)
}

func (a *Adaptive) shed(now spar.Millis, w *waiter, cause string) {
	w.reason = spar.ReasonShed
	a.reporter.shed(now, w.call.Service.Name, cause)
	close(w.decided)
}

// abandon removes a waiter from the queue, or returns the permit that was granted in the meantime.
func (a *Adaptive) abandon(w *waiter) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if !a.queue.Remove(w.call.Key, w) {
		if w.reason != spar.ReasonNone {
			return
		}

		a.inFlight--
		a.dispatch(a.clock.Now())
	}

	w.reason = spar.ReasonDeadline
}

// dispatch grants free permits to waiting calls, and sheds those whose deadline can no longer be met.
func (a *Adaptive) dispatch(now spar.Millis) {
	for a.inFlight < a.control.current() {
		w, ok := a.queue.Pop()
		if !ok {
			return
		}

		if now+w.class.estimateP90() > w.call.Deadline {
			a.shed(now, w, "deadline can't be met")

			continue
		}

		a.grant(w)
	}
}

// done returns the function that returns the permit of w.
func (a *Adaptive) done(ctx context.Context, w *waiter) Done {
	grantedAt := a.clock.Now()

	return func(took spar.Millis, ok bool) {
		a.mu.Lock()
		defer a.mu.Unlock()

		now := a.clock.Now()
		before := a.control.current()
		saturated := a.inFlight >= before

		a.inFlight--

		// A call that was not sent to the backend server has taken no time and is no sample of its latency.
		if took > 0 {
			a.adapt(ctx, w, now, took, ok, saturated)
		}

		if took > 0 && ok {
			a.updateHold(now - grantedAt)
		}

		if after := a.control.current(); after != before {
			a.reporter.limit(now, after, "latency and completed work")
		}

		a.dispatch(now)
	}
}

// adapt adapts the limit to the result of a call. The time of a call that was canceled or exceeded its
// deadline is a lower bound of the latency, so it is used only if it already counts as slow. Such a call is
// no failure of the server: counting it as one kept the limit at its start value under overload.
func (a *Adaptive) adapt(ctx context.Context, w *waiter, now, took spar.Millis, ok, saturated bool) {
	stats := w.class
	slow := stats.best > 0 && float64(took/stats.best) >= a.cfg.SlowRatio

	switch {
	case ok:
		a.control.onSuccess(now, saturated)
	case ctx.Err() == nil && now+timerSlack < w.call.Deadline:
		a.control.onFailure(now)
	}

	if !ok && !slow {
		return
	}

	if ratio, closed := stats.add(now, took); closed {
		a.control.onWindow(now, ratio)
	}
}

// updateHold updates the mean time for which a permit is held.
func (a *Adaptive) updateHold(hold spar.Millis) {
	if a.meanHold == 0 {
		a.meanHold = hold
	}

	a.meanHold += holdWeight * (hold - a.meanHold)
}

// class returns the latency statistics of the class of c, which is its service and method. In services
// where any upstream may serve a request, the first segment of the path belongs to the class as well; where
// keys have owners, that segment is the key.
func (a *Adaptive) class(c spar.Call) *latencyStats {
	name := c.Service.Name + " " + c.Method

	if c.Service.Mode == spar.ModeAny {
		kind := strings.TrimPrefix(c.URI, "/"+c.Service.Name+"/")
		if i := strings.IndexAny(kind, "/?"); i >= 0 {
			kind = kind[:i]
		}

		name += " " + kind
	}

	if l, ok := a.classes[name]; ok {
		return l
	}

	if len(a.classes) >= maxClasses {
		name = otherClass
	}

	if _, ok := a.classes[name]; !ok {
		a.classes[name] = &latencyStats{}
	}

	return a.classes[name]
}
