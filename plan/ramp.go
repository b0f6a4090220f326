package plan

import (
	"math"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/slots"
)

// rampPause is the least time that a node spends at one step: a cold backend server takes about
// that long to warm up.
const rampPause spar.Millis = 2000

// rampSteps are the parts of its full share that a node gets one after the other.
var rampSteps = []float64{0.125, 0.25, 0.5, 1}

type rampStep struct {
	part  float64
	since spar.Millis
}

// Ramp grows the shares of nodes that joined or were put back a short time ago. A node met for the
// first time starts at the step that fits what it owns, so a new planner goes on where the last one
// stopped.
type Ramp struct {
	steps map[spar.NodeID]rampStep
}

// NewRamp returns a ramp that has met no node.
func NewRamp() *Ramp {
	return &Ramp{steps: map[spar.NodeID]rampStep{}}
}

// Scale returns the shares of one service's nodes with the weights that they get now. A node that
// owns more than its step allows has been moved on by another planner and is followed, since two
// planners at different steps would move the same slots to and fro.
func (r *Ramp) Scale(now spar.Millis, shares []slots.Share, owned map[spar.NodeID]int) []slots.Share {
	sum, total := 0.0, 0

	for _, s := range shares {
		sum += s.Weight
		total += owned[s.ID]
	}

	scaled := slices.Clone(shares)
	scaledSum := 0.0

	for i, s := range shares {
		if s.Weight == 0 {
			delete(r.steps, s.ID)

			continue
		}

		full := float64(total) * s.Weight / sum

		step, ok := r.steps[s.ID]
		if !ok {
			step = rampStep{part: atLeast(part(owned[s.ID], total, s.Weight, sum-s.Weight)), since: now}
		} else if owned[s.ID] >= int(math.Floor(full*step.part)) && now-step.since >= rampPause {
			step = rampStep{part: atLeast(2 * step.part), since: now}
		}

		r.steps[s.ID] = step
		scaled[i].Weight *= step.part
		scaledSum += scaled[i].Weight
	}

	for i, s := range shares {
		// One slot less, because a share may have been rounded up.
		reached := atLeast(part(owned[s.ID]-1, total, s.Weight, scaledSum-scaled[i].Weight))
		if s.Weight > 0 && reached > r.steps[s.ID].part {
			r.steps[s.ID] = rampStep{part: reached, since: now}
			scaled[i].Weight = s.Weight * reached
		}
	}

	return scaled
}

// part returns the part of its weight at which a node's share is n of total slots while the other
// nodes weigh others.
func part(n, total int, weight, others float64) float64 {
	if n >= total {
		return 1
	}

	return float64(n) * others / (weight * float64(total-n))
}

// atLeast returns the lowest step that is not below a part of the full share.
func atLeast(part float64) float64 {
	for _, step := range rampSteps {
		if step >= part {
			return step
		}
	}

	return rampSteps[len(rampSteps)-1]
}
