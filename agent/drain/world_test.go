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
	testSlots    = 48
	workTime     = 4 * time.Millisecond
	tableDelay   = 2 * time.Millisecond
	networkDelay = time.Millisecond
)

var services = []string{"cards", "pledges", "shelf"}

var errRefused error = syscall.ECONNREFUSED

// run is one run of a request on a backend server.
type run struct {
	path, vm, slot string
	epoch          int64
	start, end     time.Time
}

// fixedLease is a lease that expires at a given time and is not renewed.
type fixedLease struct{ until *spar.Millis }

func (l fixedLease) Until() spar.Millis      { return *l.until }
func (l fixedLease) Run(ctx context.Context) { <-ctx.Done() }

// spard is a VM with its spard process and backend server.
type spard struct {
	world       *world
	vm, service string
	zone        spar.Zone
	mode        spar.Mode
	instances   int
	lease       spar.Millis
	stop        context.CancelFunc
	stopped     chan struct{}
	peer, http  *fault.PipeListener
	local       *fault.PipeListener

	mu      sync.Mutex
	backend *fault.PipeListener
	server  *http.Server
	// state is the state that the backend server announces, or empty while it sends no announcements.
	state            string
	announceStatuses []int
	// resumed is closed when a hanging backend server resumes; nil while it does not hang.
	resumed chan struct{}
}

// world is a fleet with its table, network and callers, and a record of all runs of requests.
type world struct {
	t      *testing.T
	net    *fault.PipeNet
	store  *store
	nodes  []*spard
	client *http.Transport
	pool   *peers.Pool
	ctx    context.Context //nolint:containedctx // lifetime of the test's tasks
	end    context.CancelFunc
	wg     sync.WaitGroup

	started time.Time
	// denseTraffic makes the callers send requests at denseMeanInterval.
	denseTraffic atomic.Bool
	// longRequests makes one caller send requests whose runs take 2 s.
	longRequests bool
	// deadline is the value of the deadline header of all requests. If it is empty, they have none.
	deadline string

	mu           sync.Mutex
	runs         []run
	longestWaits map[string]time.Duration
	failed       []string
	// notRunPaths are the paths of the requests that were refused as not run.
	notRunPaths  []string
	failureTimes []time.Duration
	requestCount int
}

// newWorld starts a fleet of two keyed services and one of mode any with the given numbers of nodes.
func newWorld(t *testing.T, sizes [3]int) *world {
	n := fault.NewPipeNet()
	w := &world{
		t: t, net: n, store: &store{Memory: table.NewMemory(), owners: map[string]spar.NodeID{}},
		client: n.Transport(), pool: peers.NewPool(n.Dial, &peers.Traffic{}), longestWaits: map[string]time.Duration{},
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

	// The first node of a service owns all slots at first. The others get their shares in steps.
	time.Sleep(12 * time.Second)
	w.store.set(func() { w.store.moves = 0 })
	w.started = time.Now()

	return w
}

// start starts a VM with a spard process and a backend server.
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
		Clock: clock, UnixMillis: func() int64 { return time.Now().UnixMilli() }, Table: w.store, Dial: w.net.Dial,
		HTTP: delayedTransport{w.net.Transport()}, Log: log.New(io.Discard),
		NewInstanceID: n.newInstanceID,
		NewHolder:     func(*fleet.Member) agent.Holder { return fixedLease{&n.lease} },
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

func (n *spard) newInstanceID() string {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.instances++

	return strconv.Itoa(n.instances)
}

// registrations returns the number of node ids that the VM has had.
func (n *spard) registrations() int {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.instances
}

// startBackend starts a backend server and its announcements.
func (n *spard) startBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.backend, n.server, n.state = n.world.net.Listen(n.backendAddr()), &http.Server{Handler: n}, agent.StateUp
	server, ln := n.server, n.backend

	n.world.wg.Go(func() { _ = server.Serve(ln) })
}

// crashBackend stops the backend server at once and ends its announcements.
func (n *spard) crashBackend() {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.state = ""
	n.backend.Abort()
	_ = n.server.Close()
}

// hang makes the backend server hang, without announcements, until the returned function is called.
func (n *spard) hang() func() {
	n.mu.Lock()
	defer n.mu.Unlock()

	resumed := make(chan struct{})
	n.resumed, n.state = resumed, ""

	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()

		n.resumed, n.state = nil, agent.StateUp

		close(resumed)
	}
}

// announce sets the state of later announcements, which are not sent if it is empty.
func (n *spard) announce(state string) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.state = state
}

// isDrained reports whether an announcement was answered with the status Gone: the backend server gets no more
// requests.
func (n *spard) isDrained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return slices.Contains(n.announceStatuses, http.StatusGone)
}

// loop announces the backend server each 500 ms.
func (n *spard) loop() {
	for n.world.ctx.Err() == nil {
		n.mu.Lock()
		state := n.state
		n.mu.Unlock()

		if state != "" {
			n.sendAnnouncement(state)
		}

		time.Sleep(500 * time.Millisecond)
	}
}

func (n *spard) sendAnnouncement(state string) {
	data, _ := json.Marshal(agent.Announcement{
		Service: n.service, Mode: n.mode, SlotsOfService: testSlots, Addr: n.backendAddr(), Slots: 10, Conns: 130,
		State: state,
	})
	req, _ := http.NewRequestWithContext(n.world.ctx, http.MethodPut, "http://"+n.vm+":3/announce",
		strings.NewReader(string(data)))

	if resp, err := n.world.client.RoundTrip(req); err == nil {
		_ = resp.Body.Close()

		n.mu.Lock()
		n.announceStatuses = append(n.announceStatuses, resp.StatusCode)
		n.mu.Unlock()
	}
}

// backendAddr returns the address of the backend server, numeric as announcements require.
func (n *spard) backendAddr() string {
	service, number, _ := strings.Cut(n.vm, "-")

	return fmt.Sprintf("10.0.%d.%s:4", slices.Index(services, service), number)
}

// ServeHTTP serves requests as the backend server.
func (n *spard) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()

	// A server that resumes after hanging runs no requests whose deadlines have passed.
	if resumed != nil {
		received := time.Now()
		ms, _ := strconv.Atoi(r.Header.Get(spar.HeaderDeadline))
		<-resumed

		if time.Since(received) >= time.Duration(ms)*time.Millisecond {
			return
		}
	}

	epoch, _ := strconv.ParseInt(r.Header.Get(spar.HeaderEpoch), 10, 64)
	record := run{path: r.URL.Path, vm: n.vm, slot: r.Header.Get(spar.HeaderSlot), epoch: epoch, start: time.Now()}

	work := workTime
	if strings.Contains(r.URL.Path, "/long") {
		work = 2 * time.Second
	}

	time.Sleep(work)

	record.end = time.Now()

	n.world.mu.Lock()
	n.world.runs = append(n.world.runs, record)
	n.world.mu.Unlock()

	rw.Header().Set(spar.HeaderRequest, r.Header.Get(spar.HeaderRequest))
	_, _ = io.WriteString(rw, r.URL.Path)
}
