package owner

import (
	"context"
	"sync"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/hold"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/peers"
)

const (
	methodMap   = "owner.map"
	methodOffer = "owner.offer"
	methodPull  = "owner.pull"
	// methodExpect announces that keys are about to be assigned to nodes that may receive some.
	methodExpect = "owner.expect"

	// clockError is the maximum relative rate difference of two clocks.
	clockError = 0.02
	// grantMargin is the minimum time between the end of a grant and the end of the lease.
	grantMargin spar.Millis = 100
	// minGrant is the minimum duration of a grant; a shorter one would expire before it is useful.
	minGrant spar.Millis = 300
)

// Settings configures an Owner.
type Settings struct {
	Node       string
	InstanceID string
	Zone       string
	Service    string
	PeerAddr   string
	// AppAddr is the address of this node's backend server.
	AppAddr string
	// LeaseDuration is how long a lease lasts after its renewal was sent.
	LeaseDuration spar.Millis
	// RenewInterval is the interval between two renewals.
	RenewInterval spar.Millis
	// GrantTTL is the usual duration of a grant to the backend server, and MaxGrantTTL the maximum duration, which
	// commands have while the table is unavailable.
	GrantTTL    spar.Millis
	MaxGrantTTL spar.Millis
	// StoreTimeout is the timeout of a call to the table.
	StoreTimeout spar.Millis
	// MaxCommandDelay is the latest time after sending at which an unanswered command may still be carried out.
	MaxCommandDelay spar.Millis
	// FirstStart is set if no process of the deployment has run before this start, so that no keys are held.
	FirstStart bool
}

// Deps are the dependencies of an Owner.
type Deps struct {
	Clock spar.Clock
	// UnixMillis returns the time of day in Unix milliseconds.
	UnixMillis func() int64
	Table      spar.Table
	// Eras are the eras of the table that its client has seen; nil for a table that never changes its era.
	Eras  *spar.Eras
	Maps  *Maps
	Gate  *gate.Gate
	Mesh  *mesh.Mesh
	Peers peers.Caller
	Log   *log.Logger
	// Commands sends commands to the backend server; nil if the server receives its grants in heartbeat responses.
	Commands CommandSender
	// Keyed reports whether a service is partitioned by key, and whether that is known yet.
	Keyed func(service string) (keyed, known bool)
	// ZoneWithdrawn reports whether an availability zone is withdrawn.
	ZoneWithdrawn func(zone string) bool
	// StoreRecovered is called when the table answers again after a failure.
	StoreRecovered func()
	// Registered is called after this node's row has been written.
	Registered func()
	// Flaws are faults that only tests inject.
	Flaws flaw.Set
}

// Owner manages the keys of this node's backend server.
type Owner struct {
	cfg  Settings
	deps Deps

	// createTried is set once this process has tried to create its lease row. Only loopLease uses it.
	createTried bool
	batcher     *renewalBatcher

	// changeLock serializes changes of the map; a channel, so that waiting for it can be canceled.
	changeLock chan struct{}
	// pushWake wakes loopPush.
	pushWake chan struct{}

	mu sync.Mutex
	// registered is set once the node's row has been written.
	registered bool
	lease      lease
	era        eraState
	// individualUntil is the end of the period in which this node renews its lease individually.
	individualUntil spar.Millis
	// incarnation is the backend server that sends heartbeats, and departed the newest one that has deregistered.
	incarnation spar.Incarnation
	departed    spar.Incarnation
	seq         int64
	draining    bool
	// recordedDeparted is the departed backend server that the lease row names, and replicatedDeparted the one that
	// enough other nodes know.
	recordedDeparted   spar.Incarnation
	replicatedDeparted spar.Incarnation
	unknownDeparted    unknownDeparture
	// earlierRead is closed once the lease row of an earlier process has been read; earlierKnown is set with it.
	earlierRead  chan struct{}
	earlierKnown bool
	// nodesRead is closed once the table of nodes has been read; nodesKnown is set with it.
	nodesRead  chan struct{}
	nodesKnown bool
	// departuresKnown is closed once the departures before the start of this process are known.
	departuresKnown chan struct{}
	// departures are those of the other nodes' backend servers.
	departures    *departureLog
	lastHeartbeat spar.Millis
	// holdsUntil is the latest end of all grants in heartbeat responses.
	holdsUntil spar.Millis
	// tracker has the grants that were sent as commands. lastReread is when an outdated one last caused a read
	// of the map.
	tracker    *hold.Tracker
	lastReread spar.Millis
	// moves are the spans that are being released, each with its target if one has been chosen.
	moves []move
	// lastMoveOut is when this node last chose moves to balance the load, and lastOffer when it last accepted an offer.
	lastMoveOut spar.Millis
	lastOffer   spar.Millis
	// expectUntil is the end of the period in which announced keys are expected to arrive here.
	expectUntil spar.Millis
	// suspects are the lease rows of other nodes and earlier processes that were read, by their key.
	suspects map[string]suspect
	// tableOffset is an upper bound of how far the table's clock is ahead of this node's, if tableHasClock.
	tableOffset   spar.Millis
	tableHasClock bool
	// storeUnavailable is set if the outcome of the last renewal is unknown.
	storeUnavailable bool
}

