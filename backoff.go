package spar

import "math/rand/v2"

// Backoff computes the delay after failures. The delay doubles with each consecutive failure, and up to half
// of it is randomly subtracted, so that the nodes of a fleet don't retry all at once.
type Backoff struct {
	// Initial is the delay after the first failure, before jitter.
	Initial Millis
	// Max is the upper bound of the delay.
	Max Millis

	failures int
}

// WithFailure returns a copy of b with one more consecutive failure.
func (b Backoff) WithFailure() Backoff {
	b.failures++

	return b
}

// WithSuccess returns a copy of b without failures.
func (b Backoff) WithSuccess() Backoff {
	b.failures = 0

	return b
}

// Delay returns how long to wait before the next attempt; 0 if the last attempt did not fail.
func (b Backoff) Delay() Millis {
	if b.failures == 0 {
		return 0
	}

	// The shift is bounded so that it doesn't overflow after many failures.
	const doublings = 20

	full := min(b.Max, b.Initial*Millis(int(1)<<min(b.failures-1, doublings)))

	return full/2 + Millis(rand.Float64())*full/2
}
