package admit

import (
	"math"

	spar "sardinespar.example/spar"
)

const (
	// pauseRatio is the multiple of the lowest latency in slow start at which the limit stops growing,
	// because the latency then depends on the load. It is well above the variation of window medians,
	// which is a quarter.
	pauseRatio = 1.5
	// lowestRiseShare is the share of the difference by which the lowest latency in slow start follows a
	// higher one. A plain minimum would stay at the fastest window that came up by chance, and the limit
	// would stop growing.
	lowestRiseShare = 0.05
	// minNormalWindows consecutive windows with normal latency end slow start. A latency is normal if it
	// exceeds the best one by at most normalShare of the difference between the best and a slow one. With
	// a single window and half of the difference, slow start ended while a cold server could handle only
	// 8 of 10 calls.
	minNormalWindows = 3
	normalShare      = 0.25

	// cutFactor is the factor by which the limit falls when the server refuses a call or doesn't answer.
	cutFactor = 0.5
	// minCutInterval is the minimum time between two such cuts, since failures come in groups.
	minCutInterval spar.Millis = 100
)

// limitControl computes the limit. In slow start, which begins when the backend server starts or becomes
// slow, the limit grows by one per step of time unless the latency rises. Afterwards it grows by one per
// window of latencies that is not slow, provided that all permits were in use during the window.
type limitControl struct {
	startLimit int
	warmup     spar.Millis
	slowRatio  float64

	maxLimit int
	limit    float64
	// fixed keeps the limit at maxLimit.
	fixed     bool
	slowStart bool
	// serverStart is true in the slow start after a start of the backend server, until the limit reaches
	// maxLimit. Slow start can't end while it is true.
	serverStart bool
	// completions counts the successful calls since the last step of slow start.
	completions int
	lastStep    spar.Millis
	lastCut     spar.Millis
	// lowestRatio follows the lowest latency in slow start, as a multiple of the recent best.
	lowestRatio   float64
	latencyRose   bool
	normalWindows int
	saturated     bool
}

// reset begins slow start for a backend server that has just started.
func (lc *limitControl) reset(now spar.Millis, maxLimit int) {
	lc.maxLimit = maxLimit
	lc.beginSlowStart(now)
	lc.serverStart = true
	lc.lastCut = now
}

// beginSlowStart lowers the limit to its start value, from which it grows step by step.
func (lc *limitControl) beginSlowStart(now spar.Millis) {
	lc.slowStart, lc.serverStart = true, false
	lc.limit = float64(min(lc.startLimit, lc.maxLimit))
	lc.completions, lc.lastStep, lc.lowestRatio, lc.latencyRose, lc.normalWindows = 0, now, math.Inf(1), false, 0
}

// current returns the limit in force.
func (lc *limitControl) current() int {
	if lc.fixed {
		return lc.maxLimit
	}

	return int(lc.limit)
}

// onSuccess records a successful call; saturated reports whether all permits were in use.
func (lc *limitControl) onSuccess(now spar.Millis, saturated bool) {
	if !lc.slowStart {
		lc.saturated = lc.saturated || saturated

		return
	}

	lc.completions++

	step := lc.warmup / spar.Millis(max(1, lc.maxLimit-lc.startLimit))
	if lc.latencyRose || lc.completions < lc.current() || now-lc.lastStep < step {
		return
	}

	lc.limit = min(math.Floor(lc.limit)+1, float64(lc.maxLimit))
	lc.completions, lc.lastStep = 0, now
	lc.serverStart = lc.serverStart && lc.current() < lc.maxLimit
}

// onWindow adapts the limit to the latency of a window, given as a multiple of the recent best.
func (lc *limitControl) onWindow(now spar.Millis, ratio float64) {
	if !lc.slowStart {
		switch {
		case ratio >= lc.slowRatio:
			lc.beginSlowStart(now)
			lc.lowestRatio = ratio
		case lc.saturated:
			lc.saturated = false
			lc.limit = min(lc.limit+1, float64(lc.maxLimit))
		}

		return
	}

	switch {
	case math.IsInf(lc.lowestRatio, 1):
		lc.lowestRatio = ratio
	case ratio < lc.lowestRatio:
		lc.lowestRatio += bestFallShare * (ratio - lc.lowestRatio)
	default:
		lc.lowestRatio += lowestRiseShare * (ratio - lc.lowestRatio)
	}

	if ratio <= 1+(lc.slowRatio-1)*normalShare {
		lc.normalWindows++
	} else {
		lc.normalWindows = 0
	}

	lc.latencyRose = ratio > pauseRatio*lc.lowestRatio

	switch {
	case !lc.serverStart && lc.normalWindows >= minNormalWindows:
		lc.slowStart = false
	case ratio >= lc.slowRatio*lc.lowestRatio:
		lowestRatio, serverStart := lc.lowestRatio, lc.serverStart
		lc.beginSlowStart(now)
		lc.lowestRatio, lc.serverStart = lowestRatio, serverStart
	}
}

// onFailure cuts the limit after a call that the server refused or did not answer.
func (lc *limitControl) onFailure(now spar.Millis) {
	if now-lc.lastCut < minCutInterval {
		return
	}

	lc.limit = max(math.Floor(lc.limit*cutFactor), float64(min(lc.startLimit, lc.maxLimit)))
	lc.lastCut, lc.lastStep, lc.completions = now, now, 0
}
