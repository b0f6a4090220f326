package admit

import (
	"math"
	"slices"

	spar "sardinespar.example/spar"
)

const (
	// windowSize is the number of samples whose median is compared with the best. For exponential
	// service times it varies by a quarter. With 16 samples it varied by more than a third, and windows
	// three times as slow as the best came up by chance every few seconds.
	windowSize = 32
	// windowLeast samples are judged once the window is windowAge old, for classes with few calls.
	windowLeast = 8

	windowAge spar.Millis = 1000

	// bestFall is the share of the gap by which the best follows a faster window. A plain minimum
	// would end at the luckiest window of the last minute.
	bestFall = 0.25

	// bestRise is the share of the gap by which the best follows an ordinary window that is slower. A
	// hundred windows make up for the luckiest one; rising by time only, it stayed at the luckiest of
	// thousands, where exponential service times look three times as slow as the best.
	bestRise = 0.01
	// ordinary is the multiple of the best up to which a window counts as ordinary.
	ordinary = 2
	// bestHorizon is the time in which the best follows a lasting change beyond that.
	bestHorizon spar.Millis = 600_000

	// meanWeight weighs a new sample in the mean and the deviation.
	meanWeight = 0.1
	// deviations above the mean bound the service time of about nine calls in ten.
	deviations = 2
)

// latency keeps the times of one class of calls.
type latency struct {
	window []spar.Millis
	opened spar.Millis
	judged spar.Millis
	best   spar.Millis
	mean   spar.Millis
	dev    spar.Millis
}

// add takes a sample. When it completes a window, add returns the window's median as a multiple of
// the recent best.
func (l *latency) add(now, took spar.Millis) (float64, bool) {
	l.average(took)

	if len(l.window) == 0 {
		l.opened = now
	}

	l.window = append(l.window, took)
	if len(l.window) < windowSize && (len(l.window) < windowLeast || now-l.opened < windowAge) {
		return 0, false
	}

	slices.Sort(l.window)
	median := max(l.window[len(l.window)/2], 1e-3)
	l.window = l.window[:0]
	l.follow(now, median)

	return float64(median / l.best), true
}

// follow moves the best towards the median of a window.
func (l *latency) follow(now, median spar.Millis) {
	switch {
	case l.best == 0:
		l.best = median
	case median < l.best:
		l.best += bestFall * (median - l.best)
	case median < ordinary*l.best:
		l.best += bestRise * (median - l.best)
	default:
		l.best += min(1, (now-l.judged)/bestHorizon) * (median - l.best)
	}

	l.judged = now
}

func (l *latency) average(took spar.Millis) {
	if l.mean == 0 {
		l.mean, l.dev = took, took/2

		return
	}

	gap := took - l.mean
	l.mean += meanWeight * gap
	l.dev += meanWeight * (spar.Millis(math.Abs(float64(gap))) - l.dev)
}

// likely returns the time within which about nine calls in ten end.
func (l *latency) likely() spar.Millis {
	return l.mean + deviations*l.dev
}