// move is a span that the backend server must release.
type move struct {
	keymap.Span

	// target is the node that receives the span, or empty if none has been chosen.
	target string
	// since is when the move was chosen.
	since spar.Millis
	// begun is set once the span is no longer granted here.
	begun bool
	// omitted is set once a heartbeat response has left out the span.
	omitted bool
	// free is set once the backend server no longer holds the span.
	free bool
	// outcomeUnknown is set once a transaction that moves the span has been sent, which may still take effect.
	outcomeUnknown bool
	// handover are the released spans with their handover texts.
	handover []Released
}

// New returns an Owner without a lease or keys.
func New(cfg Settings, deps Deps) *Owner {
	now := deps.Clock.Now()

	if deps.Commands != nil {
		cfg.LeaseDuration = max(cfg.LeaseDuration, cfg.MaxCommandDelay+grantWindow)
		// A command is sent only if it can't take effect after the end of the lease, however late it is
		// carried out. Grants last at most that maximum delay, so a grant carried out at once ends before the
		// lease.
		cfg.GrantTTL, cfg.MaxGrantTTL = min(cfg.GrantTTL, cfg.MaxCommandDelay), min(cfg.MaxGrantTTL, cfg.MaxCommandDelay)
	}

	o := &Owner{
		cfg: cfg, deps: deps, suspects: map[string]suspect{}, tracker: newGrantTracker(cfg, deps),
		changeLock: make(chan struct{}, 1), pushWake: make(chan struct{}, 1), earlierRead: make(chan struct{}),
		nodesRead: make(chan struct{}), departuresKnown: make(chan struct{}), departures: newDepartureLog(),
		// An earlier process of this node may have granted keys until the moment it ended.
		lastHeartbeat: now, holdsUntil: now + cfg.GrantTTL*(1+clockError),
	}
	o.batcher = &renewalBatcher{clock: deps.Clock, commit: o.commit, requests: make(chan pendingRenewal)}

	if deps.Eras != nil {
		deps.Eras.Watch(o.watchEra)
	}

	return o
}

// Register adds the peer methods of the Owner to a mux.
func (o *Owner) Register(mux *peers.Mux) {
	peers.Handle(mux, methodMap, func(_ context.Context, p mapNotification) (struct{}, error) {
		o.logMap(p.Service, o.deps.Maps.applyNotification(p))

		return struct{}{}, nil
	})
	peers.Handle(mux, methodPull, func(_ context.Context, p mapRequest) (mapReply, error) {
		return o.replyMap(p), nil
	})
	peers.Handle(mux, methodOffer, func(_ context.Context, p offer) (offerReply, error) {
		return offerReply{Accepted: o.acceptOffer(p)}, nil
	})
	o.registerRenew(mux)
	o.registerDepartures(mux)
	peers.Handle(mux, methodExpect, func(context.Context, struct{}) (struct{}, error) {
		o.expectKeys()

		return struct{}{}, nil
	})
}

