package route_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/pick"
	"sardinespar.example/spar/route"
	"sardinespar.example/spar/table"
)

var (
	errRefused = errors.New("connection refused")
	keyed      = spar.Service{Name: "s", Mode: spar.ModeKeyed, Slots: 4}
	files      = spar.Service{Name: "f", Mode: spar.ModeAny, Slots: 1}
)

// network connects addresses by pipes.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	net   *network
	addr  string
	queue chan net.Conn
	conns []net.Conn
	once  sync.Once
	done  chan struct{}
}

func (n *network) listen(addr string) *listener {
	l := &listener{net: n, addr: addr, queue: make(chan net.Conn), done: make(chan struct{})}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.listeners[addr] = l

	return l
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()

	if l == nil {
		return nil, errRefused
	}

	near, far := net.Pipe()

	select {
	case l.queue <- far:
		n.mu.Lock()
		l.conns = append(l.conns, near, far)
		n.mu.Unlock()

		return near, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses connections from now on and breaks those that are open.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)

		l.net.mu.Lock()
		defer l.net.mu.Unlock()

		delete(l.net.listeners, l.addr)

		for _, conn := range l.conns {
			_ = conn.Close()
		}
	})

	return nil
}

func (l *listener) Addr() net.Addr { return &net.IPAddr{} }

func (n *network) transport() *http.Transport {
	return &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return n.dial(ctx, addr)
		},
	}
}

// crossing gives nodes the answer to another request where a request asks for it.
type crossing struct {
	http.RoundTripper
}

func (c crossing) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err == nil && r.Header.Get("X-Fault") == "cross hop" {
		_ = resp.Body.Close()
		resp.Header.Set(spar.HeaderRequest, "another")
		resp.Body = io.NopCloser(strings.NewReader("another"))
		resp.Header.Del("Content-Length")
	}

	return resp, err
}

// held is a lease that its test ends.
type held struct {
	mu    sync.Mutex
	ended spar.Millis // 0 while the lease is renewed
	clock spar.Clock
}

func (h *held) Until() spar.Millis {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.ended > 0 {
		return h.ended
	}

	return h.clock.Now() + leaseTime
}

// stop ends the renewals; the lease lasts for its time.
func (h *held) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.ended == 0 {
		h.ended = h.clock.Now() + leaseTime
	}
}

func (h *held) stopped() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.ended > 0
}

const leaseTime spar.Millis = 900

// store is a table that can be out.
type store struct {
	spar.Table
	out atomic.Bool
}

func (s *store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if s.out.Load() {
		return spar.Row{}, false, errRefused
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
	http    *listener
	peer    *listener
	back    *listener
	backend *backend
	client  *http.Transport
	limiter *admit.Fixed
}

// world is a few nodes over a network of pipes, and the table.
type world struct {
	net    *network
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
		net: &network{listeners: map[string]*listener{}}, clock: spar.RuntimeClock(), table: &store{Table: table.NewMemory()},
		segment: spar.NewSegment(keyed, 0), stop: stop, revision: 100,
		ring: event.NewRing(64, func() int64 { return time.Now().UnixMilli() }),
	}
	w.caller, w.pool = w.net.transport(), peers.NewPool(w.net.dial, &peers.Traffic{})
	w.runs.requests, w.runs.tokens = map[string]int{}, map[string]int{}

	for i := range count {
		w.vms = append(w.vms, w.start(ctx, i, resume))
	}

	rows := []spar.Row{
		{Key: fleet.ServiceKey("s"), Value: fleet.Encode(keyed), Revision: 1},
		{Key: fleet.ServiceKey("f"), Value: fleet.Encode(files), Revision: 1},
	}

	for i, v := range w.vms {
		// Nodes of the keyed service are named s, those of the other f; each backend serves both.
		for _, service := range []string{"s", "f"} {
			n := spar.Node{
				ID: v.id, Service: service, HTTPAddr: v.http.addr, PeerAddr: string(v.id), State: spar.NodeLive,
			}
			if service == "f" && i >= fileNodes || service == "s" && i < fileNodes {
				continue
			}

			rows = append(rows, spar.Row{Key: fleet.NodeKey(v.id), Value: fleet.Encode(n), Revision: 1})
		}
	}

	for slot := range keyed.Slots {
		owner := w.vms[fileNodes+slot%(count-fileNodes)].id
		w.segment = w.segment.With(spar.Slot(slot), spar.Assignment{}.Taken(owner))
	}

	w.spread(rows, nil)
	w.assign(func(g spar.Segment) spar.Segment { return g }, nil)

	return w
}

// fileNodes is the number of nodes that serve files; the others own keys.
const fileNodes = 3

