package guard

import (
	"context"
	"errors"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// downFailures and downTime tell a backend server that is gone from one whose listener was
	// full for a moment.
	downFailures             = 3
	downTime     spar.Millis = 300
)

// health counts failed connections to the backend server since the last one that succeeded.
type health struct {
	mu       sync.Mutex
	failures int
	first    spar.Millis
	last     spar.Millis
}

// note takes the result of an attempt to connect. A caller's cancellation says nothing.
func (h *health) note(connected bool, err error, now spar.Millis) {
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

func (h *health) down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.failures >= downFailures && h.last-h.first >= downTime
}

// Unreachable reports whether connections to the backend server have failed for some time.
func (g *Guard) Unreachable() bool {
	return g.health.down()
}
