package entry

import (
	spar "sardinespar.example/spar"
	"sardinespar.example/spar/explain"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/spread"
)

// obstacleEjected is the reason why an ejected node is not chosen.
const obstacleEjected = "ejected"

// explain returns x with the statistics of a candidate. It changes none.
func (t *Tracker) explain(c Candidate, x explain.Candidate, now spar.Millis) explain.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()

	n := t.knownLocked(c.Node).withReport(c)
	x.Ejected = now < n.ejectedUntil
	x.ServiceTime, x.FailureRate, x.InFlight = n.usual, n.failureRate, n.inFlight

	if x.Obstacle == "" && x.Ejected {
		x.Obstacle = obstacleEjected
	}

	return x
}

// spreadProbabilities returns the probability with which Spread chooses each of the usable candidates.
func (t *Tracker) spreadProbabilities(usable []Candidate, kind rules.Kind, now spar.Millis) []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	list := make([]spread.Server, len(usable))
	for i, c := range usable {
		list[i] = t.knownLocked(c.Node).withReport(c).server(c, kind, now)
	}

	return spread.Probabilities(list)
}

// sampleProbabilities returns the probability with which Best chooses each of the usable candidates. Best chooses a
// candidate if it is in the sample and none of the cheaper ones is; those of the same cost share their part.
func (t *Tracker) sampleProbabilities(usable []Candidate, kind rules.Kind) []float64 {
	costs := make([]spar.Millis, len(usable))
	for i, c := range usable {
		costs[i] = t.cost(c, kind)
	}

	list := make([]float64, len(usable))

	for i, cost := range costs {
		cheaper, same := 0, 0

		for _, other := range costs {
			switch {
			case other < cost:
				cheaper++
			case other == cost:
				same++
			}
		}

		list[i] = (missedBySample(cheaper, len(usable)) - missedBySample(cheaper+same, len(usable))) / float64(same)
	}

	return list
}

// missedBySample returns the probability that a sample of n candidates contains none of k given ones.
func missedBySample(k, n int) float64 {
	p := 1.0
	for i := range min(sampleSize, n) {
		p *= max(0, float64(n-k-i)) / float64(n-i)
	}

	return p
}
