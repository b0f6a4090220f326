package owner

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/mesh"
)

const (
	// restFor is the pause between two moves from or to a node, in which the load is measured anew.
	restFor spar.Millis = 2000
	// useLeast is the use of the slots below which no load is moved.
	useLeast = 0.45
	// useGap is the difference of use between two nodes below which no load is moved.
	useGap = 0.2
	// moveShare is the part of the even difference that one move takes.
	moveShare = 0.8
	// offerTimeout bounds the question to a receiver.
	offerTimeout spar.Millis = 300
)

// offer asks a node to take keys with an expected load.
type offer struct {
	Node string  `json:"node"`
	Rate float64 `json:"rate"`
}

type offerReply struct {
	Accepted bool `json:"accepted"`
}

// accept takes one offer at a time, so that several givers don't all choose the same receiver.
func (o *Owner) accept(p offer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	now := o.deps.Clock.Now()
	if o.drains || o.lease.revision == 0 || o.incoming != 0 && now-o.incoming < restFor {
		return false
	}

	o.incoming = now
	o.expecting = now + expectFor
	o.deps.Log.Info("keys offered", "node", p.Node, "rate", int(p.Rate))

	return true
}

// Use returns the part of the slots that the requests for this node's keys ask for.
func (o *Owner) Use() float64 {
	rate := 0.0
	for _, r := range o.deps.Maps.get(o.cfg.Service).Map.Of(o.cfg.Node) {
		rate += o.deps.Gate.Keys().Rate(r.Span)
	}

	l := o.deps.Gate.Load()

	return rate * perRequest(l.Service, l.Slots)
}

// perRequest is the part of the slots that one request a second takes.
func perRequest(service spar.Millis, slots int) float64 {
	const second = 1000

	return float64(service) / second / float64(max(1, slots))
}

// mostReceivers bounds the nodes that get keys in one round.
const mostReceivers = 3

// balance gives keys of an overused backend server to those that are used least, a part to each.
func (o *Owner) balance(ctx context.Context) {
	o.mu.Lock()
	now := o.deps.Clock.Now()
	busy := len(o.moves) > 0 || o.drains || now-o.lastMove < restFor || o.incoming != 0 && now-o.incoming < restFor
	o.mu.Unlock()

	if busy {
		return
	}

	use := o.Use()
	targets := o.targets()
	own := o.deps.Gate.Load()

	var moves []move

	for _, to := range targets[:min(mostReceivers, len(targets))] {
		if use < useLeast || use-to.Use < useGap {
			break
		}

		rate := moveShare * (use - to.Use) /
			(perRequest(own.Service, own.Slots) + perRequest(to.Load.Service, to.Load.Slots))

		span, got := o.choose(rate, moves)
		if got < rate/4 || !o.offer(ctx, to, got) {
			continue
		}

		o.deps.Log.Info("load moves", "from", span.From, "to", span.To, "node", to.Node,
			"rate", int(got), "use", use, "its_use", to.Use)

		moves = append(moves, move{Span: span, to: to.Node})
		use -= got * perRequest(own.Service, own.Slots)
	}

	if len(moves) == 0 {
		return
	}

	o.mu.Lock()
	o.moves = append(o.moves, moves...)
	o.lastMove = now
	o.mu.Unlock()
}

// offer asks a node to take keys with a rate of requests.
func (o *Owner) offer(ctx context.Context, to mesh.Peer, rate float64) bool {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()

	var reply offerReply
	if err := o.deps.Peers.Call(ctx, to.PeerAddr, methodOffer, offer{Node: o.cfg.Node, Rate: rate}, &reply); err != nil {
		o.deps.Log.Debug("keys not offered", "node", to.Node, "cause", err)

		return false
	}

	return reply.Accepted
}

// choose returns the span of this node's keys, besides those that move already, whose rate comes
// closest to rate without passing it by much. A key that alone has more stays.
func (o *Owner) choose(rate float64, moving []move) (best keymap.Span, got float64) {
	keys := o.deps.Gate.Keys()
	m := keymap.Map{Ranges: o.deps.Maps.get(o.cfg.Service).Map.Of(o.cfg.Node)}

	for _, mv := range moving {
		m = m.Without(mv.Span)
	}

	for _, r := range m.Ranges {
		for rest := r.Span; rest.From <= rest.To; {
			part, n := keys.Cut(rest, rate)
			if n > got && n <= 1.2*rate {
				best, got = part, n
			}

			rest.From = part.To + 1
		}
	}

	return best, got
}
