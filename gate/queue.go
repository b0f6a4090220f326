package gate

import (
	"math"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/rules"
)

const (
	// serviceStart is the service time assumed before any was measured.
	serviceStart spar.Millis = 50
	// serviceGain is the weight of a new service time in the average.
	serviceGain = 0.05
	// retryLeast is the shortest time after which a refused request may come back.
	retryLeast spar.Millis = 30
	// latePatience is how long a request that is late on arrival may wait, in mean service times of its
	// class. A call that running work needs is still of use then, but no caller is held in vain.
	latePatience = 2
)

// Class tells requests apart whose service times differ: calls of running work are much shorter than
// orders of the same rank or downloads.
type Class struct {
	Priority int
	Kind     rules.Kind
}

// Entrant is a request that wants a slot.
type Entrant struct {
	Priority  int
	Kind      rules.Kind
	Objective spar.Millis
	Deadline  spar.Millis
	arrival   int64
	turn      chan struct{}
	running   bool
	// late says that the objective had passed on arrival, and latest ends the wait.
	late   bool
	latest spar.Millis
}

func (e *Entrant) class() Class {
	return Class{Priority: e.Priority, Kind: e.Kind}
}

// before reports whether e gets a slot before o.
func (e *Entrant) before(o *Entrant) bool {
	switch {
	case e.Priority != o.Priority:
		return e.Priority < o.Priority
	case e.late != o.late:
		return o.late
	case e.Objective != o.Objective:
		return e.Objective < o.Objective
	default:
		return e.arrival < o.arrival
	}
}

// Queue gives a backend server's slots to requests. A higher priority goes first, and within one the
// earlier objective, so that short calls don't wait behind long work whose caller waits longer. A request
// that could not meet its objective is refused on arrival, so that under a burst those that wait are
// still served in time; one that is late already waits briefly and behind the others.
type Queue struct {
	clock spar.Clock

	mu      sync.Mutex
	slots   int
	running int
	waiting []*Entrant
	arrived int64
	// service is the mean service time, and classes has that of each class.
	service float64
	classes map[Class]float64
}

// NewQueue returns a queue for one slot.
func NewQueue(clock spar.Clock) *Queue {
	return &Queue{clock: clock, slots: 1, service: float64(serviceStart), classes: map[Class]float64{}}
}

// Resize sets the number of slots.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.slots = max(1, slots)
	q.advance()
}

// Load is a queue's load at one moment.
type Load struct {
	Slots   int         `json:"slots"`
	Running int         `json:"running"`
	Waiting int         `json:"waiting"`
	Service spar.Millis `json:"service_ms"`
	// Link is how long the VM's network link is busy with answers that are promised.
	Link spar.Millis `json:"link_ms,omitempty"`
}

// Load returns the load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()

	return Load{Slots: q.slots, Running: q.running, Waiting: len(q.waiting), Service: spar.Millis(q.service)}
}

// Wait returns how long a request that arrives now is likely to wait for a slot.
func (l Load) Wait() spar.Millis {
	ahead := l.Running + l.Waiting - l.Slots + 1
	if ahead <= 0 || l.Slots == 0 {
		return 0
	}

	return l.Service * spar.Millis(ahead) / spar.Millis(l.Slots)
}

// Enter takes a slot or a place to wait. It returns false and a time to come back if the request would
// not be served in time. The channel is closed when the slot is given.
func (q *Queue) Enter(e *Entrant) (ok bool, after spar.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.arrived++
	e.arrival = q.arrived
	e.turn = make(chan struct{})

	if q.running < q.slots && len(q.waiting) == 0 {
		q.start(e)

		return true, 0
	}

	now := q.clock.Now()
	own := spar.Millis(q.ofClass(e.class()))
	e.late = e.Priority > 0 && e.Objective <= now
	wait := q.waitLocked(e)
	e.latest = e.latestFrom(now, own)

	if now+wait > e.latest || now+wait+own > e.limit() {
		return false, max(retryLeast, wait)
	}

	q.waiting = append(q.waiting, e)

	return true, 0
}

// waitLocked estimates how long an entrant waits for a slot.
func (q *Queue) waitLocked(e *Entrant) spar.Millis {
	ahead := q.service

	for _, o := range q.waiting {
		if o.before(e) {
			ahead += q.ofClass(o.class())
		}
	}

	return spar.Millis(ahead / float64(q.slots))
}

// limit is the latest end that is worth a wait. Requests of the highest rank are needed by work that
// already runs, so a late answer is worth as much to them as one in time.
func (e *Entrant) limit() spar.Millis {
	if e.Priority == 0 || e.late {
		return e.Deadline
	}

	return min(e.Objective, e.Deadline)
}

// latestFrom returns the latest start that is worth a wait.
func (e *Entrant) latestFrom(now, own spar.Millis) spar.Millis {
	if e.late {
		return min(now+latePatience*own, e.Deadline)
	}

	return e.limit()
}

// Turn is closed when the entrant has a slot.
func (e *Entrant) Turn() <-chan struct{} {
	return e.turn
}

// Leave gives back the entrant's slot, or its place to wait.
func (q *Queue) Leave(e *Entrant) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if e.running {
		e.running = false
		q.running--
		q.advance()

		return
	}

	for i, o := range q.waiting {
		if o == e {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)

			return
		}
	}
}

// Served takes the time that the backend server took for a request of a class into the averages.
func (q *Queue) Served(c Class, d spar.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()

	took := math.Max(1, float64(d))
	own := q.ofClass(c)
	q.service += serviceGain * (took - q.service)
	q.classes[c] = own + serviceGain*(took-own)
}

// ofClass is the mean service time of a class.
func (q *Queue) ofClass(c Class) float64 {
	if own, ok := q.classes[c]; ok {
		return own
	}

	return q.service
}

func (q *Queue) start(e *Entrant) {
	q.running++
	e.running = true
	close(e.turn)
}

// advance gives free slots to those that wait.
func (q *Queue) advance() {
	for q.running < q.slots && len(q.waiting) > 0 {
		best := 0
		for i, e := range q.waiting {
			if e.before(q.waiting[best]) {
				best = i
			}
		}

		e := q.waiting[best]
		q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
		q.start(e)
	}
}
