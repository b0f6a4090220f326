package spar

import "math/rand/v2"

// Backoff is the pause after a failure. It doubles with each failure in a row, and a random half of it
// is left out, so that the nodes of a fleet don't call again all at once.
type Backoff struct {
	// First is the pause after the first failure, and Most the longest.
	First Millis
	Most  Millis

	failures int
}

// WithFailure returns b after one more failure.
func (b Backoff) WithFailure() Backoff {
	b.failures++

	return b
}

// WithSuccess returns b without failures.
func (b Backoff) WithSuccess() Backoff {
	b.failures = 0

	return b
}

// Pause returns how long to wait; 0 if nothing failed.
func (b Backoff) Pause() Millis {
	if b.failures == 0 {
		return 0
	}

	const doublings = 20

	full := min(b.Most, b.First*Millis(int(1)<<min(b.failures-1, doublings)))

	return full/2 + Millis(rand.Float64())*full/2
}
