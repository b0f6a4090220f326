package gate

import (
	"math"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// serviceStart is the service time assumed before any was measured.
	serviceStart spar.Millis = 50
	// serviceGain is the weight of a new service time in the average.
	serviceGain = 0.05
	// retryLeast is the shortest time after which a refused request may come back.
	retryLeast spar.Millis = 30
)

// Entrant is a request that wants a slot.
type Entrant struct {
	Priority  int
	Objective spar.Millis
	Deadline  spar.Millis
	arrival   int64
	turn      chan struct{}
	running   bool
}

// Queue gives a backend server's slots to requests. A higher priority goes first, and within one the
// earlier arrival. A request that could not meet its objective is refused on arrival, so that under a
// burst those that wait are still served in time; only a free slot is given to a late one.
type Queue struct {
	clock spar.Clock

	mu      sync.Mutex
	slots   int
	running int
	waiting []*Entrant
	arrived int64
	// service is the mean service time, and ranks has that of each priority.
	service float64
	ranks   map[int]float64
}

// NewQueue returns a queue for one slot.
func NewQueue(clock spar.Clock) *Queue {
	return &Queue{clock: clock, slots: 1, service: float64(serviceStart), ranks: map[int]float64{}}
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

	ahead := 1
	for _, o := range q.waiting {
		if o.Priority <= e.Priority {
			ahead++
		}
	}

	now := q.clock.Now()
	wait := spar.Millis(q.service * float64(ahead) / float64(q.slots))
	end := now + wait + spar.Millis(q.ofRank(e.Priority))

	if end > e.latest() {
		return false, max(retryLeast, wait)
	}

	q.waiting = append(q.waiting, e)

	return true, 0
}

// latest is the latest end that is worth a wait. Requests of the highest rank are needed by work that
// already runs, so a late answer is worth as much to them as one in time.
func (e *Entrant) latest() spar.Millis {
	if e.Priority == 0 {
		return e.Deadline
	}

	return min(e.Objective, e.Deadline)
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

// Served takes the time that the backend server took for a request of a rank into the averages.
func (q *Queue) Served(rank int, d spar.Millis) {
	q.mu.Lock()
	defer q.mu.Unlock()

	took := math.Max(1, float64(d))
	own := q.ofRank(rank)
	q.service += serviceGain * (took - q.service)
	q.ranks[rank] = own + serviceGain*(took-own)
}

// ofRank is the mean service time of a rank, since calls that a running request makes are much shorter
// than downloads.
func (q *Queue) ofRank(rank int) float64 {
	if own, ok := q.ranks[rank]; ok {
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
			b := q.waiting[best]
			if e.Priority < b.Priority || e.Priority == b.Priority && e.arrival < b.arrival {
				best = i
			}
		}

		e := q.waiting[best]
		q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
		q.start(e)
	}
}
