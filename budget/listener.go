package budget

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/tally"
)

// minPause is the shortest time between two searches for stalled connections.
const minPause spar.Millis = 100

// Settings are the limits of a Listener.
type Settings struct {
	// Connections is the number of connections that may be open; further ones are closed at once. 0 means no bound.
	Connections int
	// StallTime is how long a connection must have made no progress before it may be closed for lack of memory or
	// connections.
	StallTime spar.Millis
	// SlowTime is how long a connection may make progress without a complete request before it may be closed too, if no
	// stalled one is left.
	SlowTime spar.Millis
}

// Deps are the dependencies of a Listener.
type Deps struct {
	Clock  spar.Clock
	Budget *Budget
	Log    *log.Logger
	Tally  *tally.Tally
}

// Listener accepts a bounded number of connections. Run closes stalled ones when memory or connections are short.
type Listener struct {
	net.Listener

	cfg  Settings
	deps Deps
	// open is the number of open connections.
	open atomic.Int64
}

// NewListener returns a Listener that accepts the connections of ln.
func NewListener(ln net.Listener, cfg Settings, deps Deps) *Listener {
	if cfg.Connections == 0 {
		cfg.Connections = math.MaxInt32
	}

	return &Listener{Listener: ln, cfg: cfg, deps: deps}
}

// Accept waits for the next connection for which there is room. It closes all others.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			_ = nc.Close()

			return nil, errors.New("budget: listener is not a TCP listener")
		}

		if l.admits() {
			return l.register(tcp), nil
		}

		l.deps.Tally.Count("spar_memory_refused_connections_total")

		// Without a reset the closed connection would still take memory of the kernel.
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
	}
}

// admits reports whether there is room for another connection, and counts it if there is.
func (l *Listener) admits() bool {
	if !l.deps.Budget.admits() {
		return false
	}

	open := l.open.Add(1)
	if float64(open) > highWater*float64(l.cfg.Connections) {
		l.deps.Budget.signal()
	}

	if open > int64(l.cfg.Connections) {
		l.open.Add(-1)

		return false
	}

	return true
}

// register adds a connection to those of the budget.
func (l *Listener) register(tcp *net.TCPConn) *Conn {
	b := l.deps.Budget
	addr := tcp.RemoteAddr().String()

	b.mu.Lock()
	defer b.mu.Unlock()

	name := host(addr)
	c := &Conn{TCPConn: tcp, listener: l, addr: addr, name: name, client: b.useLocked(name)}
	b.conns[addr] = c

	return c
}

// Conn is a connection of a client.
type Conn struct {
	*net.TCPConn

	listener   *Listener
	addr, name string
	client     *client
	// running is the number of requests that wait for this process and not for the client.
	running atomic.Int32
	// requests counts the requests that were complete.
	requests atomic.Int64
	closed   atomic.Bool
	// slow belongs to the goroutine of Run.
	slow progress
	// held is what the connection's accounts hold, and evicted is true once it was closed for lack of memory. Both are
	// guarded by the budget's mu.
	held    int64
	evicted bool
}

// Close closes the connection.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)

		b := c.listener.deps.Budget

		b.mu.Lock()
		if b.conns[c.addr] == c {
			delete(b.conns, c.addr)
		}

		b.unuseLocked(c.name, c.client)
		b.mu.Unlock()
	}

	return c.TCPConn.Close()
}

// Running marks the connection of a request as one that waits for this process, and not for the client, until the
// returned function is called. ctx is the context of the request.
func Running(ctx context.Context) (done func()) {
	c, ok := conns.Conn(ctx).(*Conn)
	if !ok {
		return func() {}
	}

	c.running.Add(1)
	c.requests.Add(1)

	return func() { c.running.Add(-1) }
}

// state is what a connection waits for.
type state int

const (
	// stateBusy means that the connection waits for this process, or that its client has just read or sent bytes.
	stateBusy state = iota
	// stateReceiving means the same, but no complete request is there.
	stateReceiving
	// stateStalled means that the client has not read or sent bytes for StallTime.
	stateStalled
)

// state asks the kernel when the client last made progress, so that reads and writes need not record it.
func (c *Conn) state() state {
	running := c.running.Load() > 0
	result := stateBusy

	raw, err := c.SyscallConn()
	if err != nil {
		return result
	}

	err = raw.Control(func(fd uintptr) { result = socketState(int(fd), running, c.listener.cfg.StallTime) })
	if err != nil {
		return stateBusy
	}

	return result
}

// socketState returns the state of a connection. While a request runs, only a response that the client does not read
// is a stall.
func socketState(fd int, running bool, stallTime spar.Millis) state {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return stateBusy
	}

	quiet := spar.Millis(info.Last_data_sent) >= stallTime

	if running {
		if quiet && info.Notsent_bytes > 0 {
			return stateStalled
		}

		return stateBusy
	}

	// Bytes that have arrived and are not read yet wait for this process.
	if unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ); err != nil || unread > 0 {
		return stateBusy
	}

	if quiet && spar.Millis(info.Last_data_recv) >= stallTime {
		return stateStalled
	}

	return stateReceiving
}

