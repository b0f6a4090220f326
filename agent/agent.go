// Package agent composes a spard: membership, lease, planner, request path and their listeners.
package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
	"sardinespar.example/spar/lease"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/pick"
	"sardinespar.example/spar/plan"
	"sardinespar.example/spar/route"
)

// Deps are what an agent gets from outside: real ones in spard, fakes in tests.
type Deps struct {
	Clock       spar.Clock
	Wall        func() int64
	Table       spar.Table
	Dial        peers.Dialer
	HTTP        http.RoundTripper
	Log         *log.Logger
	Incarnation func() string
}

// Listeners are the three listeners of a node.
type Listeners struct {
	HTTP  net.Listener
	Peer  net.Listener
	Local net.Listener
}

const (
	drainTimeout  spar.Millis = 30_000
	headerTimeout             = 10 * time.Second
	// idleTimeout is longer than other nodes keep idle connections, so that they never send a request
	// on one that is being closed.
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Agent is one spard.
type Agent struct {
	cfg  config.Settings
	deps Deps

	ring    *event.Ring
	traffic *peers.Traffic
	pool    *peers.Pool
	replica *fleet.Replica
	spread  *fleet.Sync
	limiter admit.Limiter
	guard   *guard.Guard
	handler *route.Handler
	lease   *leaseRef
	crashes *crash.Quarantine

	mu     sync.Mutex
	member *fleet.Member
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

// New returns an agent that is not running.
func New(cfg config.Settings, deps Deps) *Agent {
	a := &Agent{cfg: cfg, deps: deps, lease: &leaseRef{}, replica: fleet.NewReplica(), traffic: &peers.Traffic{}}
	a.ring = event.NewRing(cfg.EventCount, deps.Wall)
	a.pool = peers.NewPool(deps.Dial, a.traffic)
	a.spread = fleet.NewSync(a.replica, deps.Table, a.pool, deps.Clock, a.ring)
	a.limiter = admit.NewFixed(deps.Clock, cfg.MaxQueue)
	a.crashes = crash.New(a.id, a.replica, deps.Table, a.pool, deps.Clock, deps.Wall, a.ring)
	a.guard = guard.New(a.id, a.replica, a.lease, a.limiter, deps.HTTP, deps.Clock).WithQuarantine(a.crashes)
	a.handler = route.New(a.id, a.replica, a.guard, deps.HTTP, pick.NewRobin(), deps.Clock)

	if cfg.Resume {
		a.handler.WithResume(a.ring)
	}

	return a
}

// Run serves until ctx ends, then drains.
func (a *Agent) Run(ctx context.Context, ln Listeners) error {
	mux := peers.NewMux()
	a.spread.Register(mux)
	a.crashes.Register(mux)

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	server := peers.NewServer(mux, a.traffic)
	public := a.serveHTTP(ln.HTTP, a.handler)
	local := a.serveHTTP(ln.Local, a.localMux(background))

	a.wg.Go(func() { a.spread.Run(background) })
	a.wg.Go(func() { a.crashes.Run(background) })
	a.wg.Go(func() {
		if err := server.Serve(background, ln.Peer); err != nil {
			a.deps.Log.Error("peer listener stopped", "err", err)
		}
	})

	a.ring.Record(spar.Event{Kind: spar.EventStarted})
	a.deps.Log.Info("started", "vm", a.cfg.VM, "zone", a.cfg.Zone, "http", a.cfg.HTTPAddr)
	<-ctx.Done()

	err := a.shutdown(background, public, local)

	stop()
	a.pool.Close()
	a.wg.Wait()

	return err
}

func (a *Agent) serveHTTP(ln net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, IdleTimeout: idleTimeout,
	}
	a.wg.Go(func() { _ = s.Serve(ln) })

	return s
}

// shutdown leaves the fleet, lets the calls in flight end, and closes the listeners.
func (a *Agent) shutdown(ctx context.Context, servers ...*http.Server) error {
	a.deps.Log.Info("draining")

	ctx, cancel := context.WithTimeout(ctx, drainTimeout.Duration())
	defer cancel()

	a.leave(ctx)
	a.guard.Drain(ctx)

	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			return fmt.Errorf("close listener: %w", err)
		}
	}

	a.deps.Log.Info("stopped")

	return nil
}

// id returns the node's current id, empty before the backend server has announced itself.
func (a *Agent) id() spar.NodeID {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.member == nil {
		return ""
	}

	return a.member.ID()
}

// leaseRef is the lease of the current registration.
type leaseRef struct {
	mu    sync.Mutex
	lease spar.Lease
}

// Until returns the time on the local clock at which the lease ends.
func (l *leaseRef) Until() spar.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.lease == nil {
		return 0
	}

	return l.lease.Until()
}

func (l *leaseRef) set(lease spar.Lease) {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.lease = lease
}

// join registers the node under a new id and starts its lease and planner.
func (a *Agent) join(ctx context.Context, n Announcement) {
	node := spar.Node{
		ID: spar.NodeID(a.cfg.VM + "." + a.deps.Incarnation()), VM: a.cfg.VM, Service: n.Service,
		Zone: a.cfg.Zone, Region: a.cfg.Region, HTTPAddr: a.cfg.HTTPAddr, PeerAddr: a.cfg.PeerAddr,
		Capacity:     spar.Capacity{Slots: n.Slots, Conns: n.Conns},
		ChecksGrants: n.ChecksGrants, State: spar.NodeLive,
	}
	member := fleet.NewMember(node, a.spread, a.deps.Table, a.deps.Clock)

	ctx, a.stop = context.WithCancel(ctx)
	a.member = member
	a.ring.Named(node.ID)
	a.limiter.Reset(node.Capacity)
	a.guard.Attach(&guard.Backend{Addr: n.Addr, ChecksGrants: n.ChecksGrants})
	a.wg.Go(func() { a.run(ctx, member, n) })
}

// run keeps one registration until ctx ends.
func (a *Agent) run(ctx context.Context, m *fleet.Member, n Announcement) {
	if !a.ensureService(ctx, m, n.shape()) {
		return
	}

	if c := m.Update(ctx, func(n spar.Node) spar.Node { return n }); c.Verdict != spar.Applied {
		return
	}

	m.Announce(ctx)
	a.ring.Record(spar.Event{Kind: spar.EventRegistered, Service: n.Service})
	a.deps.Log.Info("registered", "node", m.ID(), "service", n.Service)

	holder := lease.NewTableHolder(m, a.deps.Clock)
	a.lease.set(holder)

	planner := plan.NewPlanner(m.ID(), a.replica, a.spread, a.deps.Table, a.deps.Clock, a.ring)

	a.wg.Go(func() { holder.Run(ctx) })
	planner.Run(ctx)
}

// leave marks the node as lost by its own transaction.
func (a *Agent) leave(ctx context.Context) {
	a.mu.Lock()
	member, stop := a.member, a.stop
	a.mu.Unlock()

	if member == nil {
		return
	}

	stop()
	a.ring.Record(spar.Event{Kind: spar.EventLeaving})
	member.Update(ctx, func(n spar.Node) spar.Node { return n.WithState(spar.NodeLeaving) })
	member.Announce(ctx)
}
