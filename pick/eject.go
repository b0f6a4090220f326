package pick

import (
	"fmt"
	"slices"

	spar "sardinespar.example/spar"
)

const (
	// samplesLeast is the number of answers before an upstream is judged by its latency.
	samplesLeast = 5
	// failuresMost is the number of failures in a row that ejects an upstream.
	failuresMost = 3
	// trialsGood is the number of good trial calls in a row after which an upstream returns.
	trialsGood = 3
	// marginLeast keeps differences of a few milliseconds, such as those between availability zones,
	// from ejecting an upstream of a very fast service.
	marginLeast spar.Millis = 5
	// reviewPause is the time between two reviews of a service's upstreams.
	reviewPause spar.Millis = 20
	// pauseGrowth is the factor by which the pause grows with each ejection in a row.
	pauseGrowth = 2
	// calmPauses is the number of pauses without an ejection after which the pause is short again.
	calmPauses = 10
	// trialMost is the time after which a trial call without an end does not hold up the next one.
	trialMost spar.Millis = 10_000
	// pauseSpread is the share by which pauses vary, so that the entry nodes don't all send their
	// trial calls at the same time.
	pauseSpread = 0.2
)

// ejection is the state of an upstream that is left out, or was.
type ejection struct {
	out   bool
	until spar.Millis
	pause spar.Millis
	ended spar.Millis
	good  int
	// granted tells that the next attempt at the upstream is a trial call.
	granted bool
}

// review ejects the stragglers among the upstreams of one service, the worst first.
func (c *Choices) review(now spar.Millis, nodes []spar.Node) {
	usual := c.median(nodes)
	service := nodes[0].Service
	c.usual[service] = usual
	c.due[service] = nil

	room := min(len(nodes)-1, int(float64(len(nodes))*c.cfg.EjectShare))
	bad := make([]spar.NodeID, 0, len(nodes))

	for _, n := range nodes {
		u := c.of(n.ID)

		switch {
		case u.ejection.out:
			room--

			if now >= u.ejection.until {
				c.due[service] = append(c.due[service], n)
			}
		case c.straggles(u, now, usual):
			bad = append(bad, n.ID)
		}
	}

	slices.SortStableFunc(bad, func(a, b spar.NodeID) int {
		ua, ub := c.of(a), c.of(b)
		if ua.failures != ub.failures {
			return ub.failures - ua.failures
		}

		if ua.seen(now, usual) > ub.seen(now, usual) {
			return -1
		}

		return 1
	})

	for _, id := range bad[:min(len(bad), max(0, room))] {
		c.eject(now, id, service)
	}
}

// median returns the median latency of the upstreams that are not ejected, 0 if none is known.
func (c *Choices) median(nodes []spar.Node) spar.Millis {
	known := make([]spar.Millis, 0, len(nodes))

	for _, n := range nodes {
		if u := c.of(n.ID); u.samples > 0 && !u.ejection.out {
			known = append(known, u.latency)
		}
	}

	if len(known) == 0 {
		return c.usual[nodes[0].Service]
	}

	slices.Sort(known)

	return known[(len(known)-1)/2]
}

func (c *Choices) slow(latency, usual spar.Millis) bool {
	return usual > 0 && latency > max(usual*spar.Millis(c.cfg.EjectRatio), usual+marginLeast)
}

func (c *Choices) straggles(u *upstream, now, usual spar.Millis) bool {
	return u.failures >= failuresMost || u.samples >= samplesLeast && c.slow(u.seen(now, usual), usual)
}

func (c *Choices) eject(now spar.Millis, id spar.NodeID, service string) {
	u, usual := c.of(id), c.usual[service]
	e := &u.ejection

	switch {
	case e.pause == 0 || !e.out && now-e.ended > calmPauses*e.pause:
		e.pause = c.cfg.EjectPause
	default:
		e.pause = min(e.pause*pauseGrowth, c.cfg.EjectPauseMost)
	}

	if !e.out {
		c.events.Record(spar.Event{
			Kind: spar.EventEjected, Service: service, Peer: id,
			Detail: fmt.Sprintf("%.1f ms, peers %.1f ms, %d failures in a row", u.seen(now, usual), usual, u.failures),
		})
	}

	spread := spar.Millis(1 + pauseSpread*(2*c.rand.Float64()-1))
	e.out, e.good, e.until = true, 0, now+e.pause*spread
}

// tried takes the end of a trial call of an ejected upstream.
func (c *Choices) tried(now, took spar.Millis, id spar.NodeID, service string, end End) {
	u := c.of(id)
	e := &u.ejection

	switch {
	case end == EndCanceled && !c.slow(took, c.usual[service]) || end == EndRefused:
		e.until = now + e.pause

		return
	case end != EndAnswered || c.slow(took, c.usual[service]):
		c.eject(now, id, service)
	default:
		e.good++
		e.until = now
	}

	if e.good < trialsGood {
		return
	}

	e.out, e.ended = false, now
	u.failures, u.latency = 0, took
	c.events.Record(spar.Event{
		Kind: spar.EventReturned, Service: service, Peer: id, Detail: fmt.Sprintf("trial call took %.1f ms", took),
	})
}
