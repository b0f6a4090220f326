package gate

import (
	"strconv"
	"strings"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// slowdownMaxAge is how long a reported slowdown is passed on. Others on the backend server's machine change it
	// several times a second.
	slowdownMaxAge spar.Millis = 500
	// maxSlowdown bounds a reported slowdown, in percent.
	maxSlowdown = 10_000
)

// Slowdown is the slowdown of the backend server as it last reported it in a response. The zero value knows none.
type Slowdown struct {
	mu      sync.Mutex
	percent int
	at      spar.Millis
}

// Observe reads the load header of a response: requests running, requests waiting, slots and the slowdown in percent,
// separated by commas. A header without a valid slowdown changes nothing.
func (s *Slowdown) Observe(header string, now spar.Millis) {
	const fields = 4

	list := strings.Split(header, ",")
	if len(list) != fields {
		return
	}

	percent, err := strconv.Atoi(strings.TrimSpace(list[fields-1]))
	if err != nil || percent <= 0 || percent > maxSlowdown {
		return
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.percent, s.at = percent, now
}

// Percent returns the slowdown in percent, or 0 if none was reported within slowdownMaxAge.
func (s *Slowdown) Percent(now spar.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	if now-s.at > slowdownMaxAge {
		return 0
	}

	return s.percent
}
