// Package relay assembles the node that runs on the same VM as a backend server. The node routes the requests of
// callers on its VM, forwards requests of other nodes to the backend server, and grants the backend server its keys
// in the replies to heartbeats or by calls.
package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/budget"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/explain"
	"sardinespar.example/spar/follow"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/httpd"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/quota"
	"sardinespar.example/spar/retry"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

const (
	// maxIdle bounds the idle connections to one address. poolIdleTimeout is how long they are kept unless the server
	// sends a timeout.
	maxIdle                     = 32
	poolIdleTimeout spar.Millis = 8000
	// headerTimeout is how long a node or backend server may take to send a request's header.
	headerTimeout spar.Millis = 10_000
	// idleTimeout is how long an idle connection from a caller or a node is kept.
	idleTimeout    spar.Millis = 60_000
	maxHeaderBytes             = 32 << 10
	// stallTime is how long a client's connection must have made no progress before it may be closed for lack of
	// memory or connections.
	stallTime spar.Millis = 1000
	// slowTime is how long a client may take to send a request if memory or connections are short and no stalled
	// connection is left to close. Clients give up unread requests after a second, and large bodies take longer.
	slowTime spar.Millis = 5000
)

// Adapter translates to the formats and protocols of the deployment's platform.
type Adapter interface {
	// Names returns the names of the headers that callers and backend servers use.
	Names() spar.HeaderNames
	// OperatorTable returns the name of the table that operators write.
	OperatorTable() string
	// Rules decodes the routing rules from a row of operators; nil if the row contains none.
	Rules(r spar.Row) (*rules.Set, error)
	// ZoneWithdrawal decodes from a row of operators whether an availability zone is withdrawn; ok is false for rows of
	// other kinds.
	ZoneWithdrawal(r spar.Row) (zone string, withdrawn, ok bool)
	// Control returns the handler of the backend server's calls to the node.
	Control(o *owner.Owner, l *log.Logger) http.Handler
	// Commands returns the client that sends commands to a backend server that accepts grants as calls.
	Commands(addr string, pool *conns.Pool) owner.CommandSender
	// Ready returns the handler of the platform's readiness check.
	Ready(ready func() bool) http.Handler
}

// Table is the platform's store.
type Table interface {
	spar.Table
	spar.Feed
	// Eras returns the eras of the store that the client has seen.
	Eras() *spar.Eras
}

// Deps are the dependencies of a Relay.
type Deps struct {
	Clock spar.Clock
	// UnixMillis returns the time of day in Unix milliseconds.
	UnixMillis func() int64
	Table      Table
	Adapter    Adapter
	Dial       func(ctx context.Context, addr string) (net.Conn, error)
	// Link is the VM's network link, which counts the bytes that the connections of Dial and Packets send.
	Link *pace.Link
	Log  *log.Logger
	// Tally is served on the metrics address.
	Tally *tally.Tally
	// Incarnation identifies the process; each run has a new one.
	Incarnation string
	// Packets carries states between nodes, on the same port as their control messages; it may be nil.
	Packets net.PacketConn
}

// Listeners are the node's open listeners. Metrics may be nil.
type Listeners struct {
	Outbound, Inbound, Ready, Control, Peer, Metrics net.Listener
}

// Relay is one node of the fleet.
type Relay struct {
	cfg  config.RelaySettings
	deps Deps

	operator *operator
	gate     *gate.Gate
	mesh     *mesh.Mesh
	owner    *owner.Owner
	maps     *owner.Maps
	entry    *entry.Entry
	inbound  *entry.Inbound
	memory   *budget.Budget
	mux      *peers.Mux
	traffic  *peers.Traffic

	// started is the start time in Unix milliseconds, and seq the number of the last state.
	started int64
	seq     atomic.Int64
	leaving atomic.Bool
	// closed is true once new requests are refused, since they might not finish before the process ends.
	closed atomic.Bool
	// end is when the process ends on the local clock, once it is leaving; nil before.
	end atomic.Pointer[spar.Millis]
	// active is the number of requests in flight.
	active atomic.Int64
	// fleet follows the table of nodes.
	fleet *follow.Follower
	// pullingMap is set while a map is pulled from a peer, and pullingOperator while operators' changes are.
	pullingMap      atomic.Bool
	pullingOperator atomic.Bool
	announced       announcements
	crashes         *crashLog
	quota           *quota.Quota
	roster          *quota.Roster
	peerPool        *peers.Pool
	// work is the context of background tasks. It ends when Run returns, after the requests in flight are drained.
	work context.Context //nolint:containedctx // Tasks that answer a peer's state have no other context.
}

