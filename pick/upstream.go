package pick

import (
	"math"
	"slices"

	spar "sardinespar.example/spar"
)

const (
	// riseWeight and fallWeight weigh a new sample above and below the average: a straggler is to
	// show within a few calls, a single fast call is not to hide it.
	riseWeight = 0.3
	fallWeight = 0.1
	// staleAfter is the time constant by which the latency of an upstream that gets no calls
	// returns to that of its peers, so that it is tried again.
	staleAfter spar.Millis = 5000
	// reportAge bounds the age of a load that counts. At the target size an entry node sends each
	// upstream about 15 calls a second, and so hears from it about every 70 ms.
	reportAge spar.Millis = 500
	// slotsUnknown stands for the limit of an upstream that has told none.
	slotsUnknown = 10
)

// upstream is what this node measured at one upstream.
type upstream struct {
	latency spar.Millis
	sampled spar.Millis
	samples int
	begun   []spar.Millis

	load     spar.Load
	reported spar.Millis
	ownThen  int

	failures int
	ejection ejection
}

func (u *upstream) begin(now spar.Millis) {
	u.begun = append(u.begun, now)
}

func (u *upstream) end(now, began spar.Millis, end End) {
	took := now - began
	if i := slices.Index(u.begun, began); i >= 0 {
		u.begun = slices.Delete(u.begun, i, i+1)
	}

	switch end {
	case EndAnswered:
		u.failures = 0
		u.sample(now, took)
	case EndFailed:
		u.failures++
		u.sampleAtLeast(now, took)
	case EndCanceled:
		u.sampleAtLeast(now, took)
	case EndRefused:
	}
}

// sampleAtLeast takes the time of a call without an answer, which is a lower bound.
func (u *upstream) sampleAtLeast(now, took spar.Millis) {
	if u.samples > 0 && took > u.latency {
		u.sample(now, took)
	}
}

func (u *upstream) sample(now, took spar.Millis) {
	switch {
	case u.samples == 0:
		u.latency = took
	case took > u.latency:
		u.latency += riseWeight * (took - u.latency)
	default:
		u.latency += fallWeight * (took - u.latency)
	}

	u.samples++
	u.sampled = now
}

// seen returns the upstream's latency now; usual is that of its peers. Calls that have been out for
// longer count before they end, so that a frozen upstream shows.
func (u *upstream) seen(now, usual spar.Millis) spar.Millis {
	l := usual

	if u.samples > 0 {
		fresh := math.Exp(-float64((now - u.sampled) / staleAfter))
		l = usual + (u.latency-usual)*spar.Millis(fresh)
	}

	if len(u.begun) > 0 {
		l = max(l, now-u.begun[0])
	}

	return l
}

// report takes the load at the upstream, which includes this node's calls in flight.
func (u *upstream) report(now spar.Millis, l spar.Load) {
	u.load, u.reported, u.ownThen = l, now, len(u.begun)
}

// cost returns the expected time of one more call. This node sees only its own share of the
// upstream's calls; the rest comes from the last report of the upstream's guard, corrected by what
// this node sent or got back since, as long as the report is fresh.
func (u *upstream) cost(now, usual spar.Millis) float64 {
	calls, slots := len(u.begun)+1, slotsUnknown

	if u.load.Limit > 0 {
		slots = u.load.Limit

		if now-u.reported <= reportAge {
			all := u.load.InFlight + u.load.Queued + len(u.begun) - u.ownThen
			calls = max(calls, all+1)
		}
	}

	return float64(u.seen(now, usual)) * (1 + float64(calls)/float64(slots))
}
