// Package fault provides fault injection for tests: a network, clocks and a table with faults that the test
// controls. Inside a testing/synctest bubble, all of it runs in virtual time:
//
//	synctest.Test(t, func(t *testing.T) {
//		network := fault.NewNet(1)
//		defer network.Close()
//		store := fault.NewStore(table.NewMemory())
//		a := network.VM("10.0.0.1", fault.Drift{Rate: 0.01, Offset: 5000})
//		b := network.VM("10.0.0.2", fault.Drift{})
//		ln := b.Listen("10.0.0.2:7000")    // for peers.Server or http.Server
//		pool := peers.NewPool(a.Dial, &peers.Traffic{})
//		caller := a.Caller(pool)           // peers.Caller with loss, delay and duplicates
//		clock, rows := a.Clock(), a.Table(store)
//		network.Set("10.0.0.1", "10.0.0.2", fault.Link{Delay: time.Millisecond, LossRate: 0.1})
//		network.Cut("10.0.0.2", "10.0.0.1") // one way; Partition cuts both
//		b.Freeze()                         // pause or suspension: only its clock advances
//		b.Thaw()
//		network.Cut("10.0.0.1", fault.StoreHost)
//		store.Set(fault.StoreFaults{Outage: true})
//	})
//
// A host is the part of an address before its port. Links between hosts have no delay until Set is called.
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

// StoreHost is the host name of the table service in links.
const StoreHost = "store"

// dialTimeout is the time limit for opening a connection, for example over a cut link.
const dialTimeout = 500 * time.Millisecond

var (
	errRefused = errors.New("connection refused")
	errClosed  = errors.New("network is closed")
	errTimeout = errors.New("timed out")
)

// Link is the state of the link from one host to another, in this direction only. For calls through VM.Caller,
// LossRate is the probability that a request or reply is lost, and DuplicateRate that a request is sent twice. A
// connection loses no bytes, but its bytes wait while the link is cut.
type Link struct {
	Delay         time.Duration
	Jitter        time.Duration
	LossRate      float64
	DuplicateRate float64
	Cut           bool
}

// direction identifies the link from one host to another.
type direction struct{ from, to string }

// Net is an in-memory network with faults.
type Net struct {
	ctx  context.Context //nolint:containedctx // it bounds the life of all connections.
	stop context.CancelFunc
	base time.Time

	mu        sync.Mutex
	random    *rand.Rand
	links     map[direction]Link
	frozen    map[string]bool
	killed    map[string]bool
	listeners map[string]*listener
	streams   map[*stream]bool
	changed   chan struct{}
}

// NewNet returns a network without faults; seed determines its random choices.
func NewNet(seed uint64) *Net {
	ctx, stop := context.WithCancel(context.Background())

	return &Net{
		ctx: ctx, stop: stop, base: time.Now(), random: rand.New(rand.NewPCG(seed, 0)),
		links: map[direction]Link{}, frozen: map[string]bool{}, killed: map[string]bool{},
		listeners: map[string]*listener{}, streams: map[*stream]bool{}, changed: make(chan struct{}),
	}
}

// Close closes all listeners and connections and ends all waiting calls.
func (n *Net) Close() {
	n.stop()
	n.closeStreams(func(direction) bool { return true })

	n.mu.Lock()
	defer n.mu.Unlock()

	for _, l := range n.listeners {
		l.shut()
	}
}

// Link returns the state of the link from one host to another.
func (n *Net) Link(from, to string) Link {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.links[direction{from, to}]
}

// Set sets the state of the link from one host to another.
func (n *Net) Set(from, to string, l Link) {
	n.change(func() { n.links[direction{from, to}] = l })
}

// Cut stops all traffic from one host to another, but not in the opposite direction.
func (n *Net) Cut(from, to string) {
	l := n.Link(from, to)
	l.Cut = true
	n.Set(from, to, l)
}

// Heal ends a cut from one host to another. Bytes that were sent meanwhile on open connections arrive then.
func (n *Net) Heal(from, to string) {
	l := n.Link(from, to)
	l.Cut = false
	n.Set(from, to, l)
}

// Partition cuts both directions between two hosts.
func (n *Net) Partition(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// HealPartition ends the cuts of both directions between two hosts.
func (n *Net) HealPartition(a, b string) {
	n.Heal(a, b)
	n.Heal(b, a)
}

// change calls f with the lock held and wakes all waiting calls.
func (n *Net) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()

	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// await waits until ready returns true, which is called with the lock held. It returns false if ctx ends or the
// network is closed first.
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

// awaitThaw waits until host is not frozen.
func (n *Net) awaitThaw(ctx context.Context, host string) bool {
	return n.await(ctx, func() bool { return !n.frozen[host] })
}

// awaitLink waits until the link from one host to another is not cut and the receiving host is not frozen.
func (n *Net) awaitLink(ctx context.Context, from, to string) bool {
	return n.await(ctx, func() bool { return !n.frozen[to] && !n.links[direction{from, to}].Cut })
}

func (n *Net) isFrozen(host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.frozen[host]
}

// delay returns the delay of one message, with random jitter.
func (n *Net) delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	l := n.links[direction{from, to}]
	if l.Jitter <= 0 {
		return l.Delay
	}

	return l.Delay + time.Duration(n.random.Int64N(int64(l.Jitter)))
}

// chance returns true with the given probability.
func (n *Net) chance(probability float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return probability > 0 && n.random.Float64() < probability
}

// closeStreams closes the streams whose direction matches.
func (n *Net) closeStreams(match func(direction) bool) {
	n.mu.Lock()

	var closing []*stream

	for s := range n.streams {
		if match(direction{s.from, s.to}) {
			closing = append(closing, s)
		}
	}

	n.mu.Unlock()

	for _, s := range closing {
		s.close()
	}
}

// sleep waits for d. It returns false if ctx ends first.
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

// Drift is the error of a VM's clock: the clock starts at Offset and gains Rate per unit of time.
type Drift struct {
	Rate   float64
	Offset spar.Millis
}
