package mesh

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/peers"
)

const (
	methodState = "mesh.state"

	// minInterval is the shortest interval between two exchanges with a peer. Above it, the interval grows by
	// intervalPerNode for each node, so that a node's traffic doesn't depend on the size of the fleet.
	minInterval     spar.Millis = 400
	intervalPerNode spar.Millis = 25
	// callTimeout is the time limit of an exchange or a notification by a call.
	callTimeout spar.Millis = 600
	// peerExpiry is how long an unresponsive peer is still contacted before it is removed.
	peerExpiry spar.Millis = 60_000
)

// Deps are the dependencies of a mesh.
type Deps struct {
	Clock  spar.Clock
	Caller peers.Caller
	Log    *log.Logger
	// Packets sends states to responsive peers and receives theirs. If it is nil, each exchange is a call.
	Packets net.PacketConn
	// Self returns the current state of this node.
	Self func() State
	// OnState is called with the newest state of a peer whenever the peer sends one.
	OnState func(State)
}

// Mesh exchanges states with the other nodes and keeps the latest state of each.
type Mesh struct {
	deps Deps
	name string

	mu    sync.Mutex
	peers map[string]Peer
	// triggers holds a channel for each peer that starts the next exchange before its interval has passed.
	triggers map[string]chan struct{}
	started  map[string]bool
	// pending are the peers whose goroutines Run has yet to start, and wake notifies Run of them.
	pending []string
	wake    chan struct{}
	// encoded is this node's state as a packet, encoded at encodedAt.
	encoded   []byte
	encodedAt spar.Millis
}

// New returns a mesh that knows no node but this one.
func New(name string, deps Deps) *Mesh {
	return &Mesh{
		deps: deps, name: name, peers: map[string]Peer{}, triggers: map[string]chan struct{}{},
		started: map[string]bool{}, wake: make(chan struct{}, 1),
	}
}

// Register adds the handler for states of peers to mux. It replies with the state of this node.
func (m *Mesh) Register(mux *peers.Mux) {
	peers.Handle(mux, methodState, func(_ context.Context, s State) (State, error) {
		if err := s.validate(); err != nil {
			return State{}, err
		}

		m.receive(s)

		return m.deps.Self(), nil
	})
}

// AddPeer adds a node that was read from the table. The state of a peer that already sent one stays.
func (m *Mesh) AddPeer(name, addr, zone, service string) {
	m.mu.Lock()
	p, known := m.peers[name]
	if !known || p.LastHeard == 0 {
		m.peers[name] = Peer{State: State{Node: name, PeerAddr: addr, Zone: zone, Service: service}}
	}
	m.mu.Unlock()

	m.start(name)
}

// receive stores a state that a peer sent and passes the newest state of the peer to Deps.OnState. A state
// older than the stored one is discarded, but still shows that the peer is alive.
func (m *Mesh) receive(s State) {
	if s.Node == m.name {
		return
	}

	m.mu.Lock()
	now := m.deps.Clock.Now()
	loadAt := now

	p, known := m.peers[s.Node]
	if known && p.NewerThan(s) && p.LastHeard > 0 {
		s, loadAt = p.State, p.LoadAt
	}

	m.peers[s.Node] = Peer{State: s, LastHeard: now, LoadAt: loadAt}
	m.mu.Unlock()

	m.start(s.Node)
	m.deps.OnState(s)
}

// start makes Run start the goroutine that exchanges states with a peer, unless it has been started already.
func (m *Mesh) start(name string) {
	if name == m.name {
		return
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.started[name] {
		return
	}

	m.started[name] = true
	m.triggers[name] = make(chan struct{}, 1)
	m.pending = append(m.pending, name)

	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// takePending returns the peers whose goroutines are to be started and clears the list.
func (m *Mesh) takePending() []string {
	m.mu.Lock()
	defer m.mu.Unlock()

	names := m.pending
	m.pending = nil

	return names
}

// Peers returns all other nodes, sorted by name.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()

	return slices.SortedFunc(maps.Values(m.peers), func(a, b Peer) int {
		if a.Node < b.Node {
			return -1
		}

		return 1
	})
}

// Peer returns a node by name.
func (m *Mesh) Peer(name string) (Peer, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()

	p, ok := m.peers[name]

	return p, ok
}

// Announce sends this node's state to all peers immediately, without waiting for the next exchange.
func (m *Mesh) Announce() {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.encoded = nil

	for _, c := range m.triggers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// Broadcast calls a method of all peers that are not expired and doesn't wait for the replies.
func (m *Mesh) Broadcast(ctx context.Context, method string, params any) {
	now := m.deps.Clock.Now()

	for _, p := range m.Peers() {
		if p.Alive(now, peerExpiry) {
			go m.runNotify(ctx, p.PeerAddr, method, params)
		}
	}
}

// runNotify makes one call of a broadcast and discards the reply.
func (m *Mesh) runNotify(ctx context.Context, addr, method string, params any) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()

	if err := m.deps.Caller.Call(ctx, addr, method, params, nil); err != nil {
		m.deps.Log.Debug("peer not notified", "peer_addr", addr, "method", method, "cause", err)
	}
}

// Run exchanges states with all peers until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	if m.deps.Packets != nil {
		wg.Go(func() { m.loopPackets(ctx) })
	}

	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}

		for _, name := range m.takePending() {
			wg.Go(func() { m.loop(ctx, name) })
		}
	}
}