// progress is since when a connection has been found receiving without a complete request, when it was found last, and
// the number of its requests then.
type progress struct {
	since, last spar.Millis
	requests    int64
	found       bool
}

// isSlow records the state of a connection and reports whether it has been receiving for slowTime without completing
// a request. Searches are rare while nothing is short: what the connection did between two of them more than slowTime
// apart is not known, so that the time begins anew.
func (p *progress) isSlow(s state, requests int64, now, slowTime spar.Millis) bool {
	if s != stateReceiving {
		*p = progress{}

		return false
	}

	if !p.found || p.requests != requests || now-p.last > slowTime {
		p.since = now
	}

	p.last, p.requests, p.found = now, requests, true

	return now-p.since >= slowTime
}

// Run closes stalled connections when memory or connections are short, until ctx ends.
func (l *Listener) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.deps.Budget.short:
		}

		if n, freed := l.relieve(); n > 0 {
			l.deps.Tally.Count("spar_memory_relieved_total")
			l.deps.Log.Warn("closed stalled or slow connections: memory or connections are short", "connections", n,
				"freed_bytes", freed, "held_bytes", l.deps.Budget.Held(), "open", l.open.Load())
		}

		if !l.deps.Clock.Sleep(ctx, minPause) {
			return
		}
	}
}

// candidate is a connection that may be closed.
type candidate struct {
	conn *Conn
	held int64
	// uses is the number of connections and accounts of the client address.
	uses int
}

// shortage is what is short: the bytes and connections to free, and the bytes to free of each client address.
type shortage struct {
	memory      int64
	connections int
	clients     map[string]int64
}

// none reports whether nothing is short.
func (s *shortage) none() bool {
	return s.memory <= 0 && s.connections <= 0 && len(s.clients) == 0
}

// includes reports whether the end of a connection would free what is short.
func (s *shortage) includes(c candidate) bool {
	return s.connections > 0 || c.held > 0 && (s.memory > 0 || s.clients[c.conn.name] > 0)
}

// subtract records the end of a connection.
func (s *shortage) subtract(c candidate) {
	s.memory -= c.held
	s.connections--
	s.clients[c.conn.name] -= c.held
}

// relieve closes stalled connections, and then slow ones, until neither memory nor connections are short, or none is
// left. It returns their number and the bytes that they held.
func (l *Listener) relieve() (n int, freed int64) {
	short, candidates := l.survey()
	now := l.deps.Clock.Now()

	var slow []candidate

	closeIf := func(c candidate) {
		if !short.includes(c) {
			return
		}

		l.evict(c.conn)
		short.subtract(c)
		n++
		freed += c.held
	}

	for _, c := range candidates {
		if !short.includes(c) {
			continue
		}

		s := c.conn.state()

		if c.conn.slow.isSlow(s, c.conn.requests.Load(), now, l.cfg.SlowTime) {
			slow = append(slow, c)
		} else if s == stateStalled {
			closeIf(c)
		}
	}

	for _, c := range slow {
		closeIf(c)
	}

	return n, freed
}

// evict closes a connection. What it holds is free once its requests have ended.
func (l *Listener) evict(c *Conn) {
	b := l.deps.Budget

	b.mu.Lock()
	c.evicted = true
	c.client.closing += c.held
	b.closing += c.held
	b.mu.Unlock()

	_ = c.SetLinger(0)
	_ = c.Close()
}

// survey returns what is short, and the connections in the order in which they are closed.
func (l *Listener) survey() (*shortage, []candidate) {
	short := &shortage{clients: map[string]int64{}}

	if open := float64(l.open.Load()); open > highWater*float64(l.cfg.Connections) {
		short.connections = int(open - lowWater*float64(l.cfg.Connections))
	}

	b := l.deps.Budget

	b.mu.Lock()
	defer b.mu.Unlock()

	short.memory = excess(b.held-b.closing, b.total, &b.wanted)

	for name, c := range b.clients {
		if n := excess(c.held-c.closing, b.share, &c.wanted); n > 0 {
			short.clients[name] = n
		}
	}

	if short.none() {
		return short, nil
	}

	candidates := make([]candidate, 0, len(b.conns))

	for _, c := range b.conns {
		if c.listener == l {
			candidates = append(candidates, candidate{conn: c, held: c.held, uses: c.client.uses})
		}
	}

	// If only connections are short, those of the client address with the most connections are closed first.
	memory := short.memory > 0 || len(short.clients) > 0

	slices.SortFunc(candidates, func(a, b candidate) int {
		if n := cmp.Compare(b.uses, a.uses); n != 0 && !memory {
			return n
		}

		return cmp.Compare(b.held, a.held)
	})

	return short, candidates
}

// excess returns how many bytes of held must be freed so that there is room for the bytes that were wanted, and
// resets these. It is 0 or less if none were wanted.
func excess(held, bound int64, wanted *int64) int64 {
	n := *wanted
	*wanted = 0

	if n == 0 {
		return 0
	}

	return max(held-int64(lowWater*float64(bound)), held+n-bound)
}
