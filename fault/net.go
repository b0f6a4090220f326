// Package fault is test support: a network, clocks and a table whose faults a test switches. All of
// it lives in virtual time when it is used inside a testing/synctest bubble:
//
//	synctest.Test(t, func(t *testing.T) {
//		network := fault.NewNet(1)
//		defer network.Close()
//		store := fault.NewStore(table.NewMemory())
//		a := network.VM("10.0.0.1", fault.Drift{Rate: 0.01, Offset: 5000})
//		b := network.VM("10.0.0.2", fault.Drift{})
//		ln := b.Listen("10.0.0.2:7000")    // hand to peers.Server or http.Server
//		pool := peers.NewPool(a.Dial, &peers.Traffic{})
//		calls := a.Calls(pool)             // peers.Caller with loss, delay and duplicates
//		clock, rows := a.Clock(), a.Table(store)
//		network.Set("10.0.0.1", "10.0.0.2", fault.Link{Delay: time.Millisecond, Lose: 0.1})
//		network.Cut("10.0.0.2", "10.0.0.1") // one way; Part cuts both
//		b.Freeze()                         // paused or suspended: time goes on, nothing else does
//		b.Thaw()
//		network.Cut("10.0.0.1", fault.StoreHost)
//		store.Set(fault.StoreFaults{Outage: true})
//	})
//
// A host is the part of an address before its port. Links between hosts have no delay until Set.
package fault

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	spar "sardinespar.example/spar"
)

// StoreHost is the host of the table service in links.
const StoreHost = "store"

// dialTimeout is how long a dial over a cut link waits.
const dialTimeout = 500 * time.Millisecond

var (
	errRefused = errors.New("connection refused")
	errClosed  = errors.New("network is closed")
	errTimeout = errors.New("timed out")
)

// Link is the state of the way from one host to another. Lose and Duplicate are shares of the
// calls made through VM.Calls; a stream of bytes loses nothing, but waits while the link is cut.
type Link struct {
	Delay     time.Duration
	Jitter    time.Duration
	Lose      float64
	Duplicate float64
	Cut       bool
}

type pair struct{ from, to string }

// Net is a network in memory.
type Net struct {
	ctx  context.Context //nolint:containedctx // it bounds the life of all connections.
	stop context.CancelFunc
	base time.Time

	mu        sync.Mutex
	random    *rand.Rand
	links     map[pair]Link
	frozen    map[string]bool
	dead      map[string]bool
	listeners map[string]*listener
	streams   map[*stream]bool
	changed   chan struct{}
}

// NewNet returns a network without faults; seed determines its random choices.
func NewNet(seed uint64) *Net {
	ctx, stop := context.WithCancel(context.Background())

	return &Net{
		ctx: ctx, stop: stop, base: time.Now(), random: rand.New(rand.NewPCG(seed, 0)),
		links: map[pair]Link{}, frozen: map[string]bool{}, dead: map[string]bool{},
		listeners: map[string]*listener{}, streams: map[*stream]bool{}, changed: make(chan struct{}),
	}
}

// Close closes all listeners and connections and releases everyone who waits.
func (n *Net) Close() {
	n.stop()
	n.closeIf(func(pair) bool { return true })

	n.mu.Lock()
	defer n.mu.Unlock()

	for _, l := range n.listeners {
		l.stop()
	}
}

// Link returns the state of the way between two hosts.
func (n *Net) Link(from, to string) Link {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.links[pair{from, to}]
}

// Set sets the state of the way from one host to another.
func (n *Net) Set(from, to string, l Link) {
	n.change(func() { n.links[pair{from, to}] = l })
}

// Cut stops all traffic from one host to another, but not the other way.
func (n *Net) Cut(from, to string) {
	l := n.Link(from, to)
	l.Cut = true
	n.Set(from, to, l)
}

// Heal ends a cut from one host to another. What was sent meanwhile on open connections arrives.
func (n *Net) Heal(from, to string) {
	l := n.Link(from, to)
	l.Cut = false
	n.Set(from, to, l)
}

// Part cuts both ways between two hosts.
func (n *Net) Part(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Join ends the cuts of both ways between two hosts.
func (n *Net) Join(a, b string) {
	n.Heal(a, b)
	n.Heal(b, a)
}

func (n *Net) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()

	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// await waits until ready, which is called with the lock held, and reports false if ctx ended or
// the network was closed first.
func (n *Net) await(ctx context.Context, ready func() bool) bool {
	for {
		n.mu.Lock()
		ok, changed := ready(), n.changed
		n.mu.Unlock()

		if ok {
			return true
		}

		select {
		case <-n.ctx.Done():
			return false
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// awaitThaw waits until host runs.
func (n *Net) awaitThaw(ctx context.Context, host string) bool {
	return n.await(ctx, func() bool { return !n.frozen[host] })
}

// awaitPath waits until bytes pass from one host to another, which runs.
func (n *Net) awaitPath(ctx context.Context, from, to string) bool {
	return n.await(ctx, func() bool { return !n.frozen[to] && !n.links[pair{from, to}].Cut })
}

func (n *Net) isFrozen(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.frozen[host]
}

// delay draws the delay of one message.
func (n *Net) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	l := n.links[pair{from, to}]
	if l.Jitter <= 0 {
		return l.Delay
	}

	return l.Delay + time.Duration(n.random.Int64N(int64(l.Jitter)))
}

func (n *Net) draw(share float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return share > 0 && n.random.Float64() < share
}

func (n *Net) closeIf(match func(pair) bool) {
	n.mu.Lock()

	var doomed []*stream

	for s := range n.streams {
		if match(pair{s.from, s.to}) {
			doomed = append(doomed, s)
		}
	}

	n.mu.Unlock()

	for _, s := range doomed {
		s.close()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}

	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// hostOf returns the part of addr before its port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}

	return host
}

// Drift is what is wrong with a VM's clock: it gains Rate per unit of time and starts at Offset.
type Drift struct {
	Rate   float64
	Offset spar.Millis
}
