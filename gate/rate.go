package gate

import (
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// coldWindow is the span over which a cold backend server's requests are counted.
	coldWindow spar.Millis = 1000
	// coldTail is how long the bound holds on after the end that the backend server named.
	coldTail spar.Millis = 250
)

// Rate bounds the requests to a cold backend server in every window of a second.
type Rate struct {
	mu    sync.Mutex
	times []spar.Millis
}

// Take counts a request at now, unless the last window already has most of them. It then returns the
// time until the next may go.
func (r *Rate) Take(now spar.Millis, most int) (wait spar.Millis, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	old := 0
	for old < len(r.times) && now-r.times[old] >= coldWindow {
		old++
	}

	r.times = append(r.times[:0], r.times[old:]...)

	if n := len(r.times); n >= most {
		return r.times[n-max(1, most)] + coldWindow - now, false
	}

	r.times = append(r.times, now)

	return 0, true
}

// Note counts a request that no bound holds back, since a later bound also counts it.
func (r *Rate) Note(now spar.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.times = append(r.times, now)

	old := 0
	for old < len(r.times) && now-r.times[old] >= coldWindow {
		old++
	}

	r.times = r.times[old:]
}
