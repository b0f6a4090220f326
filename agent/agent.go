// Package agent composes a spard: membership, lease, planner, request path and their listeners.
package agent

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
	"sardinespar.example/spar/peers"
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
	// Lease returns the lease holder of a registration; nil stands for the table lease.
	Lease func(*fleet.Member) Holder
}

// Listeners are the three listeners of a node.
type Listeners struct {
	HTTP  net.Listener
	Peer  net.Listener
	Local net.Listener
}

const (
	// drainTimeout is the longest deadline of a request, so that a shutdown cuts none.
	drainTimeout  = route.DeadlineMost
	headerTimeout = 10 * time.Second
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
	joined  *Registrar
	ops     operators
	crashes *crash.Quarantine

	closing atomic.Bool

	mu           sync.Mutex
	registration *registration
	wg           sync.WaitGroup
}

// New returns an agent that is not running.
func New(cfg config.Settings, deps Deps) *Agent {
	a := &Agent{cfg: cfg, deps: deps, replica: fleet.NewReplica(), traffic: &peers.Traffic{}}
	a.ring = event.NewRing(cfg.EventCount, deps.Wall)
	deps = a.metered(deps)
	a.pool = peers.NewPool(deps.Dial, a.traffic).Stamped(a.ring)
	a.spread = fleet.NewSync(a.replica, deps.Table, a.pool, deps.Clock, a.ring)
	a.joined = NewRegistrar(Ownership{
		Clock: deps.Clock, Table: deps.Table, Calls: a.pool, Replica: a.replica, Spread: a.spread, Record: a.ring,
		Incarnation: deps.Incarnation, Lease: cfg.Lease, Registered: a.registering, Holder: deps.Lease,
	})
	a.limiter = newLimiter(cfg, deps.Clock, a.ring)
	a.crashes = crash.New(a.joined.ID, a.replica, deps.Table, a.pool, deps.Clock, deps.Wall, a.ring)
	a.guard = guard.New(a.joined.ID, a.replica, a.joined, a.limiter, deps.HTTP, deps.Clock).WithQuarantine(a.crashes)
	a.guard.Gate().Use(a.guard.Ledger())
	a.guard.ShareReads(cfg.ShareBytes)
	picker := newPicker(cfg, deps.Clock, a.ring)
	a.handler = route.New(a.joined.ID, a.replica, a.guard, a.ops.sender(deps.HTTP), picker, deps.Clock)
	a.handler.PullWith(func(ctx context.Context, addr string) { a.spread.Behind(ctx, addr, math.MaxInt64) })
	policy := newPolicy(cfg, deps.Clock)
	policy.Choices = a.choices
	a.handler.Use(policy)
	a.ops.serve(a)

	if cfg.Resume {
		a.handler.WithResume(a.ring)
	}

	return a
}

// Run serves until ctx ends, then drains.
func (a *Agent) Run(ctx context.Context, ln Listeners) error {
	mux := peers.NewMux()
	a.spread.Register(mux)
	a.joined.Register(mux)
	a.register(mux)
	a.ops.service.Register(mux)
	a.crashes.Register(mux)

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	server := peers.NewServer(mux, a.traffic).Stamped(a.ring)
	public := a.serveHTTP(ln.HTTP, a.ops.entry(http.HandlerFunc(a.serve)))
	local := a.serveHTTP(ln.Local, a.localMux(background))

	a.wg.Go(func() { a.spread.Run(background) })
	a.wg.Go(func() { a.pool.Run(background, a.deps.Clock) })
	a.wg.Go(func() { a.ops.follower.Run(background) })
	a.wg.Go(func() { a.ops.service.Run(background) })
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

// serve answers callers and nodes. While the node shuts down, each answer asks the other side to
// close its connection: a request sent on one that is being closed may be lost.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if a.closing.Load() {
		w.Header().Set("Connection", "close")
	}

	a.handler.ServeHTTP(w, r)
}

// shutdown leaves the fleet, lets the calls in flight end, and closes the listeners.
func (a *Agent) shutdown(ctx context.Context, servers ...*http.Server) error {
	a.deps.Log.Info("draining")

	ctx, cancel := context.WithTimeout(ctx, drainTimeout.Duration())
	defer cancel()

	a.closing.Store(true)
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

// registering gives later events the node's new id.
func (a *Agent) registering(id spar.NodeID) {
	a.ring.Named(id)
	a.deps.Log.Info("registering", "node", id, "lease", a.cfg.Lease)
}
