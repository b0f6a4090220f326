package agent

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
	"sardinespar.example/spar/plan"
)

const (
	watchInterval spar.Millis = 50
	// maxStallTime is how long a leaving or withdrawn node accepts requests while none of its slots moves away,
	// for example during an outage of the table.
	maxStallTime spar.Millis = 3000
	// maxLeaveTime is how long such a node accepts requests at all. Operators are promised that a withdrawn node
	// accepts none after 5 s, and it takes some of that time until the node learns of the withdrawal.
	maxLeaveTime spar.Millis = 3500
	// announceTimeout is the time of three missed announcements, after which the backend server counts as
	// unavailable.
	announceTimeout spar.Millis = 3000
	// markLostTimeout bounds the time for which a shutdown waits for the transaction that marks the node lost.
	markLostTimeout spar.Millis = 2000
)

// registration is one registration of the node, under one id. It begins with an announcement of the backend server.
// It ends when the node's row is marked lost, when the first write of the row fails, or at a shutdown.
type registration struct {
	agent  *Agent
	member *fleet.Member
	mover  *plan.Mover
	stop   context.CancelFunc

	// drained is closed when the backend server gets no more requests, and ended when the registration has ended.
	drained chan struct{}
	ended   chan struct{}

	// leavingPublished is true once the state leaving has been committed and sent to all peers.
	leavingPublished atomic.Bool

	mu            sync.Mutex
	lastAnnounced spar.Millis
	// leaveReason is why the node is leaving, or empty.
	leaveReason string

	// The following fields are used only by loop: when the node began to move all its slots away, when a slot
	// last moved, and how many slots the node owned then.
	emptyingSince spar.Millis
	lastProgress  spar.Millis
	lastOwned     int
}

// startRegistration registers the node under a new id, in a goroutine that also runs its lease and planner. The
// caller holds a.mu.
func (a *Agent) startRegistration(ctx context.Context, announcement Announcement) {
	node := spar.Node{
		VM: a.cfg.VM, Service: announcement.Service,
		Zone: a.cfg.Zone, Region: a.cfg.Region,
		HTTPAddr:     cmp.Or(a.cfg.AdvertiseHTTP, a.cfg.HTTPAddr),
		PeerAddr:     cmp.Or(a.cfg.AdvertisePeer, a.cfg.PeerAddr),
		Capacity:     spar.Capacity{Slots: announcement.Slots, Conns: announcement.Conns},
		ChecksGrants: announcement.ChecksGrants,
	}

	ctx, stop := context.WithCancel(ctx)
	r := &registration{
		agent: a, member: a.registrar.newMember(node), stop: stop,
		drained: make(chan struct{}), ended: make(chan struct{}), lastAnnounced: a.deps.Clock.Now(),
	}
	r.mover = plan.NewMover(r.member.ID(), plan.MoverDeps{
		Replica: a.replica, Sync: a.rowSync, Table: a.deps.Table, Caller: a.pool,
		Gate: a.guard.Gate(), Clock: a.deps.Clock, Record: a.ring,
	})

	a.registration = r
	a.limiter.Reset(node.Capacity)
	a.guard.Gate().Reset()
	a.guard.SetBackend(&guard.Backend{Addr: announcement.Addr, ChecksGrants: announcement.ChecksGrants})
	a.wg.Go(func() { r.run(ctx, announcement) })
}

// run runs the registration until it ends or ctx does.
func (r *registration) run(ctx context.Context, announcement Announcement) {
	a := r.agent

	defer a.endRegistration(r)

	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer r.stop()

	tasks.Go(func() { r.loop(ctx) })

	if err := a.registrar.ensureService(ctx, announcement.toService()); err != nil {
		a.deps.Log.Error("registration failed", "node", r.member.ID(), "err", err)

		return
	}

	nodeTasks := a.registrar.joinFleet(ctx, r.member)
	if nodeTasks == nil {
		return
	}

	a.deps.Log.Info("registered", "node", r.member.ID(), "service", announcement.Service)

	balancer := plan.NewBalancer(r.member.ID(), a.replica, a.pool, a.deps.Clock).SetMaxMoves(a.maxMoves)

	for _, task := range append(nodeTasks, balancer.Run, r.mover.Run) {
		tasks.Go(func() { task(ctx) })
	}

	r.awaitDrained(ctx)
}

// awaitDrained waits until the backend server gets no more requests, and then marks the node lost.
func (r *registration) awaitDrained(ctx context.Context) {
	p := &publisher{registration: r}
	r.agent.wg.Go(func() { p.run(ctx) })

	select {
	case <-ctx.Done():
		return
	case <-r.member.Lost():
		return
	case <-r.drained:
	}

	// The node may still own slots if an outage of the table has prevented their moves.
	for r.countOwned() > 0 {
		if !r.agent.deps.Clock.Sleep(ctx, watchInterval) {
			return
		}
	}

	r.member.Update(ctx, func(n spar.Node) spar.Node { return n.WithState(spar.NodeLost) })
	r.member.Announce(ctx)
}

// publisher commits the state leaving and sends it to all peers once the node starts to leave.
type publisher struct {
	*registration
}

func (p *publisher) run(ctx context.Context) {
	for p.reason() == "" {
		if !p.agent.deps.Clock.Sleep(ctx, watchInterval) {
			return
		}
	}

	c := p.member.Update(ctx, func(n spar.Node) spar.Node {
		if n.State == spar.NodeLost {
			return n
		}

		return n.WithState(spar.NodeLeaving)
	})
	if c.Verdict == spar.VerdictApplied {
		p.member.Announce(ctx)
		p.leavingPublished.Store(true)
	}
}

// endRegistration ends the registration, so that the next announcement starts a new one.
func (a *Agent) endRegistration(r *registration) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.guard.SetBackend(nil)
	a.registrar.clear()
	a.registration = nil

	close(r.ended)
}

// leave ends the current registration, if there is one, after planned moves of the node's slots.
func (a *Agent) leave(ctx context.Context) {
	a.mu.Lock()
	r := a.registration
	a.mu.Unlock()

	if r == nil {
		return
	}

	r.startLeaving("shutdown")

	select {
	case <-r.drained:
	case <-r.ended:
	case <-ctx.Done():
	}

	timer := a.deps.Clock.Timer(markLostTimeout)
	defer timer.Stop()

	select {
	case <-r.ended:
	case <-timer.C:
	case <-ctx.Done():
	}

	r.stop()
}
