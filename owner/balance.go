package owner

import (
	"context"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/mesh"
)

const (
	// minMoveInterval is the minimum time between two moves from or to a node, in which the load is measured again.
	minMoveInterval spar.Millis = 2000
	// minUtilization is the utilization of the slots below which no load is moved.
	minUtilization = 0.45
	// minUtilizationGap is the minimum difference in utilization between two nodes for which load is moved.
	minUtilizationGap = 0.2
	// maxReceivers is the maximum number of nodes that receive keys in one round.
	maxReceivers = 10
	// minRateShare is the minimum fraction of the wanted request rate for which keys are moved.
	minRateShare = 0.25
	// offerTimeout is the timeout of an offer, and of other short calls to a peer.
	offerTimeout spar.Millis = 300
)

// offer is the request to a node to accept keys with an expected load.
type offer struct {
	Node string  `json:"node"`
	Rate float64 `json:"rate"`
}

type offerReply struct {
	Accepted bool `json:"accepted"`
}

// acceptOffer reports whether this node accepts keys. It accepts at most one offer per minMoveInterval, so that
// several overloaded nodes don't all choose the same target.
func (o *Owner) acceptOffer(p offer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	now := o.deps.Clock.Now()
	if o.draining || o.lease.revision == 0 || o.lastOffer != 0 && now-o.lastOffer < minMoveInterval {
		return false
	}

	o.lastOffer = now
	o.expectUntil = now + expectWindow
	o.deps.Log.Info("keys offered", "node", p.Node, "rate", int(p.Rate))

	return true
}

// Utilization returns the utilization of this node's slots that the requests for its keys cause; it is above
// 1 if they need more slots than there are.
func (o *Owner) Utilization() float64 {
	rate := 0.0
	for _, r := range o.deps.Maps.get(o.cfg.Service).Map.OwnedBy(o.cfg.Node) {
		rate += o.deps.Gate.Keys().Rate(r.Span)
	}

	l := o.deps.Gate.Load()

	return rate * utilizationPerRate(l.MeanServiceTime, l.Slots)
}

// utilizationPerRate returns the share of the slots that one request per second occupies.
func utilizationPerRate(service spar.Millis, slots int) float64 {
	const second = 1000

	return float64(service) / second / float64(max(1, slots))
}

// BalanceShares returns how much utilization each of several nodes should take over from a node with a given
// utilization, so that all end at the same level. The nodes' own utilizations are in ascending order; the result is
// shorter if the last nodes are above the level and take over nothing.
func BalanceShares(utilization float64, utilizations []float64) []float64 {
	level := utilization
	n := 0

	for sum := utilization; n < len(utilizations) && utilizations[n] < level; n++ {
		sum += utilizations[n]
		level = sum / float64(n+2)
	}

	shares := make([]float64, 0, n)
	for _, u := range utilizations[:n] {
		if u < level {
			shares = append(shares, level-u)
		}
	}

	return shares
}

// balance begins to move keys from an overloaded backend server to the least utilized ones, a part to each. A hot
// range may need many servers, so a single round spreads the load over all of them instead of halving it repeatedly.
func (o *Owner) balance(ctx context.Context) {
	o.mu.Lock()
	now := o.deps.Clock.Now()
	busy := len(o.moves) > 0 || o.draining || now-o.lastMoveOut < minMoveInterval ||
		o.lastOffer != 0 && now-o.lastOffer < minMoveInterval
	o.mu.Unlock()

	if busy {
		return
	}

	utilization := o.Utilization()
	if utilization < minUtilization {
		return
	}

	moves := o.chooseMoves(ctx, utilization)
	if len(moves) == 0 {
		return
	}

	o.mu.Lock()
	for _, m := range moves {
		m.since = now
		o.moves = append(o.moves, m)
	}

	o.lastMoveOut = now
	o.mu.Unlock()
}

// chooseMoves offers spans of keys to other nodes and returns those that were accepted.
func (o *Owner) chooseMoves(ctx context.Context, utilization float64) []move {
	candidates := o.candidates()
	candidates = candidates[:min(maxReceivers, len(candidates))]
	utilizations := make([]float64, 0, len(candidates))

	for _, to := range candidates {
		utilizations = append(utilizations, to.Utilization)
	}

	own := o.deps.Gate.Load()

	var moves []move

	for i, share := range BalanceShares(utilization, utilizations) {
		to := candidates[i]
		if utilization-to.Utilization < minUtilizationGap {
			break
		}

		rate := share / utilizationPerRate(to.Load.MeanServiceTime, to.Load.Slots)
		if to.Load.MeanServiceTime <= 0 {
			rate = share / utilizationPerRate(own.MeanServiceTime, own.Slots)
		}

		span, spanRate := o.chooseSpan(rate, moves)
		if spanRate < rate*minRateShare || !o.offer(ctx, to, spanRate) {
			continue
		}

		o.deps.Log.Info("moving load", "from", span.From, "to", span.To, "node", to.Node,
			"rate", int(spanRate), "use", utilization, "its_use", to.Utilization)

		moves = append(moves, move{Span: span, target: to.Node})
	}

	return moves
}

// offer offers keys with a rate of requests to a node, and reports whether the node accepts them.
func (o *Owner) offer(ctx context.Context, to mesh.Peer, rate float64) bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()

	var reply offerReply
	if err := o.deps.Peers.Call(ctx, to.PeerAddr, methodOffer, offer{Node: o.cfg.Node, Rate: rate}, &reply); err != nil {
		o.deps.Log.Debug("offering keys failed", "node", to.Node, "cause", err)

		return false
	}

	return reply.Accepted
}

// chooseSpan returns the span of this node's keys, except those that already move, whose rate of requests is the
// highest that does not exceed the wanted rate by more than 20%. A single key with a higher rate stays.
func (o *Owner) chooseSpan(rate float64, moving []move) (best keymap.Span, bestRate float64) {
	keys := o.deps.Gate.Keys()
	m := keymap.Map{Ranges: o.deps.Maps.get(o.cfg.Service).Map.OwnedBy(o.cfg.Node)}

	for _, mv := range moving {
		m = m.Without(mv.Span)
	}

	m.Ranges = o.movable(m.Ranges)

	for _, r := range m.Ranges {
		for remaining := r.Span; remaining.From <= remaining.To; {
			part, partRate := keys.Cut(remaining, rate)
			if partRate > bestRate && partRate <= 1.2*rate {
				best, bestRate = part, partRate
			}

			remaining.From = part.To + 1
		}
	}

	return best, bestRate
}

// movable returns the ranges that can move at once, since no outstanding grant on them may still take effect.
func (o *Owner) movable(ranges []keymap.Range) []keymap.Range {
	if !o.usesCommands() {
		return ranges
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	return slices.DeleteFunc(ranges, func(r keymap.Range) bool { return !o.tracker.Settled(r.Span) })
}
