package admit

import (
	"context"
	"strings"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// maxClasses bounds the classes of calls whose latency is kept; further ones share a class.
	maxClasses = 64
	otherClass = ""
	holdWeight = 0.05

	// timerSlack is by how much a call that its deadline ended may seem to have ended before it.
	timerSlack spar.Millis = 1
)

// Settings are the settings of the adaptive limiter.
type Settings struct {
	// Start is the limit after a start and after a slow turn.
	Start int
	// Warmup is the least time in which the limit grows from Start to the capacity after a start.
	Warmup spar.Millis
	// Slow is the multiple of its own recent best at which a latency means a cold or slow server.
	Slow float64
	// MaxQueue bounds the calls that wait.
	MaxQueue int
}

// Adaptive admits as many calls at once as the backend server's latency allows, at most its slots
// and connections. Waiting calls of one key are served in order of arrival, and keys take turns. A
// call that can't end before its deadline by the measured times is refused at once, or when its turn
// comes. When the queue is full, the newest call of the key with the most waiting calls is refused.
type Adaptive struct {
	clock spar.Clock
	cfg   Settings
	log   reporter

	mu       sync.Mutex
	growth   growth
	inFlight int
	queue    *Queue[string, *waiter]
	classes  map[string]*latency
	held     spar.Millis
}

// waiter is a queued call. Reason is set before decided is closed.
type waiter struct {
	call    spar.Call
	class   *latency
	decided chan struct{}
	reason  spar.Reason
}

// NewAdaptive returns a limiter that admits nothing until Reset tells the capacity.
func NewAdaptive(clock spar.Clock, cfg Settings, events spar.Recorder) *Adaptive {
	return &Adaptive{
		clock: clock, cfg: cfg, log: reporter{events: events},
		growth: growth{start: cfg.Start, warmup: cfg.Warmup, slow: cfg.Slow},
		queue:  NewQueue[string, *waiter](), classes: map[string]*latency{},
	}
}

// Reset starts over with a small limit. The best latencies stay known: a server that has just
// started is compared with what it was before.
func (a *Adaptive) Reset(c spar.Capacity) {
	a.mu.Lock()
	defer a.mu.Unlock()

	now := a.clock.Now()
	a.growth.reset(now, max(0, min(c.Slots, c.Conns)))
	a.log.limit(now, a.growth.value(), "backend server started")
	a.dispatch(now)
}

// Govern applies the preset in force: a fixed limit at the capacity, or the adaptive one, and the
// bound on calls that wait. Latencies are measured in both cases.
func (a *Adaptive) Govern(fixed bool, maxQueue int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.growth.pinned, a.cfg.MaxQueue = fixed, maxQueue
	a.dispatch(a.clock.Now())
}

// Load returns the current counts.
func (a *Adaptive) Load() spar.Load {
	a.mu.Lock()
	defer a.mu.Unlock()

	return spar.Load{InFlight: a.inFlight, Limit: a.growth.value(), Queued: a.queue.Len()}
}

// Acquire waits for a permit.
func (a *Adaptive) Acquire(ctx context.Context, c spar.Call) (Done, spar.Reason) {
	w := a.enter(c)

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
		a.leave(w)
	case <-ctx.Done():
		a.leave(w)
	}
}

// enter admits, queues or refuses a call.
func (a *Adaptive) enter(c spar.Call) *waiter {
	a.mu.Lock()
	defer a.mu.Unlock()

	now := a.clock.Now()
	w := &waiter{call: c, class: a.class(c), decided: make(chan struct{})}

	switch {
	case a.inFlight < a.growth.value():
		a.grant(w)
	case now+a.wait(c.Key)+w.class.likely() > c.Deadline:
		a.shed(now, w, "deadline can't be met")
	case a.queue.Len() < a.cfg.MaxQueue || a.evict(now, c.Key):
		a.queue.Push(c.Key, w)
	default:
		a.shed(now, w, "queue is full")
	}

	return w
}

// evict makes room for a call of key by refusing one of a key with more waiting calls.
func (a *Adaptive) evict(now spar.Millis, key string) bool {
	longest, newest, ok := a.queue.Longest()
	if !ok || a.queue.Waiting(longest) <= a.queue.Waiting(key)+1 {
		return false
	}

	a.queue.Remove(longest, newest)
	a.shed(now, newest, "queue is full")

	return true
}

// wait returns how long a new call of key would wait by the measured times.
func (a *Adaptive) wait(key string) spar.Millis {
	return spar.Millis(a.queue.Ahead(key)+1) * a.held / spar.Millis(max(1, a.growth.value()))
}

func (a *Adaptive) grant(w *waiter) {
	a.inFlight++
	close(w.decided)
}

func (a *Adaptive) shed(now spar.Millis, w *waiter, why string) {
	w.reason = spar.ReasonShed
	a.log.shed(now, w.call.Service.Name, why)
	close(w.decided)
}

// leave gives up a place in the queue, or the permit that was granted meanwhile.
func (a *Adaptive) leave(w *waiter) {
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

// dispatch hands free permits to waiting calls that can still end in time.
func (a *Adaptive) dispatch(now spar.Millis) {
	for a.inFlight < a.growth.value() {
		w, ok := a.queue.Pop()
		if !ok {
			return
		}

		if now+w.class.likely() > w.call.Deadline {
			a.shed(now, w, "deadline can't be met")

			continue
		}

		a.grant(w)
	}
}

// done returns the function that gives the permit of w back.
func (a *Adaptive) done(ctx context.Context, w *waiter) Done {
	began := a.clock.Now()

	return func(took spar.Millis, ok bool) {
		a.mu.Lock()
		defer a.mu.Unlock()

		now := a.clock.Now()
		before := a.growth.value()
		busy := a.inFlight >= before

		a.inFlight--

		// A call that was not sent after all takes no time and tells nothing.
		if took > 0 {
			a.learn(ctx, w, now, took, ok, busy)
		}

		if took > 0 && ok {
			a.hold(now - began)
		}

		if after := a.growth.value(); after != before {
			a.log.limit(now, after, "latency and completed work")
		}

		a.dispatch(now)
	}
}

// learn adapts the limit to the end of a call. The time of a call that was canceled or ended by its
// deadline is a lower bound, which tells something only if it is slow by itself. It is no failure of
// the server: counting it as one kept the limit at its start under overload.
func (a *Adaptive) learn(ctx context.Context, w *waiter, now, took spar.Millis, ok, busy bool) {
	l := w.class
	slow := l.best > 0 && float64(took/l.best) >= a.cfg.Slow

	switch {
	case ok:
		a.growth.completed(now, busy)
	case ctx.Err() == nil && now+timerSlack < w.call.Deadline:
		a.growth.failed(now)
	}

	if !ok && !slow {
		return
	}

	if ratio, closed := l.add(now, took); closed {
		a.growth.judge(now, ratio)
	}
}

func (a *Adaptive) hold(held spar.Millis) {
	if a.held == 0 {
		a.held = held
	}

	a.held += holdWeight * (held - a.held)
}

// class returns the latencies of calls like c: same service and method, and the same kind of path
// where any upstream may serve. Where keys are owned, the path begins with the key.
func (a *Adaptive) class(c spar.Call) *latency {
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
		a.classes[name] = &latency{}
	}

	return a.classes[name]
}