// mapNotification notifies a peer of a change that was just written to a map. It contains only the change: sending
// the complete map to every node would saturate the network links of a large fleet.
type mapNotification struct {
	Service string `json:"service"`
	// Base is the revision of the map to which the change applies.
	Base     spar.Revision `json:"base"`
	Revision spar.Revision `json:"revision"`
	Change   keymap.Change `json:"change"`
}

// mapRequest requests a peer's map of a service.
type mapRequest struct {
	Service string `json:"service"`
	// Known is the revision of the map that the sender knows; 0 if there is none, and from nodes of earlier builds.
	Known spar.Revision `json:"known,omitempty"`
}

// mapReply has either the changes since the revision that the peer knows, or the complete map, which is much longer.
type mapReply struct {
	versioned

	Changes []mapNotification `json:"changes,omitempty"`
}

// replyMap returns the reply to a request for a map.
func (o *Owner) replyMap(p mapRequest) mapReply {
	if p.Known != 0 {
		if changes, ok := o.deps.Maps.changesSince(p.Service, p.Known); ok {
			return mapReply{Changes: changes}
		}
	}

	return mapReply{versioned: o.deps.Maps.get(p.Service)}
}

// Pull requests what this node has missed of the map of a service from a peer that reports a newer revision of it. It
// requests the complete map if the changes since the known one can't be applied.
func (o *Owner) Pull(ctx context.Context, peerAddr, service string) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout.Duration())
	defer cancel()

	if !o.pull(ctx, peerAddr, mapRequest{Service: service, Known: o.deps.Maps.Revision(service)}) {
		o.pull(ctx, peerAddr, mapRequest{Service: service})
	}
}

// pull makes a request for a map and stores the map of the reply. It returns false if the reply has changes that can't
// be applied.
func (o *Owner) pull(ctx context.Context, peerAddr string, p mapRequest) bool {
	var reply mapReply
	if err := o.deps.Peers.Call(ctx, peerAddr, methodPull, p, &reply); err != nil {
		o.deps.Log.Debug("pulling map of owners failed", "peer_addr", peerAddr, "service", p.Service, "cause", err)

		return true
	}

	for _, n := range reply.Changes {
		o.logMap(p.Service, o.deps.Maps.applyNotification(n))

		if o.deps.Maps.Revision(p.Service) < n.Revision {
			return false
		}
	}

	o.adoptMap(p.Service, reply.versioned)

	return true
}

// adoptMap stores a map that was read from the table or received from a peer, if it is newer than the known one.
func (o *Owner) adoptMap(service string, v versioned) {
	o.logMap(service, o.deps.Maps.putIfNewer(service, v))
}

// logMap logs the current map of a service after a change.
func (o *Owner) logMap(service string, changed bool) {
	if !changed {
		return
	}

	v := o.deps.Maps.get(service)
	if service == o.cfg.Service {
		o.pruneContinued(v.Map)
	}

	o.deps.Log.Info("map of owners changed", "service", service, "revision", v.Revision, "ranges", len(v.Map.Ranges),
		"own", len(v.Map.OwnedBy(o.cfg.Node)))
}

// Leased reports whether the node's lease is valid.
func (o *Owner) Leased() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.deps.Clock.Now() < o.lease.until
}

// Run maintains the lease and the keys until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	wg.Go(func() { o.batcher.loop(ctx) })
	wg.Go(func() { o.loopLease(ctx) })
	wg.Go(func() { o.runLearn(ctx) })
	wg.Go(func() { o.loopMoves(ctx) })
	wg.Go(func() { o.loopPlan(ctx) })

	if o.usesCommands() {
		wg.Go(func() { o.loopPush(ctx) })
	}
}
