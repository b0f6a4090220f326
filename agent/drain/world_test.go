package drain_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/agent"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/table"
)

const (
	testSlots = 48
	workTime  = 4 * time.Millisecond
	tableTime = 2 * time.Millisecond
	wireTime  = time.Millisecond
)

var services = []string{"cards", "pledges", "shelf"}

var errRefused error = syscall.ECONNREFUSED

// run is one run of a request on a backend server.
type run struct {
	path, vm, slot string
	epoch          int64
	start, end     time.Time
}

// held is a lease that is held until a test ends it.
type held struct{ until *spar.Millis }

func (h held) Until() spar.Millis      { return *h.until }
func (h held) Run(ctx context.Context) { <-ctx.Done() }

// node is a VM with its spard and backend server.
type spard struct {
	world       *world
	vm, service string
	zone        spar.Zone
	mode        spar.Mode
	incarnation int
	lease       spar.Millis
	stop        context.CancelFunc
	stopped     chan struct{}
	peer, http  *fault.PipeListener
	local       *fault.PipeListener

	mu      sync.Mutex
	back    *fault.PipeListener
	server  *http.Server
	state   string
	answers []int
	hung    chan struct{}
}

// world is a fleet with its table, network, callers and the log of what ran.
type world struct {
	t      *testing.T
	net    *fault.Pipes
	store  *store
	nodes  []*spard
	client *http.Transport
	pool   *peers.Pool
	ctx    context.Context //nolint:containedctx // lifetime of the test's tasks
	end    context.CancelFunc
	wg     sync.WaitGroup

	began    time.Time
	dense    atomic.Bool
	long     bool
	deadline string

	mu     sync.Mutex
	runs   []run
	worst  map[string]time.Duration
	failed []string
	// refused are the paths of requests answered as not run.
	refused []string
	late    []time.Duration
	done    int
}

// newWorld starts a fleet of two keyed services and one that any upstream may serve.
func newWorld(t *testing.T, sizes [3]int) *world {
	n := fault.NewPipes()
	w := &world{
		t: t, net: n, store: &store{Memory: table.NewMemory(), owners: map[string]spar.NodeID{}},
		client: n.Transport(), pool: peers.NewPool(n.Dial, &peers.Traffic{}), worst: map[string]time.Duration{},
	}
	w.ctx, w.end = context.WithCancel(t.Context())

	for s, name := range services {
		mode := spar.ModeKeyed
		if name == "shelf" {
			mode = spar.ModeAny
		}

		for i := range sizes[s] {
			w.start(name, mode, spar.Zone("abc"[i%3:i%3+1]), fmt.Sprintf("%s-%d", name, i))
		}
	}

	// The first node of a service owns all its slots until the others have got their shares in steps.
	time.Sleep(12 * time.Second)
	w.store.set(func() { w.store.moves = 0 })
	w.began = time.Now()

	return w
}

func (w *world) start(service string, mode spar.Mode, zone spar.Zone, vm string) {
	n := &spard{
		world: w, vm: vm, service: service, mode: mode, zone: zone, lease: 1e12,
		stopped: make(chan struct{}), state: agent.StateUp,
	}
	w.nodes = append(w.nodes, n)
	n.http, n.peer, n.local = w.net.Listen(vm+":1"), w.net.Listen(vm+":2"), w.net.Listen(vm+":3")

	clock := spar.RuntimeClock()
	a := agent.New(config.Settings{
		VM: vm, Zone: zone, Region: "r", HTTPAddr: vm + ":1", PeerAddr: vm + ":2", MaxQueue: 100, EventCount: 1000,
		Admission: config.AdmissionFixed, Picker: config.PickerRoundRobin, RetryBudget: 0.1,
	}, agent.Deps{
		Clock: clock, Wall: func() int64 { return time.Now().UnixMilli() }, Table: w.store, Dial: w.net.Dial,
		HTTP: wire{w.net.Transport()}, Log: log.New(io.Discard),
		Incarnation: n.incarnate,
		Lease:       func(*fleet.Member) agent.Holder { return held{&n.lease} },
	})

	ctx, stop := context.WithCancel(w.ctx)
	n.stop = stop

	w.wg.Go(func() {
		_ = a.Run(ctx, agent.Listeners{HTTP: n.http, Peer: n.peer, Local: n.local})
		close(n.stopped)
	})
	n.startBackend()
	w.wg.Go(n.loop)
}

