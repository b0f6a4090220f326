package plan

import (
	"context"
	"math/rand/v2"

	spar "sardinespar.example/spar"
)

const (
	initialBackoff spar.Millis = 100
	maxBackoff     spar.Millis = 2000
)

// backoff is the delay after transactions that were not applied. It doubles with each failure and has
// random jitter, so that planners whose transactions conflict do not retry at the same time.
type backoff struct {
	delay   spar.Millis
	retryAt spar.Millis
}

func (b backoff) afterFailure(now spar.Millis) backoff {
	b.delay = min(max(initialBackoff, 2*b.delay), maxBackoff)
	b.retryAt = now + b.delay/2 + spar.Millis(rand.Float64())*b.delay/2

	return b
}

// ready reports whether the planner may plan. After a failure it reports false until the backoff has passed
// and the table has been re-read, because a stale row was the likely cause.
func (p *Planner) ready(ctx context.Context) bool {
	if p.backoff.retryAt == 0 {
		return true
	}

	if p.clock.Now() < p.backoff.retryAt {
		return false
	}

	if !p.sync.Scan(ctx) {
		p.backoff = p.backoff.afterFailure(p.clock.Now())

		return false
	}

	p.backoff.retryAt = 0

	return true
}
