package plan

import (
	"math"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/slots"
)

// minStepTime is the shortest time that a node spends at one step: a cold backend server takes about that
// long to warm up.
const minStepTime spar.Millis = 2000

// rampSteps are the fractions of its full share that a node gets one after the other.
var rampSteps = []float64{0.125, 0.25, 0.5, 1}

type rampStep struct {
	fraction float64
	since    spar.Millis
}

// Ramp increases the shares of nodes that joined, or whose withdrawal ended, a short time ago. A node that
// is not known yet starts at the step that fits what it owns, so that a new active planner continues where
// the previous one stopped.
type Ramp struct {
	steps map[spar.NodeID]rampStep
}

// NewRamp returns a ramp that knows no nodes.
func NewRamp() *Ramp {
	return &Ramp{steps: map[spar.NodeID]rampStep{}}
}

// Scale returns the shares of one service's nodes with their current weights. A node that owns more than
// its step allows has been advanced by another planner, and its step is raised accordingly: two planners
// at different steps would move the same slots back and forth.
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
			step = rampStep{fraction: nextStep(fractionOf(owned[s.ID], total, s.Weight, sum-s.Weight)), since: now}
		} else if owned[s.ID] >= int(math.Floor(full*step.fraction)) && now-step.since >= minStepTime {
			step = rampStep{fraction: nextStep(2 * step.fraction), since: now}
		}

		r.steps[s.ID] = step
		scaled[i].Weight *= step.fraction
		scaledSum += scaled[i].Weight
	}

	for i, s := range shares {
		// Count one slot less, because a share may have been rounded up.
		reached := nextStep(fractionOf(owned[s.ID]-1, total, s.Weight, scaledSum-scaled[i].Weight))
		if s.Weight > 0 && reached > r.steps[s.ID].fraction {
			r.steps[s.ID] = rampStep{fraction: reached, since: now}
			scaled[i].Weight = s.Weight * reached
		}
	}

	return scaled
}

// fractionOf returns the fraction of its weight at which a node gets n of total slots while the other
// nodes have the weight others together.
func fractionOf(n, total int, weight, others float64) float64 {
	if n >= total {
		return 1
	}

	return float64(n) * others / (weight * float64(total-n))
}

// nextStep returns the lowest step that is not below a fraction of the full share.
func nextStep(fraction float64) float64 {
	for _, step := range rampSteps {
		if step >= fraction {
			return step
		}
	}

	return rampSteps[len(rampSteps)-1]
}