// loop exchanges states with one peer until the peer expires. With packets, it calls the peer only if the
// peer's packets are overdue. Without packets, only the node with the lower name calls, unless its state is
// overdue at the other node or the other node has to announce a change.
func (m *Mesh) loop(ctx context.Context, name string) {
	defer m.remove(name)

	m.mu.Lock()
	trigger := m.triggers[name]
	m.mu.Unlock()

	for started := m.deps.Clock.Now(); ctx.Err() == nil; {
		p, _ := m.Peer(name)
		now := m.deps.Clock.Now()
		interval := m.interval()

		if now-max(started, p.LastHeard) > peerExpiry {
			return
		}

		switch overdue := m.overdue(p, now-started, now); {
		case m.deps.Packets != nil && !overdue:
			m.clearTrigger(trigger)
			m.sendPacket(p)
		case m.name < name || overdue || len(trigger) > 0:
			m.exchange(ctx, p)
		}

		m.wait(ctx, trigger, interval)
	}
}

// overdue reports whether a peer has sent no state for two intervals, so that it has to be called. Without packets,
// a peer that never sent a state is overdue at once. With packets, it is overdue once age, the time since this node
// first contacted it, exceeds two intervals: calling new peers at once would open a connection between every two
// nodes when a fleet starts.
func (m *Mesh) overdue(p Peer, age, now spar.Millis) bool {
	timeout := 2 * m.interval()
	if p.LastHeard == 0 {
		return m.deps.Packets == nil || age > timeout
	}

	return now-p.LastHeard > timeout
}

// clearTrigger removes a pending trigger before a state is sent, since that state includes the change.
func (m *Mesh) clearTrigger(trigger chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()

	select {
	case <-trigger:
	default:
	}
}

// wait returns after an interval, or earlier if the peer's trigger fires.
func (m *Mesh) wait(ctx context.Context, trigger chan struct{}, interval spar.Millis) {
	t := m.deps.Clock.Timer(interval)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	case <-trigger:
		// Put the trigger back: loop checks it to decide whether to call, and clears it when it sends.
		select {
		case trigger <- struct{}{}:
		default:
		}
	}
}

// exchange exchanges states with a peer within callTimeout.
func (m *Mesh) exchange(ctx context.Context, p Peer) {
	m.mu.Lock()
	trigger := m.triggers[p.Node]
	m.mu.Unlock()
	m.clearTrigger(trigger)

	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()

	if err := m.Exchange(ctx, p); err != nil {
		m.deps.Log.Debug("exchange of states failed", "peer", p.Node, "cause", err)
	}
}

// Exchange calls a peer with this node's state and stores the peer's state from the reply. Without an error, the peer
// has received the state.
func (m *Mesh) Exchange(ctx context.Context, p Peer) error {
	var s State
	if err := m.deps.Caller.Call(ctx, p.PeerAddr, methodState, m.deps.Self(), &s); err != nil {
		return fmt.Errorf("exchange states with %s: %w", p.Node, err)
	}

	if s.Node != p.Node {
		return fmt.Errorf("exchange states with %s: %s replied", p.Node, s.Node)
	}

	m.receive(s)

	return nil
}

// remove deletes a peer once its goroutine has ended.
func (m *Mesh) remove(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()

	delete(m.peers, name)
	delete(m.triggers, name)
	delete(m.started, name)
}

// interval returns the time between two exchanges with a peer at the current number of nodes.
func (m *Mesh) interval() spar.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()

	return max(minInterval, intervalPerNode*spar.Millis(len(m.peers)))
}

// LivenessTimeout returns the maximum age of the last state from a peer that still counts as alive.
func (m *Mesh) LivenessTimeout() spar.Millis {
	return 2*m.interval() + callTimeout
}

// UpdateLoad stores the load that a peer's backend server reported in a response.
func (m *Mesh) UpdateLoad(name string, load gate.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()

	if p, ok := m.peers[name]; ok {
		p.Load, p.LoadAt = load, m.deps.Clock.Now()
		m.peers[name] = p
	}
}
