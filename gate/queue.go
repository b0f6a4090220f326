package gate

import (
	"math"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/rules"
)

const (
	// initialService is the service time assumed before the first measurement.
	initialService spar.Millis = 50
	// serviceGain is the weight of a new measurement in the moving averages of service times.
	serviceGain = 0.05
	// minRetryAfter is the minimum time after which a refused request may be retried.
	minRetryAfter spar.Millis = 30
	// maxLateWait is the maximum wait of a request whose objective had passed on arrival, in mean service
	// times of its class. A call that running work depends on is still useful then; the bound keeps other
	// callers from waiting unnecessarily.
	maxLateWait = 2
	// pipelinedShare is the share of the time to its objective within which a pipelined request must be served. The
	// responses behind it wait as well, and its own response may wait for those before it.
	pipelinedShare = 0.6
)

// Class groups requests with similar service times. Calls from running work are much shorter than
// state-changing requests of the same priority or downloads.
type Class struct {
	Priority int
	Kind     rules.Kind
}

// Waiter is a request that needs a slot.
type Waiter struct {
	Priority  int
	Kind      rules.Kind
	Objective spar.Millis
	Deadline  spar.Millis
	// Pipelined reports whether other responses wait for the response to this request.
	Pipelined bool
	// arrival is the sequence number of the request; it decides between otherwise equal requests.
	arrival int64
	// admitted is closed once the request has a slot.
	admitted chan struct{}
	running  bool
	// late reports whether the objective had passed on arrival.
	late bool
	// startBy is the latest time at which the request is still worth starting.
	startBy spar.Millis
}

func (w *Waiter) class() Class {
	return Class{Priority: w.Priority, Kind: w.Kind}
}

// before reports whether w is admitted before other.
func (w *Waiter) before(other *Waiter) bool {
	switch {
	case w.Priority != other.Priority:
		return w.Priority < other.Priority
	case w.late != other.late:
		return other.late
	case w.Objective != other.Objective:
		return w.Objective < other.Objective
	default:
		return w.arrival < other.arrival
	}
}

// Queue admits requests to a backend server's slots. A higher priority is admitted first, and within one
// priority the earlier objective, so that short calls don't wait behind long work whose callers can wait
// longer. A request that can't meet its objective is refused on arrival, so that waiting requests still meet
// theirs during a burst. A request whose objective has already passed may wait briefly, behind all others of its
// priority.
type Queue struct {
	clock spar.Clock

	mu       sync.Mutex
	slots    int
	running  int
	waiting  []*Waiter
	arrivals int64
	// service is the mean service time of all requests, and classes has the mean of each class.
	service float64
	classes map[Class]float64
}

// NewQueue returns a queue with one slot.
func NewQueue(clock spar.Clock) *Queue {
	return &Queue{clock: clock, slots: 1, service: float64(initialService), classes: map[Class]float64{}}
}

// Resize sets the number of slots, and admits waiting requests to new ones.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.slots = max(1, slots)
	q.advance()
}

// Load is a snapshot of a queue's load.
type Load struct {
	Slots           int         `json:"slots"`
	Running         int         `json:"running"`
	Waiting         int         `json:"waiting"`
	MeanServiceTime spar.Millis `json:"service_ms"`
	// Slowdown is the ratio in percent of the present service time to the usual one, as the backend server last reported
	// it; 0 means unknown.
	Slowdown int `json:"slowdown,omitempty"`
	// Link is how long the VM's network link is busy with bytes that were written or reserved.
	Link spar.Millis `json:"link_ms,omitempty"`
}

// Load returns the queue's current load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	return Load{Slots: q.slots, Running: q.running, Waiting: len(q.waiting), MeanServiceTime: spar.Millis(q.service)}
}

// Wait returns the expected wait for a slot of a request that arrives now.
func (l Load) Wait() spar.Millis {
	ahead := l.Running + l.Waiting - l.Slots + 1
	if ahead <= 0 || l.Slots == 0 {
		return 0
	}

	return l.MeanServiceTime * spar.Millis(ahead) / spar.Millis(l.Slots)
}

