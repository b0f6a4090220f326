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
	// DefaultMaxConcurrentMoves is how many slots may move to one node at a time, unless the preset sets another
	// limit.
	DefaultMaxConcurrentMoves = 2
	// batchesPerSource bounds the slot.move requests in flight to one owner.
	batchesPerSource = 2
	// batchesPerSegment bounds the transactions that compete for one row of the map. A rejected one holds
	// its calls during another read and commit.
	batchesPerSegment = 2
	// moveTimeout is longer than maxMoveWait, because a call that times out closes the connection.
	moveTimeout spar.Millis = 4000
	// moveRetryDelay is the delay before the move of a slot is retried.
	moveRetryDelay spar.Millis = 1000
)

// slotID identifies a slot among those of all services.
type slotID struct {
	service string
	slot    spar.Slot
}

// segmentID identifies a segment among those of all services.
type segmentID struct {
	service string
	index   int
}

// batch is a set of slots of one segment that an owner is asked to move to a receiver.
type batch struct {
	service  string
	segment  segmentID
	slots    []spar.Slot
	from, to spar.Node
}

// Balancer asks owners to move slots so that each node owns its share, and withdrawn and leaving nodes own
// none. It works while its node is the active planner. Two active balancers do no harm, since an owner
// moves only slots that it owns.
type Balancer struct {
	self      spar.NodeID
	replica   *fleet.Replica
	caller    peers.Caller
	clock     spar.Clock
	ramps     map[string]*Ramp
	moveLimit func(service string) (int, bool)
	wake      chan struct{}
	wg        sync.WaitGroup

	mu      sync.Mutex
	moving  map[slotID]bool
	retryAt map[slotID]spar.Millis
	// receiving counts the slots that are being moved to a node. sending counts the batches in flight from a
	// node, and updating those of a segment.
	receiving map[spar.NodeID]int
	sending   map[spar.NodeID]int
	updating  map[segmentID]int
}

// NewBalancer returns the balancer of one node.
func NewBalancer(self spar.NodeID, r *fleet.Replica, caller peers.Caller, clock spar.Clock) *Balancer {
	return &Balancer{
		self: self, replica: r, caller: caller, clock: clock, ramps: map[string]*Ramp{},
		wake: make(chan struct{}, 1), moving: map[slotID]bool{}, retryAt: map[slotID]spar.Millis{},
		receiving: map[spar.NodeID]int{}, sending: map[spar.NodeID]int{}, updating: map[segmentID]int{},
	}
}

// SetMaxMoves sets the function that returns a service's limit of concurrent moves to one node, if its preset
// has one. It must be called before Run.
func (b *Balancer) SetMaxMoves(limit func(service string) (int, bool)) *Balancer {
	b.moveLimit = limit

	return b
}

// maxMoves returns how many slots of a service may move to one node at a time.
func (b *Balancer) maxMoves(service string) int {
	if b.moveLimit != nil {
		if n, ok := b.moveLimit(service); ok {
			return n
		}
	}

	return DefaultMaxConcurrentMoves
}

// Run starts moves until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	defer b.wg.Wait()

	b.loop(ctx)
}

func (b *Balancer) loop(ctx context.Context) {
	for b.wait(ctx) {
		v := b.replica.View()
		if b.isActive(v) {
			b.startMoves(ctx, v)
		} else {
			clear(b.ramps)
		}
	}
}

func (b *Balancer) wait(ctx context.Context) bool {
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

func (b *Balancer) isActive(v *fleet.View) bool {
	nodes := v.Nodes()
	i := slices.IndexFunc(nodes, func(n spar.Node) bool { return n.State == spar.NodeLive })

	return i >= 0 && nodes[i].ID == b.self
}

// startMoves starts the moves that the limits allow now.
func (b *Balancer) startMoves(ctx context.Context, v *fleet.View) {
	for _, s := range v.Services() {
		if s.Mode != spar.ModeKeyed {
			continue
		}

		if b.ramps[s.Name] == nil {
			b.ramps[s.Name] = NewRamp()
		}

		for _, next := range b.batches(v, s.Name, ProposeMoves(v, s, b.ramps[s.Name], b.clock.Now())) {
			b.wg.Go(func() { b.run(ctx, next) })
		}
	}
}

// ProposeMoves returns the moves after which each node of a service owns its share. If r is not nil, the
// shares of new nodes grow in steps.
func ProposeMoves(v *fleet.View, s spar.Service, r *Ramp, now spar.Millis) []slots.Move {
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

// batches selects the moves that may begin now, reserves them and groups them by owner, receiver and
// segment.
func (b *Balancer) batches(v *fleet.View, service string, moves []slots.Move) []batch {
	b.mu.Lock()
	defer b.mu.Unlock()

	var out []batch

	for _, m := range moves {
		id := slotID{service, m.Slot}
		if b.moving[id] || b.retryAt[id] > b.clock.Now() || b.receiving[m.To] >= b.maxMoves(service) {
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
			if b.sending[m.From] >= batchesPerSource || b.updating[g] >= batchesPerSegment {
				continue
			}

			b.sending[m.From]++
			b.updating[g]++
			i = len(out)
			out = append(out, batch{service: service, segment: g, from: from.Value, to: to.Value})
		}

		out[i].slots = append(out[i].slots, m.Slot)
		b.moving[id] = true
		b.receiving[m.To]++
	}

	return out
}

// run asks the owner to move a batch. The next pass plans from the map, which shows whether the move was
// committed, so a missing result does no harm.
func (b *Balancer) run(ctx context.Context, o batch) {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout.Duration())
	defer cancel()

	var result MoveResult

	err := b.caller.Call(ctx, o.from.PeerAddr, MethodMove,
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
			b.retryAt[id] = now + moveRetryDelay
		}
	}

	for id, until := range b.retryAt {
		if until <= now {
			delete(b.retryAt, id)
		}
	}

	b.sending[o.from.ID]--
	b.updating[o.segment]--
	b.receiving[o.to.ID] -= len(o.slots)
}
