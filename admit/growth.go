package admit

import (
	"math"

	spar "sardinespar.example/spar"
)

const (
	// holdRatio is the rise of latency since the limit began to grow at which growth pauses: the
	// server's latency then depends on how much it gets. Medians of windows vary by a quarter.
	holdRatio = 1.5
	// lowestRise is the share of the gap by which the lowest latency of the paced phase follows a higher
	// one. Without it, the lowest is the luckiest window and growth stops.
	lowestRise = 0.05
	// normalWindows windows in a row within normalShare of the way from the best to slow end the paced
	// phase. A single one at half the way ended it while a cold server bore 8 of 10 calls.
	normalWindows = 3
	normalShare   = 0.25

	// fallFactor cuts the limit when the server refuses or fails a call.
	fallFactor = 0.5
	// fallPause is the least time between two cuts for failures, which come in groups.
	fallPause spar.Millis = 100
)

// growth decides on the limit. In the paced phase, after a start or a slow turn, the limit grows by
// one per step; otherwise it grows by one per window of latencies that is not slow, if all permits were
// out meanwhile.
type growth struct {
	start  int
	warmup spar.Millis
	slow   float64

	most      int
	limit     float64
	pinned    bool
	paced     bool
	announced bool
	ended     int
	stepped   spar.Millis
	cut       spar.Millis
	lowest    float64
	risen     bool
	normal    int
	busy      bool
}

// reset begins a paced phase for a server that has just started.
func (g *growth) reset(now spar.Millis, most int) {
	g.most = most
	g.pace(now)
	g.announced = true
	g.cut = now
}

func (g *growth) pace(now spar.Millis) {
	g.paced, g.announced = true, false
	g.limit = float64(min(g.start, g.most))
	g.ended, g.stepped, g.lowest, g.risen, g.normal = 0, now, math.Inf(1), false, 0
}

func (g *growth) value() int {
	if g.pinned {
		return g.most
	}

	return int(g.limit)
}

// completed takes note of a call that ended well; busy tells whether all permits were out.
func (g *growth) completed(now spar.Millis, busy bool) {
	if !g.paced {
		g.busy = g.busy || busy

		return
	}

	g.ended++

	step := g.warmup / spar.Millis(max(1, g.most-g.start))
	if g.risen || g.ended < g.value() || now-g.stepped < step {
		return
	}

	g.limit = min(math.Floor(g.limit)+1, float64(g.most))
	g.ended, g.stepped = 0, now
	g.announced = g.announced && g.value() < g.most
}

// judge takes the latency of a window as a multiple of the recent best.
func (g *growth) judge(now spar.Millis, ratio float64) {
	if !g.paced {
		switch {
		case ratio >= g.slow:
			g.pace(now)
			g.lowest = ratio
		case g.busy:
			g.busy = false
			g.limit = min(g.limit+1, float64(g.most))
		}

		return
	}

	switch {
	case math.IsInf(g.lowest, 1):
		g.lowest = ratio
	case ratio < g.lowest:
		g.lowest += bestFall * (ratio - g.lowest)
	default:
		g.lowest += lowestRise * (ratio - g.lowest)
	}

	if ratio <= 1+(g.slow-1)*normalShare {
		g.normal++
	} else {
		g.normal = 0
	}

	g.risen = ratio > holdRatio*g.lowest

	switch {
	case !g.announced && g.normal >= normalWindows:
		g.paced = false
	case ratio >= g.slow*g.lowest:
		lowest, announced := g.lowest, g.announced
		g.pace(now)
		g.lowest, g.announced = lowest, announced
	}
}

// failed takes note of a call that the server refused or did not answer.
func (g *growth) failed(now spar.Millis) {
	if now-g.cut < fallPause {
		return
	}

	g.limit = max(math.Floor(g.limit*fallFactor), float64(min(g.start, g.most)))
	g.cut, g.stepped, g.ended = now, now, 0
}
