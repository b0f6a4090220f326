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
	keyed = spar.Service{Name: "s", Mode: spar.ModeKeyed, Slots: 4}
	files = spar.Service{Name: "f", Mode: spar.ModeAny, Slots: 1}
)

// held is a lease that its test ends.
type held struct {
	ended atomic.Int64 // 0 while the lease is renewed
	clock spar.Clock
}

func (h *held) Until() spar.Millis {
	if ended := h.ended.Load(); ended > 0 {
		return spar.Millis(ended)
	}

	return h.clock.Now() + leaseTime
}

// stop ends the renewals; the lease lasts for its time.
func (h *held) stop() {
	h.ended.CompareAndSwap(0, int64(h.clock.Now()+leaseTime))
}

func (h *held) stopped() bool { return h.ended.Load() > 0 }

const leaseTime spar.Millis = 900

// store is a table that can be out.
type store struct {
	spar.Table
	out atomic.Bool
}

func (s *store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if s.out.Load() {
		return spar.Row{}, false, syscall.ECONNREFUSED
	}

	return s.Table.Get(ctx, key)
}

// vm is a node and its backend server.
type vm struct {
	id      spar.NodeID
	replica *fleet.Replica
	lease   *held
	guard   *guard.Guard
	crashes *crash.Quarantine
	gate    *gate
	http    listener
	peer    listener
	back    listener
	backend *backend
	client  *http.Transport
	limiter *admit.Fixed
}

// world is a few nodes over a network of pipes, and the table.
type world struct {
	net    *fault.Pipes
	clock  spar.Clock
	ring   *event.Ring
	table  *store
	vms    []*vm
	caller *http.Transport
	pool   *peers.Pool
	stop   context.CancelFunc
	wg     sync.WaitGroup
	runs   runs

	// mu covers the slot map.
	mu       sync.Mutex
	segment  spar.Segment
	revision spar.Revision
}

func newWorld(count int, resume bool) *world {
	ctx, stop := context.WithCancel(context.Background())
	w := &world{
		net: fault.NewPipes(), clock: spar.RuntimeClock(), table: &store{Table: table.NewMemory()},
		segment: spar.NewSegment(keyed, 0), stop: stop, revision: 100,
		ring: event.NewRing(64, func() int64 { return time.Now().UnixMilli() }),
	}
	w.caller, w.pool = w.net.Transport(), peers.NewPool(w.net.Dial, &peers.Traffic{})
	w.runs.requests, w.runs.tokens = map[string]int{}, map[string]int{}

	for i := range count {
		w.vms = append(w.vms, w.start(ctx, i, resume))
	}

	w.spread([]spar.Row{
		{Key: fleet.ServiceKey("s"), Value: fleet.Encode(keyed), Revision: 1},
		{Key: fleet.ServiceKey("f"), Value: fleet.Encode(files), Revision: 1},
	}, nil)

	for i, v := range w.vms {
		n := spar.Node{ID: v.id, Service: "s", HTTPAddr: v.http.addr, PeerAddr: v.peer.addr, State: spar.NodeLive}
		if i < fileNodes {
			n.Service = "f"
		}

		w.spread([]spar.Row{{Key: fleet.NodeKey(v.id), Value: fleet.Encode(n), Revision: 1}}, nil)
	}

	for slot := range keyed.Slots {
		owner := w.vms[fileNodes+slot%(count-fileNodes)].id
		w.segment = w.segment.With(spar.Slot(slot), spar.Assignment{}.Taken(owner))
	}

	w.assign(func(g spar.Segment) spar.Segment { return g }, nil)

	return w
}

// fileNodes is the number of nodes that serve files; the others own keys.
const fileNodes = 3

