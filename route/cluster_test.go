package route_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/pick"
	"sardinespar.example/spar/route"
	"sardinespar.example/spar/table"
)

var (
	keyedService = spar.Service{Name: "s", Mode: spar.ModeKeyed, Slots: 4}
	fileService  = spar.Service{Name: "f", Mode: spar.ModeAny, Slots: 1}
)

// testLease is a lease that is renewed until the test stops it.
type testLease struct {
	end   atomic.Int64 // 0 while the lease is renewed.
	clock spar.Clock
}

func (l *testLease) Until() spar.Millis {
	if end := l.end.Load(); end > 0 {
		return spar.Millis(end)
	}

	return l.clock.Now() + leaseTime
}

// stop ends the renewals. The lease stays valid until its duration has passed.
func (l *testLease) stop() {
	l.end.CompareAndSwap(0, int64(l.clock.Now()+leaseTime))
}

func (l *testLease) stopped() bool { return l.end.Load() > 0 }

const leaseTime spar.Millis = 900

// outageTable is a table whose Get fails while it is unavailable.
type outageTable struct {
	spar.Table
	unavailable atomic.Bool
}

func (t *outageTable) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if t.unavailable.Load() {
		return spar.Row{}, false, syscall.ECONNREFUSED
	}

	return t.Table.Get(ctx, key)
}

// vm is a node and its backend server.
type vm struct {
	id              spar.NodeID
	replica         *fleet.Replica
	lease           *testLease
	guard           *guard.Guard
	crashes         *crash.Quarantine
	gate            *slotGate
	httpListener    abortListener
	peerListener    abortListener
	backendListener abortListener
	backend         *backend
	client          *http.Transport
	limiter         *admit.Fixed
}

// cluster is a set of nodes that are connected by in-memory pipes, and their table.
type cluster struct {
	net    *fault.PipeNet
	clock  spar.Clock
	ring   *event.Ring
	table  *outageTable
	vms    []*vm
	caller *http.Transport
	pool   *peers.Pool
	stop   context.CancelFunc
	wg     sync.WaitGroup
	runs   runLog

	// mu guards the slot map.
	mu       sync.Mutex
	segment  spar.Segment
	revision spar.Revision
}

func newCluster(count int, resume bool) *cluster {
	ctx, stop := context.WithCancel(context.Background())
	c := &cluster{
		net: fault.NewPipeNet(), clock: spar.RuntimeClock(), table: &outageTable{Table: table.NewMemory()},
		segment: spar.NewSegment(keyedService, 0), stop: stop, revision: 100,
		ring: event.NewRing(64, func() int64 { return time.Now().UnixMilli() }),
	}
	c.caller, c.pool = c.net.Transport(), peers.NewPool(c.net.Dial, &peers.Traffic{})
	c.runs.requests, c.runs.tokens = map[string]int{}, map[string]int{}

	for i := range count {
		c.vms = append(c.vms, c.start(ctx, i, resume))
	}

	c.mergeRows([]spar.Row{
		{Key: fleet.ServiceKey("s"), Value: fleet.Encode(keyedService), Revision: 1},
		{Key: fleet.ServiceKey("f"), Value: fleet.Encode(fileService), Revision: 1},
	}, nil)

	for i, v := range c.vms {
		n := spar.Node{
			ID: v.id, Service: "s", HTTPAddr: v.httpListener.addr, PeerAddr: v.peerListener.addr,
			State: spar.NodeLive,
		}
		if i < fileNodes {
			n.Service = "f"
		}

		c.mergeRows([]spar.Row{{Key: fleet.NodeKey(v.id), Value: fleet.Encode(n), Revision: 1}}, nil)
	}

	for slot := range keyedService.Slots {
		owner := c.vms[fileNodes+slot%(count-fileNodes)].id
		c.segment = c.segment.WithAssignment(spar.Slot(slot), spar.Assignment{}.WithTakeover(owner))
	}

	c.assign(func(g spar.Segment) spar.Segment { return g }, nil)

	return c
}

// fileNodes is the number of nodes that serve the file service. The others serve the keyed service.
const fileNodes = 3