// New returns a Relay; Run starts it.
func New(cfg config.RelaySettings, deps Deps) *Relay {
	r := &Relay{
		cfg: cfg, deps: deps, maps: owner.NewMaps(), mux: peers.NewMux(), traffic: &peers.Traffic{},
		started: deps.UnixMillis(), memory: budget.New(cfg.MemoryBudget(), cfg.ClientShare),
	}
	deps.Tally.Gauge("spar_memory_held_bytes", r.memory.Held)
	deps.Tally.Gauge("spar_memory_refused_total", r.memory.Refused)

	r.operator = newOperator(deps, r.membership)
	r.fleet = r.newFleet()

	names := deps.Adapter.Names()
	pool := conns.New(deps.Dial, deps.Clock, conns.Options{MaxIdle: maxIdle, IdleTimeout: poolIdleTimeout})
	r.peerPool = peers.NewPool(deps.Dial, r.traffic)
	r.crashes = newCrashLog(r)
	r.quota, r.roster = r.newQuota(), quota.NewRoster(deps.Clock.Now())

	r.gate = gate.New(gate.Settings{
		Addr: cfg.AppAddr, Names: names, ColdShare: cfg.ColdShare, MaxBufferedBytes: int64(cfg.MaxBufferedBytes),
	}, gate.Deps{
		Clock: deps.Clock, Pool: pool, Link: deps.Link, Log: deps.Log, Tally: deps.Tally, Rules: r.operator.Rules,
		Closed:  func() bool { return r.closed.Load() || r.operator.ZoneWithdrawn(cfg.Zone) },
		Crashes: r.crashes,
	})
	r.mesh = mesh.New(cfg.Node, mesh.Deps{
		Clock: deps.Clock, Caller: r.peerPool, Log: deps.Log, Self: r.state, OnState: r.onPeerState, Packets: deps.Packets,
	})
	r.owner = owner.New(owner.Settings{
		Node: cfg.Node, InstanceID: deps.Incarnation, Zone: cfg.Zone, Service: cfg.Service, PeerAddr: cfg.PeerAddr,
		AppAddr: cfg.AppAddr, LeaseDuration: cfg.LeaseDuration, RenewInterval: cfg.RenewInterval,
		GrantTTL:     min(cfg.GrantTTL, cfg.MaxGrantTTL),
		MaxGrantTTL:  cfg.MaxGrantTTL,
		StoreTimeout: cfg.StoreTimeout, MaxCommandDelay: cfg.MaxCommandDelay, FirstStart: cfg.FirstStart,
	}, owner.Deps{
		Clock: deps.Clock, UnixMillis: deps.UnixMillis, Table: deps.Table, Maps: r.maps, Gate: r.gate, Mesh: r.mesh,
		Peers: r.peerPool, Log: deps.Log, Eras: deps.Table.Eras(),
		Commands: r.commands(pool),
		Keyed:    r.operator.Keyed, ZoneWithdrawn: r.operator.ZoneWithdrawn,
		StoreRecovered: r.onStoreRecovered, Registered: r.onRegistered,
	})
	r.entry = entry.New(entry.Settings{
		Node: cfg.Node, Zone: cfg.Zone, Service: cfg.Service, Names: names, MaxBodyBytes: int64(cfg.MaxBodyBytes),
		MaxBufferedBytes: int64(cfg.MaxBufferedBytes), MaxRulesAge: cfg.MaxRulesAge,
		SpreadByReports: cfg.SpreadMode == config.SpreadReports,
		Retries:         retry.Settings{Ratio: cfg.RetryRatio, Slack: cfg.RetrySlack, Window: cfg.RetryWindow},
	}, entry.Deps{
		Clock: deps.Clock, Rules: r.operator.Rules, Mesh: r.mesh, Maps: r.maps, Gate: r.gate, Pool: pool,
		Link: deps.Link, Log: deps.Log, Tally: deps.Tally,
		ZoneWithdrawn: r.operator.ZoneWithdrawn, Closing: r.leaving.Load, Closed: r.closed.Load, EndsAt: r.endsAt,
		RulesLag:    r.rulesLag,
		Nodes:       r.knownNodes,
		Quarantined: r.crashes.Quarantined, Memory: r.memory, Quota: r.quota,
		QuotaState: r.quota.State,
	})
	r.inbound = entry.NewInbound(int64(cfg.MaxBodyBytes), entry.InboundDeps{
		Clock: deps.Clock, Gate: r.gate, Link: deps.Link, Log: deps.Log, Memory: r.memory, EndsAt: r.endsAt,
	})
	r.mesh.Register(r.mux)
	r.owner.Register(r.mux)
	r.registerOperator()
	r.crashes.register(r.mux)
	r.quota.Register(r.mux)
	peers.Handle(r.mux, explain.Method, func(_ context.Context, p explain.Params) (explain.Result, error) {
		return r.entry.Explain(p)
	})
	// The owner watches the eras first, so that its grants are restricted before anything else is read.
	deps.Table.Eras().Watch(r.onEra)

	return r
}

