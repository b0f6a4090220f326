package guard

import (
	"context"
	"net/http"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

const (
	// maxHoldWait limits how long a call waits at a held slot.
	maxHoldWait spar.Millis = 2000
	// holdMargin is how long before its deadline a held call is refused, so that the refusal reaches the entry
	// node before that node reports an unknown outcome.
	holdMargin spar.Millis = 50
)

type slotKey struct {
	service string
	slot    spar.Slot
}

// slotState is the state of a slot that is held or has calls in flight.
type slotState struct {
	inFlight int
	// released is closed when the hold ends; nil while the slot is not held.
	released chan struct{}
	// idle is closed when a held slot has no call in flight.
	idle chan struct{}
}

// Gate counts the calls in flight for each slot and makes new calls wait while the slot moves to another node.
type Gate struct {
	self    func() spar.NodeID
	replica *fleet.Replica
	clock   spar.Clock
	records Records

	mu    sync.Mutex
	slots map[slotKey]*slotState
	// staged holds records whose move the slot map does not show yet.
	staged map[slotKey]StagedRecords
	// imported holds the epochs at which records of slots were imported.
	imported map[slotKey]spar.Epoch
	inFlight int
	refusing bool
}

// NewGate returns a gate without held slots.
func NewGate(self func() spar.NodeID, r *fleet.Replica, clock spar.Clock, records Records) *Gate {
	g := &Gate{self: self, replica: r, clock: clock, records: records}
	g.Reset()

	return g
}

// Gate returns the guard's gate.
func (g *Guard) Gate() *Gate {
	return g.gate
}

// SetRecords sets the records that move with slots. It must be called before the first call.
func (g *Gate) SetRecords(r Records) {
	g.records = r
}

// Reset prepares the gate for a new registration of the node. It drops the holds and records of the earlier
// registration, whose slots are not owned under the new id. Calls in flight stay counted.
func (g *Gate) Reset() {
	g.mu.Lock()
	defer g.mu.Unlock()

	for _, s := range g.slots {
		if s.released != nil {
			close(s.released)
		}
	}

	g.slots = map[slotKey]*slotState{}
	g.staged = map[slotKey]StagedRecords{}
	g.imported = map[slotKey]spar.Epoch{}
	g.refusing = false
}

// SetRefusing sets whether new calls are refused because the node is leaving.
func (g *Gate) SetRefusing(on bool) {
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

// Idle reports whether no call is in flight.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.inFlight == 0
}

// Enter admits a call and counts it as in flight. If the slot is held, it first waits for the end of the hold. The
// returned function must be called when the call ends; if Enter returns false, the answer is the refusal.
func (g *Gate) Enter(ctx context.Context, c spar.Call) (func(), spar.Answer, bool) {
	t := g.clock.Timer(min(maxHoldWait, c.Deadline-holdMargin-g.clock.Now()))
	defer t.Stop()

	for waited := false; ; waited = true {
		leave, released, refusal := g.tryEnter(c, waited)
		if released == nil {
			return leave, refusal, leave != nil
		}

		select {
		case <-released:
		case <-t.C:
			return nil, g.timeoutRefusal(c), false
		case <-ctx.Done():
			return nil, spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "caller has gone"), false
		}
	}
}

// timeoutRefusal returns the refusal of a call that has waited at a held slot for the maximum time.
func (g *Gate) timeoutRefusal(c spar.Call) spar.Answer {
	if g.clock.Now() >= c.Deadline-holdMargin {
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline came while the slot moved")
	}

	return slotRefusal(spar.ReasonMoved, c.Slot, "is being moved")
}

// slotRefusal returns a refusal that concerns the call's slot.
func slotRefusal(reason spar.Reason, slot spar.Slot, what string) spar.Answer {
	return spar.NotRun(http.StatusServiceUnavailable, reason, "slot %d %s", slot, what)
}

// tryEnter admits the call, or returns the channel to wait for, or a refusal. waited is true if the call has already
// waited for a hold.
func (g *Gate) tryEnter(c spar.Call, waited bool) (func(), <-chan struct{}, spar.Answer) {
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

	state := g.slots[key]
	if state != nil && state.released != nil {
		return nil, state.released, spar.Answer{}
	}

	a := g.replica.View().Assignment(c.Service, c.Slot)

	switch owned := a.Owner == g.self(); {
	case !owned && waited:
		return nil, nil, slotRefusal(spar.ReasonMoved, c.Slot, "has moved")
	case owned && !g.recordsReady(key, a):
		return nil, nil, slotRefusal(spar.ReasonNotOwner, c.Slot, "has no records here yet")
	}

	if state == nil {
		state = &slotState{}
		g.slots[key] = state
	}

	state.inFlight++
	g.inFlight++

	return sync.OnceFunc(func() { g.leaveSlot(key, state) }), nil, spar.Answer{}
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.inFlight--
}

func (g *Gate) leaveSlot(key slotKey, state *slotState) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.inFlight--
	state.inFlight--

	switch {
	case state.inFlight > 0:
	case state.released != nil:
		close(state.idle)
	case g.slots[key] == state:
		delete(g.slots, key)
	}
}

// Hold makes new calls for a slot wait. It returns false if the slot is already held.
func (g *Gate) Hold(service string, slot spar.Slot) (*Hold, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	key := slotKey{service, slot}

	state := g.slots[key]
	if state == nil {
		state = &slotState{}
		g.slots[key] = state
	}

	if state.released != nil {
		return nil, false
	}

	state.released, state.idle = make(chan struct{}), make(chan struct{})
	if state.inFlight == 0 {
		close(state.idle)
	}

	return &Hold{gate: g, key: key, state: state}, true
}

// Hold is a held slot, which admits no calls.
type Hold struct {
	gate  *Gate
	key   slotKey
	state *slotState
}

// Idle returns a channel that is closed when the slot has no call in flight.
func (h *Hold) Idle() <-chan struct{} {
	return h.state.idle
}

// Release ends the hold. Waiting calls are admitted if this node still owns the slot, and otherwise refused as
// moved.
func (h *Hold) Release() {
	h.gate.mu.Lock()
	defer h.gate.mu.Unlock()

	if h.gate.slots[h.key] != h.state {
		return
	}

	close(h.state.released)
	h.state.released = nil

	if h.state.inFlight == 0 {
		delete(h.gate.slots, h.key)
	}
}

// serveThroughGate runs the call while it counts as in flight for its slot.
func (g *Guard) serveThroughGate(ctx context.Context, c spar.Call) spar.Answer {
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
