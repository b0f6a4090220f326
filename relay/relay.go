// Package relay composes a node beside a backend server that takes its keys in the answers to its
// heartbeats: callers' requests in, the backend server's requests out, and the keys that it holds.
package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/follow"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

const (
	// maxIdle bounds idle connections to one address, and idleFor the time that they are kept.
	maxIdle                   = 32
	maxIdleOrders             = 4
	idleFor       spar.Millis = 8000
	// headerTimeout bounds the time in which a caller sends a request's header.
	headerTimeout spar.Millis = 10_000
	// idleTimeout is how long an idle connection of a caller or a node is kept.
	idleTimeout spar.Millis = 60_000
	headerBytes             = 32 << 10
)

// Adapter speaks to the deployment's platform.
type Adapter interface {
	// Names are the headers of callers and backend servers.
	Names() spar.HeaderNames
	// OperatorTable names the table of what operators write.
	OperatorTable() string
	// Rules reads the routing rules from an operator's row; nil if the row holds none.
	Rules(r spar.Row) (*rules.Set, error)
	// Evacuated reads an availability zone that is taken out or back in from an operator's row.
	Evacuated(r spar.Row) (zone string, out, ok bool)
	// Control serves the backend server's own calls.
	Control(o *owner.Owner, l *log.Logger) http.Handler
	// Orders sends grants to a backend server that takes them as calls.
	Orders(addr string, pool *conns.Pool) owner.Orders
	// Ready serves the platform's question whether the node takes callers.
	Ready(ready func() bool) http.Handler
}

// Table is the platform's store.
type Table interface {
	spar.Table
	spar.Feed
}

// Deps are what a relay works with.
type Deps struct {
	Clock   spar.Clock
	Wall    func() int64
	Table   Table
	Adapter Adapter
	Dial    func(ctx context.Context, addr string) (net.Conn, error)
	// Link is the VM's network link, which counts what the connections of Dial and Packets send.
	Link *pace.Link
	Log  *log.Logger
	// Tally is served on the metrics address.
	Tally *tally.Tally
	// Incarnation is new in each process.
	Incarnation string
	// Packets carries states between nodes, at the same port as their control messages; it may be nil.
	Packets net.PacketConn
}

// Listeners are the node's open listeners. Metrics may be nil.
type Listeners struct {
	Outbound, Inbound, Ready, Control, Peer, Metrics net.Listener
}

// Relay is one node.
type Relay struct {
	cfg  config.Relay
	deps Deps

	operator *operator
	gate     *gate.Gate
	mesh     *mesh.Mesh
	owner    *owner.Owner
	maps     *owner.Maps
	entry    *entry.Entry
	inbound  *entry.Inbound
	mux      *peers.Mux
	traffic  *peers.Traffic

	started int64
	seq     atomic.Int64
	leaving atomic.Bool
	// closed says that new requests are refused, since they might not end before the process does.
	closed atomic.Bool
	active atomic.Int64
	// fleet follows the nodes in the table.
	fleet *follow.Follower
	// pulling is set while a map is taken from a peer, and catching while rules are.
	pulling   atomic.Bool
	catching  atomic.Bool
	announced announcements
	caller    *peers.Pool
	// work ends with the process's own tasks, after the requests under way.
	work context.Context //nolint:containedctx // Tasks that answer a peer's state have no other context.
}

// New returns a relay that is not running yet.
func New(cfg config.Relay, deps Deps) *Relay {
	r := &Relay{
		cfg: cfg, deps: deps, maps: owner.NewMaps(), mux: peers.NewMux(), traffic: &peers.Traffic{}, started: deps.Wall(),
	}
	r.operator = newOperator(deps)
	r.fleet = r.newFleet()

	names := deps.Adapter.Names()
	pool := conns.New(deps.Dial, deps.Clock, conns.Options{MaxIdle: maxIdle, IdleFor: idleFor})
	r.caller = peers.NewPool(deps.Dial, r.traffic)

	r.gate = gate.New(gate.Settings{
		Addr: cfg.App, Names: names, ColdShare: cfg.ColdShare, WholeBytes: int64(cfg.WholeBytes),
	}, gate.Deps{
		Clock: deps.Clock, Pool: pool, Link: deps.Link, Log: deps.Log, Tally: deps.Tally, Rules: r.operator.Rules,
		Closed: func() bool { return r.closed.Load() || r.operator.Evacuated(cfg.Zone) },
	})
	r.mesh = mesh.New(cfg.Node, mesh.Deps{
		Clock: deps.Clock, Caller: r.caller, Log: deps.Log, Self: r.state, Heard: r.heard, Packets: deps.Packets,
	})
	r.owner = owner.New(owner.Settings{
		Node: cfg.Node, Incarnation: deps.Incarnation, Zone: cfg.Zone, Service: cfg.Service, PeerAddr: cfg.Peer,
		AppAddr: cfg.App, LeaseFor: cfg.Lease, RenewEvery: cfg.Renew, HoldFor: min(cfg.Hold, cfg.HoldMax),
		HoldMost:     cfg.HoldMax,
		StoreTimeout: cfg.StoreTimeout, Late: cfg.Late,
	}, owner.Deps{
		Clock: deps.Clock, Table: deps.Table, Maps: r.maps, Gate: r.gate, Mesh: r.mesh, Peers: r.caller, Log: deps.Log,
		Orders: r.orders(),
		Keyed:  r.operator.Keyed, Evacuated: r.operator.Evacuated, StoreBack: r.storeBack, Registered: r.registered,
	})
	r.entry = entry.New(entry.Settings{
		Node: cfg.Node, Zone: cfg.Zone, Service: cfg.Service, Names: names, BodyBytes: int64(cfg.BodyBytes),
		MaxRulesLag: cfg.RulesMost,
	}, entry.Deps{
		Clock: deps.Clock, Rules: r.operator.Rules, Mesh: r.mesh, Maps: r.maps, Gate: r.gate, Pool: pool,
		Log: deps.Log, Tally: deps.Tally,
		Withdrawn: r.operator.Evacuated, Closing: r.leaving.Load, Closed: r.closed.Load, RulesLag: r.behind,
	})
	r.inbound = entry.NewInbound(r.gate, deps.Link, deps.Clock, deps.Log, int64(cfg.BodyBytes))
	r.mesh.Register(r.mux)
	r.owner.Register(r.mux)
	r.registerRules()

	return r
}

