package guard

import (
	"context"
	"net/http"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

const (
	// holdMost bounds the wait of a call at a held slot.
	holdMost spar.Millis = 2000
	// holdMargin is left before the deadline of a held call, so that its refusal reaches the entry node
	// before that gives the call up as unknown.
	holdMargin spar.Millis = 50
)

type slotKey struct {
	service string
	slot    spar.Slot
}

// passage is the state of a slot with calls in flight or held.
type passage struct {
	inFlight int
	// released is closed when the hold ends; nil while the slot is not held.
	released chan struct{}
	// idle is closed when a held slot has no call in flight.
	idle chan struct{}
}

// Gate counts the calls in flight on each slot and holds new ones while the slot is moved.
type Gate struct {
	self    func() spar.NodeID
	replica *fleet.Replica
	clock   spar.Clock
	records Records

	mu       sync.Mutex
	slots    map[slotKey]*passage
	staged   map[slotKey]Staged
	imported map[slotKey]spar.Epoch
	inFlight int
	refusing bool
}

// NewGate returns a gate that lets all calls pass.
func NewGate(self func() spar.NodeID, r *fleet.Replica, clock spar.Clock, records Records) *Gate {
	g := &Gate{self: self, replica: r, clock: clock, records: records}
	g.Reset()

	return g
}

// Gate returns the guard's gate.
func (g *Guard) Gate() *Gate {
	return g.gate
}

// Use sets the records that move with slots, before the gate is used.
func (g *Gate) Use(r Records) {
	g.records = r
}

// Reset starts over for a new registration: holds and records of the earlier one are void, since
// its slots are not owned under the new id. Calls in flight stay counted.
func (g *Gate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, p := range g.slots {
		if p.released != nil {
			close(p.released)
		}
	}

	g.slots = map[slotKey]*passage{}
	g.staged = map[slotKey]Staged{}
	g.imported = map[slotKey]spar.Epoch{}
	g.refusing = false
}

// Refuse sets whether new calls are refused because the node leaves.
func (g *Gate) Refuse(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.refusing = on
}

// Refusing reports whether new calls are refused.
func (g *Gate) Refusing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.refusing
}

// Quiet reports whether no call is in flight.
func (g *Gate) Quiet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.inFlight == 0
}

// Enter counts a call in, after its slot's hold if there is one. The function returned counts it out.
func (g *Gate) Enter(ctx context.Context, c spar.Call) (func(), spar.Answer, bool) {
	t := g.clock.Timer(min(holdMost, c.Deadline-holdMargin-g.clock.Now()))
	defer t.Stop()

	for waited := false; ; waited = true {
		leave, released, refusal := g.enter(c, waited)
		if released == nil {
			return leave, refusal, leave != nil
		}

		select {
		case <-released:
		case <-t.C:
			return nil, g.overdue(c), false
		case <-ctx.Done():
			return nil, spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "caller has gone"), false
		}
	}
}

// overdue returns the refusal of a call that has waited for as long as it may.
func (g *Gate) overdue(c spar.Call) spar.Answer {
	if g.clock.Now() >= c.Deadline-holdMargin {
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline came while the slot moved")
	}

	return moving(spar.ReasonMoved, c.Slot, "is being moved")
}

func moving(reason spar.Reason, slot spar.Slot, what string) spar.Answer {
	return spar.NotRun(http.StatusServiceUnavailable, reason, "slot %d %s", slot, what)
}

// enter counts the call in, or returns the channel to wait for, or a refusal.
func (g *Gate) enter(c spar.Call, waited bool) (func(), <-chan struct{}, spar.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.refusing {
		return nil, nil, spar.NotRun(http.StatusServiceUnavailable, spar.ReasonLeaving, "this node takes no more calls")
	}

	if c.Service.Mode != spar.ModeKeyed {
		g.inFlight++

		return sync.OnceFunc(g.leave), nil, spar.Answer{}
	}

	key := slotKey{c.Service.Name, c.Slot}

	p := g.slots[key]
	if p != nil && p.released != nil {
		return nil, p.released, spar.Answer{}
	}

	a := g.replica.View().Assignment(c.Service, c.Slot)

	switch mine := a.Owner == g.self(); {
	case !mine && waited:
		return nil, nil, moving(spar.ReasonMoved, c.Slot, "has moved")
	case mine && !g.ready(key, a):
		return nil, nil, moving(spar.ReasonNotOwner, c.Slot, "has no records here yet")
	}

	if p == nil {
		p = &passage{}
		g.slots[key] = p
	}

	p.inFlight++
	g.inFlight++

	return sync.OnceFunc(func() { g.leaveSlot(key, p) }), nil, spar.Answer{}
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.inFlight--
}

func (g *Gate) leaveSlot(key slotKey, p *passage) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.inFlight--
	p.inFlight--

	switch {
	case p.inFlight > 0:
	case p.released != nil:
		close(p.idle)
	case g.slots[key] == p:
		delete(g.slots, key)
	}
}

// Hold stops admitting calls for a slot; new ones wait. It fails if the slot is held already.
func (g *Gate) Hold(service string, slot spar.Slot) (*Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	key := slotKey{service, slot}

	p := g.slots[key]
	if p == nil {
		p = &passage{}
		g.slots[key] = p
	}

	if p.released != nil {
		return nil, false
	}

	p.released, p.idle = make(chan struct{}), make(chan struct{})
	if p.inFlight == 0 {
		close(p.idle)
	}

	return &Hold{gate: g, key: key, passage: p}, true
}

// Hold is one slot that admits nothing.
type Hold struct {
	gate    *Gate
	key     slotKey
	passage *passage
}

// Idle returns a channel that is closed when the slot has no call in flight.
func (h *Hold) Idle() <-chan struct{} {
	return h.passage.idle
}

// Release lets the waiting calls go on: they are admitted if the slot is still owned here, and
// otherwise refused as moved.
func (h *Hold) Release() {
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()

	if h.gate.slots[h.key] != h.passage {
		return
	}

	close(h.passage.released)
	h.passage.released = nil

	if h.passage.inFlight == 0 {
		delete(h.gate.slots, h.key)
	}
}

// gated runs the call between entering and leaving its slot's gate.
func (g *Guard) gated(ctx context.Context, c spar.Call) spar.Answer {
	leave, refusal, ok := g.gate.Enter(ctx, c)
	if !ok {
		return refusal
	}

	a := g.serve(ctx, c)
	if a.Response == nil {
		leave()
	} else {
		a.Response.Body = onClose(a.Response.Body, leave)
	}

	return a
}