// commands returns the client for commands to the backend server; nil if it accepts grants in the responses to its
// heartbeats.
func (r *Relay) commands(pool *conns.Pool) owner.CommandSender {
	if r.cfg.GrantMode != config.GrantsByCall {
		return nil
	}

	return r.deps.Adapter.Commands(r.cfg.AppAddr, pool)
}

// state returns the state that the node sends to its peers.
func (r *Relay) state() mesh.State {
	u := r.gate.Upstream()
	cold := u.ColdUntil - r.deps.Clock.Now()
	withdrawn := r.operator.zones.Snapshot()

	return mesh.State{
		Node: r.cfg.Node, Incarnation: r.deps.Incarnation, StartedMs: r.started, Seq: r.seq.Add(1),
		Zone: r.cfg.Zone, Service: r.cfg.Service, PeerAddr: r.cfg.PeerAddr, InboundAddr: r.cfg.InboundAddr,
		Leaving: r.leaving.Load(), ServerIncarnation: u.Incarnation, Ready: u.Ready && !u.Down, ColdMS: max(0, cold),
		Departed: r.owner.Departed(),
		Load:     r.gate.Load(), Utilization: r.owner.Utilization(), RulesVersion: r.operator.version(),
		ZonesRevision: withdrawn.Revision, ZonesDigest: withdrawn.Digest(),
		Era:         r.deps.Table.Eras().Newest(),
		MapRevision: r.maps.Revision(r.cfg.Service), CrashDigest: r.crashes.detector.Digest(),
	}
}

// ready reports whether the node accepts callers.
func (r *Relay) ready() bool {
	return !r.leaving.Load() && r.operator.Rules() != nil
}