// orders returns the way in which the backend server takes grants; nil for the answers to its heartbeats.
func (r *Relay) orders() owner.Orders {
	if r.cfg.Grants != config.GrantsByCall {
		return nil
	}

	// Connections of their own keep a late second answer to a request from being taken for that to a grant.
	pool := conns.New(r.deps.Dial, r.deps.Clock, conns.Options{MaxIdle: maxIdleOrders, IdleFor: idleFor})

	return r.deps.Adapter.Orders(r.cfg.App, pool)
}

// state is what the node tells its peers.
func (r *Relay) state() mesh.State {
	u := r.gate.Upstream()
	cold := u.ColdUntil - r.deps.Clock.Now()

	return mesh.State{
		Node: r.cfg.Node, Incarnation: r.deps.Incarnation, Started: r.started, Seq: r.seq.Add(1),
		Zone: r.cfg.Zone, Service: r.cfg.Service, PeerAddr: r.cfg.Peer, Inbound: r.cfg.Inbound,
		Leaving: r.leaving.Load(), Life: u.Life, Ready: u.Ready && !u.Down, ColdMS: max(0, cold),
		Load: r.gate.Load(), Use: r.owner.Use(), Rules: r.operator.version(), MapRevision: r.maps.Revision(r.cfg.Service),
	}
}

// ready reports whether the node takes callers.
func (r *Relay) ready() bool {
	return !r.leaving.Load() && r.operator.Rules() != nil
}

// Run serves until ctx ends, and then lets requests under way end.
func (r *Relay) Run(ctx context.Context, ln Listeners) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r.work = work

	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()

	for _, run := range []func(context.Context){
		r.mesh.Run, r.owner.Run,
		r.operator.feed.Run, r.fleet.Run,
		func(ctx context.Context) { r.servePeers(ctx, ln.Peer) },
	} {
		wg.Go(func() { run(work) })
	}

	servers := []*http.Server{
		r.server(r.counted(r.entry)), r.server(r.counted(r.inbound)),
		r.server(r.deps.Adapter.Ready(r.ready)), r.server(r.deps.Adapter.Control(r.owner, r.deps.Log)),
	}
	failed := make(chan error, len(servers))

	for i, l := range []net.Listener{ln.Outbound, ln.Inbound, ln.Ready, ln.Control} {
		wg.Go(func() { failed <- servers[i].Serve(l) })
	}

	if ln.Metrics != nil {
		metrics := r.server(r.deps.Tally)
		servers = append(servers, metrics)

		wg.Go(func() { _ = metrics.Serve(ln.Metrics) })
	}

	r.deps.Log.Info("started", "node", r.cfg.Node, "service", r.cfg.Service, "zone", r.cfg.Zone,
		"incarnation", r.deps.Incarnation)

	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}

	r.leave(servers)

	return nil
}

func (r *Relay) servePeers(ctx context.Context, ln net.Listener) {
	if err := peers.NewServer(r.mux, r.traffic).Serve(ctx, r.deps.Link.Listener(ln)); err != nil {
		r.deps.Log.Error("control messages are no longer served", "cause", err)
	}
}

func (r *Relay) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		MaxHeaderBytes: headerBytes, ErrorLog: r.deps.Log.StandardLog(), ConnContext: conns.WithConn,
	}
}

// counted counts the requests under way. A request whose caller left while it waited unread is dropped.
func (r *Relay) counted(h http.Handler) http.Handler {
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

const (
	// noticeFor is how long after SIGTERM callers may still be sent here and requests are taken.
	noticeFor spar.Millis = 2600
	leaveLook spar.Millis = 50
)

// leave stops in order: callers go elsewhere while requests are still served, then those under way end.
func (r *Relay) leave(servers []*http.Server) {
	start := r.deps.Clock.Now()
	r.leaving.Store(true)
	r.deps.Log.Info("leaving", "active", r.active.Load())
	r.mesh.Kick()

	for {
		past := r.deps.Clock.Now() - start
		if past >= noticeFor {
			r.closed.Store(true)
		}

		if past >= r.cfg.Grace || past >= noticeFor && r.active.Load() == 0 {
			break
		}

		time.Sleep(leaveLook.Duration())
	}

	for _, s := range servers {
		_ = s.Close()
	}

	r.deps.Log.Info("stopped", "active", r.active.Load(), "after_ms", int(r.deps.Clock.Now()-start))
}
