package pick

import (
	"math"
	"slices"

	spar "sardinespar.example/spar"
)

const (
	// riseWeight and fallWeight are the weights of a new sample above and below the average. A straggler
	// must show within a few calls, and a single fast call must not hide it.
	riseWeight = 0.3
	fallWeight = 0.1
	// decayTime is the time constant with which the latency of an upstream that gets no calls returns to
	// that of its peers, so that the upstream is tried again.
	decayTime spar.Millis = 5000
	// maxReportAge is the age up to which a reported load is used. At the target size, an entry node sends
	// each upstream about 15 calls per second, and so gets a report about every 70 ms.
	maxReportAge spar.Millis = 500
	// defaultSlots is the assumed limit of an upstream that has reported none.
	defaultSlots = 10
)

// upstreamStats holds what this node has measured at one upstream, and the load that its guard has reported.
type upstreamStats struct {
	latency    spar.Millis
	lastSample spar.Millis
	samples    int
	// startTimes holds the start times of this node's calls in flight, in ascending order.
	startTimes []spar.Millis

	load   spar.Load
	loadAt spar.Millis
	// ownAtReport is the number of this node's calls in flight when the load was reported.
	ownAtReport int

	// failures is the number of consecutive failures.
	failures int
	ejection ejection
}

// begin records the start of an attempt.
func (u *upstreamStats) begin(now spar.Millis) {
	u.startTimes = append(u.startTimes, now)
}

// end records the result of an attempt that started at began.
func (u *upstreamStats) end(now, began spar.Millis, result Result) {
	took := now - began
	if i := slices.Index(u.startTimes, began); i >= 0 {
		u.startTimes = slices.Delete(u.startTimes, i, i+1)
	}

	switch result {
	case ResultAnswered:
		u.failures = 0
		u.sample(now, took)
	case ResultFailed:
		u.failures++
		u.sampleAtLeast(now, took)
	case ResultCanceled:
		u.sampleAtLeast(now, took)
	case ResultRefused:
	}
}

// sampleAtLeast adds the time of a call without an answer. It is a lower bound of the latency, so it is used only
// if it is above the average.
func (u *upstreamStats) sampleAtLeast(now, took spar.Millis) {
	if u.samples > 0 && took > u.latency {
		u.sample(now, took)
	}
}

// sample adds a latency to the average.
func (u *upstreamStats) sample(now, took spar.Millis) {
	switch {
	case u.samples == 0:
		u.latency = took
	case took > u.latency:
		u.latency += riseWeight * (took - u.latency)
	default:
		u.latency += fallWeight * (took - u.latency)
	}

	u.samples++
	u.lastSample = now
}

// currentLatency returns the upstream's latency now. The oldest call in flight counts before it ends if it has
// taken longer, so that a frozen upstream is detected.
func (u *upstreamStats) currentLatency(now, peerLatency spar.Millis) spar.Millis {
	l := peerLatency

	if u.samples > 0 {
		weight := math.Exp(-float64((now - u.lastSample) / decayTime))
		l = peerLatency + (u.latency-peerLatency)*spar.Millis(weight)
	}

	if len(u.startTimes) > 0 {
		l = max(l, now-u.startTimes[0])
	}

	return l
}

// report stores the load of the upstream, which includes this node's calls in flight.
func (u *upstreamStats) report(now spar.Millis, l spar.Load) {
	u.load, u.loadAt, u.ownAtReport = l, now, len(u.startTimes)
}

// cost returns the expected time of one more call. This node knows only its own calls to the upstream. The calls
// of other nodes come from the last report of the upstream's guard, corrected by the calls that this node has
// started or finished since then, unless the report is older than maxReportAge.
func (u *upstreamStats) cost(now, peerLatency spar.Millis) float64 {
	calls, slots := len(u.startTimes)+1, defaultSlots

	if u.load.Limit > 0 {
		slots = u.load.Limit

		if now-u.loadAt <= maxReportAge {
			all := u.load.InFlight + u.load.Queued + len(u.startTimes) - u.ownAtReport
			calls = max(calls, all+1)
		}
	}

	return float64(u.currentLatency(now, peerLatency)) * (1 + float64(calls)/float64(slots))
}