func (w *world) start(ctx context.Context, i int, resume bool) *vm {
	id := spar.NodeID(fmt.Sprintf("vm%d.1", i))
	self := func() spar.NodeID { return id }
	v := &vm{
		id: id, replica: fleet.NewReplica(), lease: &held{clock: w.clock}, client: w.net.Transport(),
		http: listen(w.net, fmt.Sprintf("10.0.0.%d:80", i)), peer: listen(w.net, string(id)),
		backend: &backend{runs: &w.runs, node: i},
	}
	v.limiter = admit.NewFixed(w.clock, 100)
	v.limiter.Reset(spar.Capacity{Slots: 8, Conns: 8})

	wall := func() int64 { return time.Now().UnixMilli() }
	v.crashes = crash.New(self, v.replica, w.table, w.pool, w.clock, wall, w.ring)
	v.guard = guard.New(self, v.replica, v.lease, v.limiter, v.client, w.clock).WithQuarantine(v.crashes)
	v.gate = newGate(v.guard)
	h := route.New(self, v.replica, v.gate, crossing{v.client}, pick.NewRobin(), w.clock)

	if resume {
		h.WithResume(w.ring)
	}

	m := peers.NewMux()
	v.crashes.Register(m)
	w.wg.Go(func() { v.crashes.Run(ctx) })
	w.wg.Go(func() { _ = peers.NewServer(m, &peers.Traffic{}).Serve(ctx, v.peer) })
	w.wg.Go(func() { _ = (&http.Server{Handler: h}).Serve(v.http) })
	w.boot(v, i)

	return v
}

// boot starts the node's backend server.
func (w *world) boot(v *vm, i int) {
	v.back = listen(w.net, fmt.Sprintf("10.0.1.%d:80", i))
	v.backend.crash = func() { _ = v.back.Close() }
	l := v.back
	w.wg.Go(func() { _ = (&http.Server{Handler: v.backend}).Serve(l) })
	v.guard.Attach(&guard.Backend{Addr: v.back.addr})
}

func (w *world) close() {
	w.stop()

	for _, v := range w.vms {
		_ = v.http.Close()
		_ = v.peer.Close()
		_ = v.back.Close()
		v.client.CloseIdleConnections()
	}

	w.pool.Close()
	w.caller.CloseIdleConnections()
	w.wg.Wait()
	// Handlers of broken connections end after their work.
	time.Sleep(time.Minute)
}

// assign commits a change of the slot map; the nodes in late don't learn it yet.
func (w *world) assign(change func(spar.Segment) spar.Segment, late func(*vm) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.segment = change(w.segment)
	w.revision++
	w.spread([]spar.Row{
		{Key: fleet.SegmentKey("s", 0), Value: fleet.Encode(w.segment), Revision: w.revision},
	}, late)
}

func (w *world) spread(rows []spar.Row, late func(*vm) bool) {
	for _, v := range w.vms {
		if late == nil || !late(v) {
			v.replica.Merge(rows, 0)
		}
	}
}

// kill ends a node's process: its connections break, and its lease is not renewed.
func (w *world) kill(v *vm) {
	v.lease.stop()
	_ = v.http.Close()
	v.client.CloseIdleConnections()
	_ = v.back.Close()
}

// takeover gives a node's slots to the others once its lease has ended.
func (w *world) takeover(v *vm) {
	v.lease.stop()
	time.Sleep((leaseTime + 10).Duration())

	w.assign(func(g spar.Segment) spar.Segment {
		for slot := range spar.Slot(keyed.Slots) {
			if g.At(slot).Owner != v.id {
				continue
			}

			for _, o := range w.vms[fileNodes:] {
				if o != v && !o.lease.stopped() {
					g = g.With(slot, g.At(slot).Taken(o.id))
				}
			}
		}

		return g
	}, nil)
}

func (w *world) assignment(slot spar.Slot) spar.Assignment {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.segment.At(slot)
}

// move gives a slot to another node together with its records.
func (w *world) move(slot spar.Slot, to *vm, late func(*vm) bool) {
	before := w.assignment(slot)

	for _, from := range w.vms {
		if from.id != before.Owner || from == to || from.lease.stopped() || to.lease.stopped() {
			continue
		}

		open := from.gate.hold(slot)
		data := from.guard.Ledger().Export("s", slot)
		// An import may be refused only if the slot got another owner while the move waited.
		if err := to.guard.Ledger().Import("s", slot, before.Epoch+1, data); err != nil && w.assignment(slot) == before {
			panic(err)
		}

		w.assign(func(g spar.Segment) spar.Segment {
			if g.At(slot) == before && !from.lease.stopped() && !to.lease.stopped() {
				return g.With(slot, before.Moved(to.id))
			}

			return g
		}, func(v *vm) bool { return v != from && v != to && late != nil && late(v) })
		open()
	}
}