func (n *spard) incarnate() string {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.incarnation++

	return strconv.Itoa(n.incarnation)
}

// registrations counts the node ids that the VM has had.
func (n *spard) registrations() int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.incarnation
}

// startBackend starts a backend server that announces itself from then on.
func (n *spard) startBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.back, n.server, n.state = n.world.net.Listen(n.backAddr()), &http.Server{Handler: n}, agent.StateUp
	server, ln := n.server, n.back

	n.world.wg.Go(func() { _ = server.Serve(ln) })
}

func (n *spard) crashBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.state = ""
	n.back.Cut()
	_ = n.server.Close()
}

// hang stops the backend server's work and announcements until the function returned is called.
func (n *spard) hang() func() {
	n.mu.Lock()
	defer n.mu.Unlock()

	hung := make(chan struct{})
	n.hung, n.state = hung, ""

	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()

		n.hung, n.state = nil, agent.StateUp

		close(hung)
	}
}

func (n *spard) announce(state string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.state = state
}

// gone reports whether the backend server was told that it gets no more work.
func (n *spard) gone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return slices.Contains(n.answers, http.StatusGone)
}

// loop announces the backend server.
func (n *spard) loop() {
	for n.world.ctx.Err() == nil {
		n.mu.Lock()
		state := n.state
		n.mu.Unlock()

		if state != "" {
			n.put(state)
		}

		time.Sleep(500 * time.Millisecond)
	}
}

func (n *spard) put(state string) {
	data, _ := json.Marshal(agent.Announcement{
		Service: n.service, Mode: n.mode, SlotsOfService: testSlots, Addr: n.backAddr(), Slots: 10, Conns: 130,
		State: state,
	})
	req, _ := http.NewRequestWithContext(n.world.ctx, http.MethodPut, "http://"+n.vm+":3/announce",
		strings.NewReader(string(data)))

	if resp, err := n.world.client.RoundTrip(req); err == nil {
		_ = resp.Body.Close()

		n.mu.Lock()
		n.answers = append(n.answers, resp.StatusCode)
		n.mu.Unlock()
	}
}

// backAddr returns the numeric address of the backend server, which announcements demand.
func (n *spard) backAddr() string {
	service, number, _ := strings.Cut(n.vm, "-")

	return fmt.Sprintf("10.0.%d.%s:4", slices.Index(services, service), number)
}

// ServeHTTP is the backend server.
func (n *spard) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	hung := n.hung
	n.mu.Unlock()

	// A server that was hung honors the deadlines of the requests that it finds afterwards.
	if hung != nil {
		arrived := time.Now()
		ms, _ := strconv.Atoi(r.Header.Get(spar.HeaderDeadline))
		<-hung

		if time.Since(arrived) >= time.Duration(ms)*time.Millisecond {
			return
		}
	}

	epoch, _ := strconv.ParseInt(r.Header.Get(spar.HeaderEpoch), 10, 64)
	done := run{path: r.URL.Path, vm: n.vm, slot: r.Header.Get(spar.HeaderSlot), epoch: epoch, start: time.Now()}

	work := workTime
	if strings.Contains(r.URL.Path, "/long") {
		work = 2 * time.Second
	}

	time.Sleep(work)

	done.end = time.Now()

	n.world.mu.Lock()
	n.world.runs = append(n.world.runs, done)
	n.world.mu.Unlock()

	rw.Header().Set(spar.HeaderRequest, r.Header.Get(spar.HeaderRequest))
	_, _ = io.WriteString(rw, r.URL.Path)
}
