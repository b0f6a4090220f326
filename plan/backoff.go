package plan

import (
	"context"
	"math/rand/v2"

	spar "sardinespar.example/spar"
)

const (
	backoffFirst spar.Millis = 100
	backoffMost  spar.Millis = 2000
)

// backoff is the pause after transactions that were not applied. It doubles with each one and is
// jittered, so that planners that conflict don't meet again.
type backoff struct {
	wait spar.Millis
	due  spar.Millis
}

func (b backoff) failed(now spar.Millis) backoff {
	b.wait = min(max(backoffFirst, 2*b.wait), backoffMost)
	b.due = now + b.wait/2 + spar.Millis(rand.Float64())*b.wait/2

	return b
}

// ready reports whether the planner may plan: not during the pause after a failure, and then only
// on fresh rows, since a stale one was the likely reason.
func (p *Planner) ready(ctx context.Context) bool {
	if p.pause.due == 0 {
		return true
	}

	if p.clock.Now() < p.pause.due {
		return false
	}

	if !p.spread.Scan(ctx) {
		p.pause = p.pause.failed(p.clock.Now())

		return false
	}

	p.pause.due = 0

	return true
}