// Run serves until ctx ends, and then drains the requests in flight.
func (r *Relay) Run(ctx context.Context, ln Listeners) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.work = work

	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()

	clients := r.clientListener(ln.Outbound)

	for _, run := range []func(context.Context){
		r.mesh.Run, r.owner.Run, r.quota.Run,
		r.operator.feed.Run, r.fleet.Run, r.crashes.backup.Run,
		func(ctx context.Context) { r.servePeers(ctx, ln.Peer) },
		clients.Run,
	} {
		wg.Go(func() { run(work) })
	}

	servers := []server{
		r.outbound(r.countActive(r.entry)), r.server(r.countActive(r.inbound)),
		r.server(r.deps.Adapter.Ready(r.ready)), r.server(r.deps.Adapter.Control(r.owner, r.deps.Log)),
	}
	failed := make(chan error, len(servers))

	for i, l := range []net.Listener{clients, ln.Inbound, ln.Ready, ln.Control} {
		wg.Go(func() { failed <- servers[i].Serve(l) })
	}

	if ln.Metrics != nil {
		metrics := r.server(r.deps.Tally)
		servers = append(servers, metrics)

		wg.Go(func() { _ = metrics.Serve(ln.Metrics) })
	}

	r.deps.Log.Info("started", "node", r.cfg.Node, "service", r.cfg.Service, "zone", r.cfg.Zone,
		"incarnation", r.deps.Incarnation, "first_start", r.cfg.FirstStart,
		"budget_bytes", r.cfg.MemoryBudget(), "connections", r.cfg.ConnectionLimit(),
		"shutdown_ms", int(r.cfg.ShutdownTime()))

	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}

	r.drain(servers)

	return nil
}

// clientListener returns ln with a bound on its connections.
func (r *Relay) clientListener(ln net.Listener) *budget.Listener {
	return budget.NewListener(ln, budget.Settings{
		Connections: r.cfg.ConnectionLimit(), StallTime: stallTime, SlowTime: slowTime,
	}, budget.Deps{Clock: r.deps.Clock, Budget: r.memory, Log: r.deps.Log, Tally: r.deps.Tally})
}

// servePeers serves control messages until ctx ends.
func (r *Relay) servePeers(ctx context.Context, ln net.Listener) {
	if err := peers.NewServer(r.mux, r.traffic).Serve(ctx, r.deps.Link.Listener(ln)); err != nil {
		r.deps.Log.Error("control messages are no longer served", "cause", err)
	}
}

// server serves the connections of a listener.
type server interface {
	Serve(ln net.Listener) error
	Close() error
}

// outbound returns the server of the callers' requests, which callers may pipeline.
func (r *Relay) outbound(h http.Handler) *httpd.Server {
	return httpd.New(httpd.Settings{
		PipelineDepth: r.cfg.PipelineDepth, PipelineBytes: r.cfg.PipelineBytes,
		HeadBytes: r.cfg.MaxHeadBytes, HeadLines: r.cfg.MaxHeadLines, HeadTimeout: r.cfg.HeadTimeout,
		IdleTimeout: idleTimeout, BodyRate: r.cfg.MinBodyRate, MaxBodyBytes: int64(r.cfg.MaxBodyBytes),
	}, httpd.Deps{
		Clock: r.deps.Clock, Handler: h, Log: r.deps.Log, Tally: r.deps.Tally, Budget: accounts{r.memory},
	})
}

// accounts adapts a budget to the interface of httpd.
type accounts struct{ budget *budget.Budget }

// OpenConn returns the account of a connection, which the budget knows by its address.
func (a accounts) OpenConn(nc net.Conn) httpd.Account {
	return a.budget.Open(nc.RemoteAddr().String())
}

// Open returns an account of a client.
func (a accounts) Open(client string) httpd.Account {
	return a.budget.Open(client)
}

// server returns an HTTP server with the node's limits.
func (r *Relay) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: r.deps.Log.StandardLog(), ConnContext: conns.WithConn,
	}
}

// countActive counts the requests in flight. It drops a request whose caller closed the connection before the
// request was read.
func (r *Relay) countActive(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.active.Add(1)
		defer r.active.Add(-1)

		if conns.CallerClosed(req.Context()) {
			r.deps.Tally.Count("spar_relay_left_unread_total")
			panic(http.ErrAbortHandler)
		}

		h.ServeHTTP(w, req)
	})
}
