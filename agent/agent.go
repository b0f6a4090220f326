// Package agent assembles a spard process from its parts: registration, lease, planner and request path, and the
// listeners that serve them.
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

// Deps are the dependencies of an agent. Tests replace them by fakes.
type Deps struct {
	Clock spar.Clock
	// UnixMillis returns the time of day in Unix milliseconds.
	UnixMillis func() int64
	Table      spar.Table
	// Dial connects to the peer listeners of other nodes.
	Dial peers.Dialer
	// HTTP sends requests to other nodes and to the backend server.
	HTTP http.RoundTripper
	Log  *log.Logger
	// NewInstanceID returns a new instance id for each registration.
	NewInstanceID func() string
	// NewHolder returns the lease holder of a registration. If it is nil, the lease mode of the settings decides.
	NewHolder func(*fleet.Member) Holder
}

// Listeners are the listeners of a node.
type Listeners struct {
	// HTTP takes requests from callers and from other nodes.
	HTTP net.Listener
	// Peer takes control messages from other nodes and from sparctl.
	Peer net.Listener
	// Local takes announcements of the backend server and serves metrics and profiles.
	Local net.Listener
}

const (
	// drainTimeout bounds a shutdown. It equals the longest deadline of a request, so that a shutdown aborts none.
	drainTimeout  = route.MaxDeadline
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than the time for which other nodes keep idle connections, so that they never send a
	// request on a connection that this node is closing.
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Agent is one spard process.
type Agent struct {
	cfg  config.Settings
	deps Deps

	ring       *event.Ring
	traffic    *peers.Traffic
	pool       *peers.Pool
	replica    *fleet.Replica
	rowSync    *fleet.Sync
	limiter    admit.Limiter
	guard      *guard.Guard
	handler    *route.Handler
	registrar  *Registrar
	ops        operatorAPI
	quarantine *crash.Quarantine

	closing atomic.Bool

	mu           sync.Mutex
	registration *registration
	wg           sync.WaitGroup
}

// New returns an agent. Run starts it.
func New(cfg config.Settings, deps Deps) *Agent {
	a := &Agent{cfg: cfg, deps: deps, replica: fleet.NewReplica(), traffic: &peers.Traffic{}}
	a.ring = event.NewRing(cfg.EventCount, deps.UnixMillis)
	deps = a.withMetrics(deps)
	a.pool = peers.NewPool(deps.Dial, a.traffic).SetLogicalClock(a.ring)
	a.rowSync = fleet.NewSync(a.replica, deps.Table, a.pool, deps.Clock, a.ring)
	a.registrar = NewRegistrar(RegistrarDeps{
		Clock: deps.Clock, Table: deps.Table, Caller: a.pool, Replica: a.replica, Sync: a.rowSync, Record: a.ring,
		NewInstanceID: deps.NewInstanceID, LeaseMode: cfg.LeaseMode, OnRegister: a.onRegister, NewHolder: deps.NewHolder,
	})
	a.limiter = newLimiter(cfg, deps.Clock, a.ring)
	a.quarantine = crash.New(a.registrar.ID, a.replica, deps.Table, a.pool, deps.Clock, deps.UnixMillis, a.ring)
	a.guard = guard.New(a.registrar.ID, a.replica, a.registrar, a.limiter, deps.HTTP, deps.Clock).
		SetQuarantine(a.quarantine)
	a.guard.Gate().SetRecords(a.guard.Ledger())
	a.guard.ShareReads(cfg.MaxSharedBytes)
	picker := newPicker(cfg, deps.Clock, a.ring)
	a.handler = route.New(a.registrar.ID, a.replica, a.guard, a.ops.countSends(deps.HTTP), picker, deps.Clock)
	a.handler.SetPull(func(ctx context.Context, addr string) { a.rowSync.CatchUp(ctx, addr, math.MaxInt64) })
	policy := newPolicy(cfg, deps.Clock)
	policy.ForService = a.servicePolicy
	a.handler.SetPolicy(policy)
	a.ops.attach(a)

	if cfg.Resume {
		a.handler.SetResume(a.ring)
	}

	return a
}

// Run serves requests until ctx ends, and then shuts down gracefully.
func (a *Agent) Run(ctx context.Context, ln Listeners) error {
	mux := peers.NewMux()
	a.rowSync.Register(mux)
	a.registrar.Register(mux)
	a.registerMoves(mux)
	a.ops.service.Register(mux)
	a.quarantine.Register(mux)

	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	server := peers.NewServer(mux, a.traffic).SetLogicalClock(a.ring)
	public := a.serveHTTP(ln.HTTP, a.ops.countRequests(http.HandlerFunc(a.serve)))
	local := a.serveHTTP(ln.Local, a.localMux(background))

	a.wg.Go(func() { a.rowSync.Run(background) })
	a.wg.Go(func() { a.pool.Run(background, a.deps.Clock) })
	a.wg.Go(func() { a.ops.follower.Run(background) })
	a.wg.Go(func() { a.ops.service.Run(background) })
	a.wg.Go(func() { a.quarantine.Run(background) })
	a.wg.Go(func() {
		if err := server.Serve(background, ln.Peer); err != nil {
			a.deps.Log.Error("peer listener failed", "err", err)
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

// serve serves requests of callers and other nodes. During a shutdown, each response asks the client to close
// its connection, because a request sent on a connection that the server is closing may be lost.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	if a.closing.Load() {
		w.Header().Set("Connection", "close")
	}

	a.handler.ServeHTTP(w, r)
}

// shutdown moves the node's slots away, waits for the calls in flight, and closes the listeners.
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

// onRegister sets the node id of later events.
func (a *Agent) onRegister(id spar.NodeID) {
	a.ring.SetNode(id)
	a.deps.Log.Info("registering", "node", id, "lease", a.cfg.LeaseMode)
}
