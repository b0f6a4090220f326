package pick

import (
	"fmt"
	"slices"

	spar "sardinespar.example/spar"
)

const (
	// minSamples is the number of samples that an upstream must have before it can be ejected for its latency.
	minSamples = 5
	// maxFailures is the number of consecutive failures at which an upstream is ejected.
	maxFailures = 3
	// trialsToReturn is the number of consecutive good trial calls after which an upstream returns.
	trialsToReturn = 3
	// minMargin is the minimum difference from the peers' latency at which an upstream is ejected. It keeps
	// differences of a few milliseconds, such as those between availability zones, from ejecting upstreams
	// of a very fast service.
	minMargin spar.Millis = 5
	// reviewInterval is the time between two reviews of a service's upstreams.
	reviewInterval spar.Millis = 20
	// backoffFactor is the factor by which the backoff grows with each further ejection.
	backoffFactor = 2
	// backoffResetFactor is the time without an ejection, as a multiple of the last backoff, after which the
	// backoff starts again from its first value.
	backoffResetFactor = 10
	// trialTimeout is the time after which a trial call that has not ended no longer delays the next one.
	trialTimeout spar.Millis = 10_000
	// backoffJitter is the share by which backoffs vary, so that the entry nodes don't all send their trial
	// calls at the same time.
	backoffJitter = 0.2
)

// ejection is the state of the ejection of an upstream. It is kept after the upstream has returned, since the
// next backoff depends on it.
type ejection struct {
	ejected    bool
	nextTrial  spar.Millis
	backoff    spar.Millis
	returnedAt spar.Millis
	goodTrials int
	// trialPicked means that the next attempt at the upstream is a trial call.
	trialPicked bool
}

// review ejects the stragglers among the upstreams of one service, the worst first, and collects the ejected
// upstreams that are due for a trial call.
func (c *TwoChoices) review(now spar.Millis, nodes []spar.Node) {
	peerLatency := c.medianLatency(nodes)
	service := nodes[0].Service
	c.peerLatency[service] = peerLatency
	c.dueTrials[service] = nil

	allowed := min(len(nodes)-1, int(float64(len(nodes))*c.cfg.MaxEjectShare))
	stragglers := make([]spar.NodeID, 0, len(nodes))

	for _, n := range nodes {
		u := c.statsOf(n.ID)

		switch {
		case u.ejection.ejected:
			allowed--

			if now >= u.ejection.nextTrial {
				c.dueTrials[service] = append(c.dueTrials[service], n)
			}
		case c.isStraggler(u, now, peerLatency):
			stragglers = append(stragglers, n.ID)
		}
	}

	slices.SortStableFunc(stragglers, func(a, b spar.NodeID) int {
		ua, ub := c.statsOf(a), c.statsOf(b)
		if ua.failures != ub.failures {
			return ub.failures - ua.failures
		}

		if ua.currentLatency(now, peerLatency) > ub.currentLatency(now, peerLatency) {
			return -1
		}

		return 1
	})

	for _, id := range stragglers[:min(len(stragglers), max(0, allowed))] {
		c.eject(now, id, service)
	}
}

// medianLatency returns the median latency of the upstreams that are not ejected. Without any samples it
// returns the last median of the service, or 0.
func (c *TwoChoices) medianLatency(nodes []spar.Node) spar.Millis {
	latencies := make([]spar.Millis, 0, len(nodes))

	for _, n := range nodes {
		if u := c.statsOf(n.ID); u.samples > 0 && !u.ejection.ejected {
			latencies = append(latencies, u.latency)
		}
	}

	if len(latencies) == 0 {
		return c.peerLatency[nodes[0].Service]
	}

	slices.Sort(latencies)

	return latencies[(len(latencies)-1)/2]
}

// isSlow reports whether a latency exceeds EjectRatio times that of the peers, and by more than minMargin.
func (c *TwoChoices) isSlow(latency, peerLatency spar.Millis) bool {
	return peerLatency > 0 && latency > max(peerLatency*spar.Millis(c.cfg.EjectRatio), peerLatency+minMargin)
}

// isStraggler reports whether an upstream has failed too often in a row or is too slow.
func (c *TwoChoices) isStraggler(u *upstreamStats, now, peerLatency spar.Millis) bool {
	return u.failures >= maxFailures ||
		u.samples >= minSamples && c.isSlow(u.currentLatency(now, peerLatency), peerLatency)
}

// eject ejects an upstream, or lengthens the backoff of one that is ejected already.
func (c *TwoChoices) eject(now spar.Millis, id spar.NodeID, service string) {
	u, peerLatency := c.statsOf(id), c.peerLatency[service]
	e := &u.ejection

	switch {
	case e.backoff == 0 || !e.ejected && now-e.returnedAt > backoffResetFactor*e.backoff:
		e.backoff = c.cfg.EjectBackoff
	default:
		e.backoff = min(e.backoff*backoffFactor, c.cfg.MaxEjectBackoff)
	}

	if !e.ejected {
		c.events.Record(spar.Event{
			Kind: spar.EventEjected, Service: service, Peer: id,
			Detail: fmt.Sprintf("%.1f ms, peers %.1f ms, %d failures in a row",
				u.currentLatency(now, peerLatency), peerLatency, u.failures),
		})
	}

	jitter := spar.Millis(1 + backoffJitter*(2*c.rand.Float64()-1))
	e.ejected, e.goodTrials, e.nextTrial = true, 0, now+e.backoff*jitter
}

// endTrial handles the result of a trial call: the upstream returns after enough good ones, and is ejected again
// after a bad one. A refused call, or one that was canceled before it was slow, decides nothing.
func (c *TwoChoices) endTrial(now, took spar.Millis, id spar.NodeID, service string, result Result) {
	u := c.statsOf(id)
	e := &u.ejection

	switch {
	case result == ResultCanceled && !c.isSlow(took, c.peerLatency[service]) || result == ResultRefused:
		e.nextTrial = now + e.backoff

		return
	case result != ResultAnswered || c.isSlow(took, c.peerLatency[service]):
		c.eject(now, id, service)
	default:
		e.goodTrials++
		e.nextTrial = now
	}

	if e.goodTrials < trialsToReturn {
		return
	}

	e.ejected, e.returnedAt = false, now
	u.failures, u.latency = 0, took
	c.events.Record(spar.Event{
		Kind: spar.EventReturned, Service: service, Peer: id, Detail: fmt.Sprintf("trial call took %.1f ms", took),
	})
}
