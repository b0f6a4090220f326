package gate

import (
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// coldWindow is the length of the sliding window in which requests to a cold backend server are counted.
	coldWindow spar.Millis = 1000
	// coldMargin is how long the limit stays in force after the end of the cold time that the backend server
	// announced.
	coldMargin spar.Millis = 250
)

// RateLimiter limits the number of requests to a cold backend server in every window of one second. The zero value is
// for a server that has had no requests before.
type RateLimiter struct {
	// closedUntil is when the window ends in which an earlier process of the node may have used up the limit.
	closedUntil spar.Millis

	mu sync.Mutex
	// times has the times of the requests in the last window, in order.
	times []spar.Millis
}

// NewRateLimiter returns a limiter for a process that starts now, beside a backend server that may have had requests
// from an earlier process.
func NewRateLimiter(now spar.Millis) *RateLimiter {
	return &RateLimiter{closedUntil: now + coldWindow}
}

// Take counts a request at now and returns true, unless the last window already has limit requests. In that
// case it returns the time until the next request is allowed.
func (r *RateLimiter) Take(now spar.Millis, limit int) (wait spar.Millis, ok bool) {
	if now < r.closedUntil {
		return r.closedUntil - now, false
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	expired := 0
	for expired < len(r.times) && now-r.times[expired] >= coldWindow {
		expired++
	}

	r.times = append(r.times[:0], r.times[expired:]...)

	if n := len(r.times); n >= limit {
		return r.times[n-max(1, limit)] + coldWindow - now, false
	}

	r.times = append(r.times, now)

	return 0, true
}

// Record counts a request while no limit applies, since it still counts toward a limit that applies later in
// the same window.
func (r *RateLimiter) Record(now spar.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.times = append(r.times, now)

	expired := 0
	for expired < len(r.times) && now-r.times[expired] >= coldWindow {
		expired++
	}

	r.times = r.times[expired:]
}