func (c *cluster) start(ctx context.Context, i int, resume bool) *vm {
	id := spar.NodeID(fmt.Sprintf("vm%d.1", i))
	self := func() spar.NodeID { return id }
	v := &vm{
		id: id, replica: fleet.NewReplica(), lease: &testLease{clock: c.clock}, client: c.net.Transport(),
		httpListener: newListener(c.net, fmt.Sprintf("10.0.0.%d:80", i)), peerListener: newListener(c.net, string(id)),
		backend: &backend{runs: &c.runs, node: i},
	}
	v.limiter = admit.NewFixed(c.clock, 100)
	v.limiter.Reset(spar.Capacity{Slots: 8, Conns: 8})

	wall := func() int64 { return time.Now().UnixMilli() }
	v.crashes = crash.New(self, v.replica, c.table, c.pool, c.clock, wall, c.ring)
	v.guard = guard.New(self, v.replica, v.lease, v.limiter, v.client, c.clock).SetQuarantine(v.crashes)
	v.gate = newSlotGate(v.guard)
	h := route.New(self, v.replica, v.gate, misroutingTransport{v.client}, pick.NewRoundRobin(), c.clock)

	if resume {
		h.SetResume(c.ring)
	}

	m := peers.NewMux()
	v.crashes.Register(m)
	c.wg.Go(func() { v.crashes.Run(ctx) })
	c.wg.Go(func() { _ = peers.NewServer(m, &peers.Traffic{}).Serve(ctx, v.peerListener) })
	c.wg.Go(func() { _ = (&http.Server{Handler: h}).Serve(v.httpListener) })
	c.startBackend(v, i)

	return v
}

// startBackend starts the backend server of node i.
func (c *cluster) startBackend(v *vm, i int) {
	v.backendListener = newListener(c.net, fmt.Sprintf("10.0.1.%d:80", i))
	v.backend.crash = func() { _ = v.backendListener.Close() }
	l := v.backendListener
	c.wg.Go(func() { _ = (&http.Server{Handler: v.backend}).Serve(l) })
	v.guard.SetBackend(&guard.Backend{Addr: v.backendListener.addr})
}

func (c *cluster) close() {
	c.stop()

	for _, v := range c.vms {
		_ = v.httpListener.Close()
		_ = v.peerListener.Close()
		_ = v.backendListener.Close()
		v.client.CloseIdleConnections()
	}

	c.pool.Close()
	c.caller.CloseIdleConnections()
	c.wg.Wait()
	// Handlers of aborted connections end only when their work time has passed.
	time.Sleep(time.Minute)
}

// assign applies a change to the slot map. Nodes for which skip returns true do not get it.
func (c *cluster) assign(change func(spar.Segment) spar.Segment, skip func(*vm) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.segment = change(c.segment)
	c.revision++
	c.mergeRows([]spar.Row{
		{Key: fleet.SegmentKey("s", 0), Value: fleet.Encode(c.segment), Revision: c.revision},
	}, skip)
}

// mergeRows merges rows into the replicas of all nodes for which skip does not return true.
func (c *cluster) mergeRows(rows []spar.Row, skip func(*vm) bool) {
	for _, v := range c.vms {
		if skip == nil || !skip(v) {
			v.replica.Merge(rows, 0)
		}
	}
}

// kill simulates the end of a node's process: its connections break and its lease is no longer renewed.
func (c *cluster) kill(v *vm) {
	v.lease.stop()
	_ = v.httpListener.Close()
	v.client.CloseIdleConnections()
	_ = v.backendListener.Close()
}

// takeover waits until a node's lease has expired and assigns its slots to another node.
func (c *cluster) takeover(v *vm) {
	v.lease.stop()
	time.Sleep((leaseTime + 10).Duration())

	c.assign(func(g spar.Segment) spar.Segment {
		for slot := range spar.Slot(keyedService.Slots) {
			if g.At(slot).Owner != v.id {
				continue
			}

			for _, o := range c.vms[fileNodes:] {
				if o != v && !o.lease.stopped() {
					g = g.WithAssignment(slot, g.At(slot).WithTakeover(o.id))
				}
			}
		}

		return g
	}, nil)
}

func (c *cluster) assignment(slot spar.Slot) spar.Assignment {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.segment.At(slot)
}

// move transfers a slot and its records to another node.
func (c *cluster) move(slot spar.Slot, to *vm, lagging func(*vm) bool) {
	before := c.assignment(slot)

	for _, from := range c.vms {
		if from.id != before.Owner || from == to || from.lease.stopped() || to.lease.stopped() {
			continue
		}

		release := from.gate.hold(slot)
		data := from.guard.Ledger().Export("s", slot)
		// An import may fail only if the slot was assigned to another owner while the move waited.
		if err := to.guard.Ledger().Import("s", slot, before.Epoch+1, data); err != nil && c.assignment(slot) == before {
			panic(err)
		}

		c.assign(func(g spar.Segment) spar.Segment {
			if g.At(slot) == before && !from.lease.stopped() && !to.lease.stopped() {
				return g.WithAssignment(slot, before.WithMove(to.id))
			}

			return g
		}, func(v *vm) bool { return v != from && v != to && lagging != nil && lagging(v) })
		release()
	}
}
