package admit

import (
	"math"
	"slices"

	spar "sardinespar.example/spar"
)

const (
	// windowSize is the number of samples whose median is compared with the best. With exponential service
	// times, the median of 32 samples varies by a quarter. With 16 samples it varied by more than a third,
	// and windows three times as slow as the best came up by chance every few seconds.
	windowSize = 32
	// minWindowSize is the number of samples that suffice once the window is minWindowAge old. It serves
	// classes with few calls.
	minWindowSize = 8

	minWindowAge spar.Millis = 1000

	// bestFallShare is the share of the difference by which the best follows a faster window. A plain
	// minimum would end at the fastest window of the last minute that came up by chance.
	bestFallShare = 0.25

	// bestRiseShare is the share of the difference by which the best follows a slower window up to
	// ordinaryRatio, so that about a hundred windows correct a best that was low by chance. When the best
	// rose only with time, it stayed at the fastest of thousands of windows, and ordinary exponential
	// service times appeared three times as slow.
	bestRiseShare = 0.01
	// ordinaryRatio is the multiple of the best up to which a window counts as ordinary variation.
	ordinaryRatio = 2
	// bestHorizon is the time within which the best follows a lasting rise beyond ordinaryRatio.
	bestHorizon spar.Millis = 600_000

	// meanWeight is the weight of a new sample in the mean and in the mean deviation.
	meanWeight = 0.1
	// p90Deviations is the number of mean deviations above the mean within which about nine calls in ten
	// end.
	p90Deviations = 2
)

// latencyStats holds the latency statistics of one class of calls.
type latencyStats struct {
	window      []spar.Millis
	windowStart spar.Millis
	lastWindow  spar.Millis
	best        spar.Millis
	mean        spar.Millis
	dev         spar.Millis
}

// add adds a sample. If the sample completes a window, add returns the median of the window as a multiple of
// the recent best, and true.
func (l *latencyStats) add(now, took spar.Millis) (float64, bool) {
	l.updateMean(took)

	if len(l.window) == 0 {
		l.windowStart = now
	}

	l.window = append(l.window, took)
	if len(l.window) < windowSize && (len(l.window) < minWindowSize || now-l.windowStart < minWindowAge) {
		return 0, false
	}

	slices.Sort(l.window)
	median := max(l.window[len(l.window)/2], 1e-3)
	l.window = l.window[:0]
	l.updateBest(now, median)

	return float64(median / l.best), true
}

// updateBest moves the best latency towards the median of a window.
func (l *latencyStats) updateBest(now, median spar.Millis) {
	switch {
	case l.best == 0:
		l.best = median
	case median < l.best:
		l.best += bestFallShare * (median - l.best)
	case median < ordinaryRatio*l.best:
		l.best += bestRiseShare * (median - l.best)
	default:
		l.best += min(1, (now-l.lastWindow)/bestHorizon) * (median - l.best)
	}

	l.lastWindow = now
}

// updateMean updates the moving averages of the latency and of its deviation.
func (l *latencyStats) updateMean(took spar.Millis) {
	if l.mean == 0 {
		l.mean, l.dev = took, took/2

		return
	}

	diff := took - l.mean
	l.mean += meanWeight * diff
	l.dev += meanWeight * (spar.Millis(math.Abs(float64(diff))) - l.dev)
}

// estimateP90 estimates the time within which nine calls in ten end.
func (l *latencyStats) estimateP90() spar.Millis {
	return l.mean + p90Deviations*l.dev
}
