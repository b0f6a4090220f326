package guard

import (
	"context"
	"errors"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// A backend server counts as down after minDownFailures failures over at least minDownTime. Fewer or shorter
	// failures may have been caused by a listen queue that was full for a moment.
	minDownFailures             = 3
	minDownTime     spar.Millis = 300
)

// health counts failed connection attempts to the backend server since the last successful one.
type health struct {
	mu       sync.Mutex
	failures int
	first    spar.Millis
	last     spar.Millis
}

// record records the result of a connection attempt. An attempt that its caller canceled does not count.
func (h *health) record(connected bool, err error, now spar.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()

	switch {
	case connected:
		h.failures = 0
	case errors.Is(err, context.Canceled):
	default:
		if h.failures == 0 {
			h.first = now
		}

		h.failures++
		h.last = now
	}
}

// down reports whether the backend server counts as down.
func (h *health) down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.failures >= minDownFailures && h.last-h.first >= minDownTime
}

// BackendUnreachable reports whether connections to the backend server have failed for some time.
func (g *Guard) BackendUnreachable() bool {
	return g.health.down()
}
