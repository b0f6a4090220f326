package plan

import (
	"context"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/slots"
)

const (
	// MovesPerReceiver bounds the slots that move to one node at a time, unless the preset says
	// otherwise.
	MovesPerReceiver = 2
	// batchesPerSource bounds the requests to move slots under way to one owner.
	batchesPerSource = 2
	// batchesPerSegment bounds the transactions that compete for one row of the map: the loser of a
	// race holds its calls for another read and commit.
	batchesPerSegment = 2
	// moveTimeout is above moveAnswerMost, so that a late answer does not cost the connection.
	moveTimeout spar.Millis = 4000
	// moveRest is the pause before a slot that could not be moved is tried again.
	moveRest spar.Millis = 1000
)

// slotID names a slot among those of all services.
type slotID struct {
	service string
	slot    spar.Slot
}

// segmentID names a segment among those of all services.
type segmentID struct {
	service string
	index   int
}

// batch is the slots of one segment that an owner is asked to give to a receiver.
type batch struct {
	service  string
	segment  segmentID
	slots    []spar.Slot
	from, to spar.Node
}

// Balancer asks owners to move slots so that each node owns its share and withdrawn and leaving
// nodes own none. It works while its node is the planner on duty; two at once do no harm, since an
// owner moves only what it owns.
type Balancer struct {
	self    spar.NodeID
	replica *fleet.Replica
	calls   peers.Caller
	clock   spar.Clock
	ramps   map[string]*Ramp
	moves   func(service string) (int, bool)
	wake    chan struct{}
	wg      sync.WaitGroup

	mu        sync.Mutex
	moving    map[slotID]bool
	resting   map[slotID]spar.Millis
	receiving map[spar.NodeID]int
	giving    map[spar.NodeID]int
	changing  map[segmentID]int
}

// NewBalancer returns the balancer of one node.
func NewBalancer(self spar.NodeID, r *fleet.Replica, calls peers.Caller, clock spar.Clock) *Balancer {
	return &Balancer{
		self: self, replica: r, calls: calls, clock: clock, ramps: map[string]*Ramp{},
		wake: make(chan struct{}, 1), moving: map[slotID]bool{}, resting: map[slotID]spar.Millis{},
		receiving: map[spar.NodeID]int{}, giving: map[spar.NodeID]int{}, changing: map[segmentID]int{},
	}
}

// MovesBy sets the source of the preset's moves at a time, before the balancer runs.
func (b *Balancer) MovesBy(moves func(service string) (int, bool)) *Balancer {
	b.moves = moves

	return b
}

// most returns how many slots may move to one node at a time.
func (b *Balancer) most(service string) int {
	if b.moves != nil {
		if n, ok := b.moves(service); ok {
			return n
		}
	}

	return MovesPerReceiver
}

// Run balances until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	defer b.wg.Wait()

	b.loop(ctx)
}

func (b *Balancer) loop(ctx context.Context) {
	for b.pause(ctx) {
		v := b.replica.View()
		if b.onDuty(v) {
			b.pass(ctx, v)
		} else {
			clear(b.ramps)
		}
	}
}

func (b *Balancer) pause(ctx context.Context) bool {
	t := b.clock.Timer(planInterval)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-b.wake:
	case <-t.C:
	}

	return ctx.Err() == nil
}

func (b *Balancer) onDuty(v *fleet.View) bool {
	nodes := v.Nodes()
	i := slices.IndexFunc(nodes, func(n spar.Node) bool { return n.State == spar.NodeLive })

	return i >= 0 && nodes[i].ID == b.self
}

// pass starts the moves that are due and possible now.
func (b *Balancer) pass(ctx context.Context, v *fleet.View) {
	for _, s := range v.Services() {
		if s.Mode != spar.ModeKeyed {
			continue
		}

		if b.ramps[s.Name] == nil {
			b.ramps[s.Name] = NewRamp()
		}

		for _, next := range b.batches(v, s.Name, Proposal(v, s, b.ramps[s.Name], b.clock.Now())) {
			b.wg.Go(func() { b.run(ctx, next) })
		}
	}
}

// Proposal returns the moves that bring a service's nodes to their shares, in steps if there is a ramp.
func Proposal(v *fleet.View, s spar.Service, r *Ramp, now spar.Millis) []slots.Move {
	owners := make([]spar.NodeID, 0, s.Slots)
	owned := map[spar.NodeID]int{}

	for i := range s.SegmentCount() {
		for _, a := range v.Segment(s, i).Value.Slots {
			owners = append(owners, a.Owner)
			owned[a.Owner]++
		}
	}

	nodes := v.NodesOf(s.Name)
	shares := make([]slots.Share, 0, len(nodes))

	for _, n := range nodes {
		share := slots.Share{ID: n.ID, Zone: n.Zone}
		if n.State == spar.NodeLive && !v.Withdrawn(n) {
			share.Weight = float64(max(1, n.Capacity.Slots))
		}

		shares = append(shares, share)
	}

	if r != nil {
		shares = r.Scale(now, shares, owned)
	}

	return slots.Moves(owners, shares)
}

// batches reserves the moves that may begin now and groups them by owner and receiver.
func (b *Balancer) batches(v *fleet.View, service string, moves []slots.Move) []batch {
	b.mu.Lock()
	defer b.mu.Unlock()

	var out []batch

	for _, m := range moves {
		id := slotID{service, m.Slot}
		if b.moving[id] || b.resting[id] > b.clock.Now() || b.receiving[m.To] >= b.most(service) {
			continue
		}

		from, known := v.Node(m.From)
		to, _ := v.Node(m.To)

		if !known || from.Value.State == spar.NodeLost {
			continue
		}

		g := segmentID{service, int(m.Slot) / spar.SegmentSize}

		i := slices.IndexFunc(out, func(o batch) bool {
			return o.from.ID == m.From && o.to.ID == m.To && o.segment == g
		})
		if i < 0 {
			if b.giving[m.From] >= batchesPerSource || b.changing[g] >= batchesPerSegment {
				continue
			}

			b.giving[m.From]++
			b.changing[g]++
			i = len(out)
			out = append(out, batch{service: service, segment: g, from: from.Value, to: to.Value})
		}

		out[i].slots = append(out[i].slots, m.Slot)
		b.moving[id] = true
		b.receiving[m.To]++
	}

	return out
}

// run asks the owner to move a batch. Whatever becomes of the answer, the next pass plans from the
// map, where the move either shows or does not.
func (b *Balancer) run(ctx context.Context, o batch) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout.Duration())
	defer cancel()

	var result MoveResult

	err := b.calls.Call(ctx, o.from.PeerAddr, MethodMove,
		MoveParams{Service: o.service, Slots: o.slots, Receiver: o.to.ID}, &result)
	if err == nil {
		b.replica.Merge(result.Rows, 0)
	}

	b.finish(o, result.Moved)

	select {
	case b.wake <- struct{}{}:
	default:
	}
}

func (b *Balancer) finish(o batch, moved []spar.Slot) {
	b.mu.Lock()
	defer b.mu.Unlock()

	now := b.clock.Now()

	for _, slot := range o.slots {
		id := slotID{o.service, slot}
		delete(b.moving, id)

		if !slices.Contains(moved, slot) {
			b.resting[id] = now + moveRest
		}
	}

	for id, until := range b.resting {
		if until <= now {
			delete(b.resting, id)
		}
	}

	b.giving[o.from.ID]--
	b.changing[o.segment]--
	b.receiving[o.to.ID] -= len(o.slots)
}
