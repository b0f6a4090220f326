package admit

import (
	"fmt"

	spar "sardinespar.example/spar"
)

// reportPause is the least time between two events of one kind, so that overload does not push
// everything else out of the ring.
const reportPause spar.Millis = 1000

// reporter records events of the limiter at a bounded rate.
type reporter struct {
	events spar.Recorder

	limitAt spar.Millis
	shedAt  spar.Millis
	skipped int
}

func (r *reporter) limit(now spar.Millis, limit int, why string) {
	if r.limitAt != 0 && now-r.limitAt < reportPause {
		return
	}

	r.limitAt = now
	r.events.Record(spar.Event{Kind: spar.EventLimit, Detail: fmt.Sprintf("limit %d: %s", limit, why)})
}

func (r *reporter) shed(now spar.Millis, service, why string) {
	if r.shedAt != 0 && now-r.shedAt < reportPause {
		r.skipped++

		return
	}

	r.events.Record(spar.Event{
		Kind: spar.EventShed, Service: service, Detail: fmt.Sprintf("%s; %d more since the last event", why, r.skipped),
	})
	r.shedAt, r.skipped = now, 0
}