// Enter admits the request to a free slot or adds it to the queue. If the request could not be served by its
// objective or deadline, it returns false and the time after which to retry. The channel Admitted is closed once
// the request has a slot. The caller must call Release after Enter has returned true.
func (q *Queue) Enter(w *Waiter) (ok bool, after spar.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.arrivals++
	w.arrival = q.arrivals
	w.admitted = make(chan struct{})

	if q.running < q.slots && len(q.waiting) == 0 {
		q.start(w)

		return true, 0
	}

	if wait, ok := q.assessLocked(w); !ok {
		return false, max(minRetryAfter, wait)
	}

	q.waiting = append(q.waiting, w)

	return true, 0
}

// Foresee returns how long a request would wait for a slot if it arrived now, and whether Enter would accept it. It
// changes neither the queue nor the request.
func (q *Queue) Foresee(w Waiter) (wait spar.Millis, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.running < q.slots && len(q.waiting) == 0 {
		return 0, true
	}

	w.arrival = q.arrivals + 1

	return q.assessLocked(&w)
}

// assessLocked prepares a request for the queue, and returns its expected wait and whether it could be served by its
// objective or deadline.
func (q *Queue) assessLocked(w *Waiter) (wait spar.Millis, ok bool) {
	now := q.clock.Now()
	service := spar.Millis(q.serviceTime(w.class()))
	w.late = !w.neededByRunningWork() && w.Objective <= now

	if w.Pipelined && !w.late {
		w.Objective = now + (w.Objective-now)*pipelinedShare
	}

	wait = q.estimateWaitLocked(w)
	w.startBy = w.latestStart(now, service)

	return wait, now+wait <= w.startBy && now+wait+service <= w.latestEnd()
}

// estimateWaitLocked estimates how long w waits for a slot: one mean service time, since all slots are in
// use, plus the work of the requests that are admitted before it.
func (q *Queue) estimateWaitLocked(w *Waiter) spar.Millis {
	ahead := q.service

	for _, o := range q.waiting {
		if o.before(w) {
			ahead += q.serviceTime(o.class())
		}
	}

	return spar.Millis(ahead / float64(q.slots))
}

// neededByRunningWork reports whether a request is taken for a call that work which is already running depends on.
// These calls have the highest priority; backend servers don't pipeline them.
func (w *Waiter) neededByRunningWork() bool {
	return w.Priority == 0 && !w.Pipelined
}

// latestEnd returns the latest completion time that justifies waiting. For a call that running work depends on, a late
// response is worth as much as a timely one; so only its deadline counts.
func (w *Waiter) latestEnd() spar.Millis {
	if w.neededByRunningWork() || w.late {
		return w.Deadline
	}

	return min(w.Objective, w.Deadline)
}

// latestStart returns the latest start time that justifies waiting.
func (w *Waiter) latestStart(now, service spar.Millis) spar.Millis {
	if w.late {
		return min(now+maxLateWait*service, w.Deadline)
	}

	return w.latestEnd()
}

// Admitted returns a channel that is closed once the request has a slot.
func (w *Waiter) Admitted() <-chan struct{} {
	return w.admitted
}

// Release frees the slot of a request, or removes the request from the queue.
func (q *Queue) Release(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if w.running {
		w.running = false
		q.running--
		q.advance()

		return
	}

	for i, o := range q.waiting {
		if o == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)

			return
		}
	}
}

// Observe updates the mean service times with the time that the backend server took for a request of class c.
func (q *Queue) Observe(c Class, d spar.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()

	took := math.Max(1, float64(d))
	mean := q.serviceTime(c)
	q.service += serviceGain * (took - q.service)
	q.classes[c] = mean + serviceGain*(took-mean)
}

// serviceTime returns the mean service time of a class, or that of all requests if the class has none.
func (q *Queue) serviceTime(c Class) float64 {
	if mean, ok := q.classes[c]; ok {
		return mean
	}

	return q.service
}

// start admits a request to a slot.
func (q *Queue) start(w *Waiter) {
	q.running++
	w.running = true
	close(w.admitted)
}

// advance admits waiting requests to free slots.
func (q *Queue) advance() {
	for q.running < q.slots && len(q.waiting) > 0 {
		best := 0
		for i, w := range q.waiting {
			if w.before(q.waiting[best]) {
				best = i
			}
		}

		w := q.waiting[best]
		q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
		q.start(w)
	}
}