func (w *world) start(ctx context.Context, i int, resume bool) *vm {
	id := spar.NodeID(fmt.Sprintf("vm%d.1", i))
	self := func() spar.NodeID { return id }
	v := &vm{
		id: id, replica: fleet.NewReplica(), lease: &held{clock: w.clock}, client: w.net.transport(),
		http: w.net.listen(fmt.Sprintf("10.0.0.%d:80", i)), peer: w.net.listen(string(id)),
		backend: &backend{runs: &w.runs, node: i},
	}
	v.limiter = admit.NewFixed(w.clock, 100)
	v.limiter.Reset(spar.Capacity{Slots: 8, Conns: 8})

	wall := func() int64 { return time.Now().UnixMilli() }
	v.crashes = crash.New(self, v.replica, w.table, w.pool, w.clock, wall, w.ring)
	v.guard = guard.New(self, v.replica, v.lease, v.limiter, v.client, w.clock).WithQuarantine(v.crashes)
	v.gate = &gate{guard: v.guard, busy: map[spar.Slot]int{}, shut: map[spar.Slot]chan struct{}{}}
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
	v.back = w.net.listen(fmt.Sprintf("10.0.1.%d:80", i))
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

// move gives a slot to another node together with its records.
func (w *world) move(slot spar.Slot, to *vm, late func(*vm) bool) {
	w.mu.Lock()
	before := w.segment.At(slot)
	w.mu.Unlock()

	for _, from := range w.vms {
		if from.id != before.Owner || from == to || from.lease.stopped() || to.lease.stopped() {
			continue
		}

		open, ok := from.gate.hold(slot)
		if !ok {
			return
		}

		data := from.guard.Ledger().Export("s", slot)
		if err := to.guard.Ledger().Import("s", slot, before.Epoch+1, data); err != nil {
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

// gate stands for the one that holds a slot during a planned move.
type gate struct {
	guard *guard.Guard
	mu    sync.Mutex
	busy  map[spar.Slot]int
	shut  map[spar.Slot]chan struct{}
}

func (g *gate) Serve(ctx context.Context, c spar.Call) spar.Answer {
	g.mu.Lock()
	for g.shut[c.Slot] != nil {
		opened := g.shut[c.Slot]
		g.mu.Unlock()
		<-opened
		g.mu.Lock()
	}
	g.busy[c.Slot]++
	g.mu.Unlock()

	a := g.guard.Serve(ctx, c)
	leave := sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.busy[c.Slot]--
	})

	if a.Response == nil {
		leave()
	} else {
		a.Response.Body = closing{a.Response.Body, leave}
	}

	return a
}

type closing struct {
	io.ReadCloser
	f func()
}

func (c closing) Close() error {
	defer c.f()

	return c.ReadCloser.Close()
}

// hold stops calls of a slot and waits until none is in flight.
func (g *gate) hold(slot spar.Slot) (func(), bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.shut[slot] != nil {
		return nil, false
	}

	opened := make(chan struct{})
	g.shut[slot] = opened

	for g.busy[slot] > 0 {
		g.mu.Unlock()
		time.Sleep(time.Millisecond)
		g.mu.Lock()
	}

	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		close(opened)
		delete(g.shut, slot)
	}, true
}

// runs counts what the backend servers ran.
type runs struct {
	mu       sync.Mutex
	requests map[string]int
	tokens   map[string]int
	// last is the node that ran the latest request, crashes and canceled count runs that ended so.
	last     int
	crashes  int
	canceled int
}

func (r *runs) latest() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.last
}

// backend is a backend server that answers with content which belongs to the request. The header
// X-Fault says what goes wrong.
type backend struct {
	runs  *runs
	node  int
	crash func()
}

// sleep takes time unless the run is canceled.
func (r *runs) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.canceled++
	}
}

const workTime = 100 * time.Millisecond

func content(method, uri string, body []byte, size int) []byte {
	line := fmt.Appendf(nil, "%s %s %s;", method, uri, body)

	return bytes.Repeat(line, size/len(line)+1)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fault := r.Header.Get("X-Fault")

	if r.URL.Path == "/health" {
		return
	}

	w.Header().Set(spar.HeaderRequest, r.Header.Get(spar.HeaderRequest))

	if fault == "shed" || fault == "lose, shed" && !strings.HasSuffix(r.Header.Get(spar.HeaderRequest), ".1") {
		w.Header().Set(spar.HeaderOutcome, string(spar.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	id, _, _ := strings.Cut(r.Header.Get(spar.HeaderRequest), ".")

	b.runs.mu.Lock()
	b.runs.requests[id]++
	b.runs.tokens[r.Header.Get(spar.HeaderToken)]++
	b.runs.last = b.node

	if fault == "crash" {
		b.runs.crashes++
	}
	b.runs.mu.Unlock()

	if fault == "crash" {
		b.crash()
		panic(http.ErrAbortHandler)
	}

	time.Sleep(workTime)

	size := 100

	switch fault {
	case "cross":
		w.Header().Set(spar.HeaderRequest, "another")

		body = []byte("another")
	case "lose", "lose, shed":
		panic(http.ErrAbortHandler)
	case "late":
		b.runs.sleep(r.Context(), 5*time.Second)
	case "large", "large cut":
		size = 100 << 10
	}

	if strings.HasPrefix(r.URL.Path, "/f/file/") {
		b.serveFile(w, r, fault)

		return
	}

	data := content(r.Method, r.URL.RequestURI(), body, size)
	if fault != "large cut" {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}

	cut := strings.HasSuffix(fault, "cut")
	if cut {
		data = data[:len(data)/2]
	}

	_, _ = w.Write(data)

	if cut {
		panic(http.ErrAbortHandler)
	}
}
