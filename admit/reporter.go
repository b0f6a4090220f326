package admit

import (
	"fmt"

	spar "sardinespar.example/spar"
)

// minReportInterval is the minimum time between two events of one kind. Without it, the events of an
// overload would displace all others in the event ring.
const minReportInterval spar.Millis = 1000

// reporter records the limiter's events at a bounded rate.
type reporter struct {
	events spar.Recorder

	lastLimit spar.Millis
	lastShed  spar.Millis
	skipped   int
}

// limit records a change of the limit.
func (r *reporter) limit(now spar.Millis, limit int, cause string) {
	if r.lastLimit != 0 && now-r.lastLimit < minReportInterval {
		return
	}

	r.lastLimit = now
	r.events.Record(spar.Event{Kind: spar.EventLimit, Detail: fmt.Sprintf("limit %d: %s", limit, cause)})
}

// shed records a refused call, with the number of refusals that were not recorded since the last event.
func (r *reporter) shed(now spar.Millis, service, cause string) {
	if r.lastShed != 0 && now-r.lastShed < minReportInterval {
		r.skipped++

		return
	}

	r.events.Record(spar.Event{
		Kind: spar.EventShed, Service: service, Detail: fmt.Sprintf("%s; %d more since the last event", cause, r.skipped),
	})
	r.lastShed, r.skipped = now, 0
}
