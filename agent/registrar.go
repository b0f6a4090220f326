package agent

import (
	"context"
	"fmt"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/lease"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/plan"
)

const registerRetryDelay spar.Millis = 200

// RegistrarDeps are the dependencies and settings of a registrar.
type RegistrarDeps struct {
	Clock         spar.Clock
	Table         spar.Table
	Caller        peers.Caller
	Replica       *fleet.Replica
	Sync          *fleet.Sync
	Record        spar.Recorder
	NewInstanceID func() string
	// LeaseMode is config.LeaseWitness or config.LeaseTable.
	LeaseMode string
	// Flaws are the flaws that tests plant into the protocol. There are none in production.
	Flaws flaw.Set
	// OnRegister, if set, is called with each new node id before the node's row is written.
	OnRegister func(spar.NodeID)
	// NewHolder, if set, replaces the lease mode in tests: it returns the lease holder of a registration.
	NewHolder func(*fleet.Member) Holder
}

// Holder acquires the lease of a registration and renews it while Run runs.
type Holder interface {
	spar.Lease
	Run(ctx context.Context)
}

// Registrar keeps a node registered. It runs the node's lease, its witness for other nodes, the failure detector,
// the takeover coordinator and the planner. When another node has marked this one lost, it registers again under
// a new instance id.
type Registrar struct {
	RegistrarDeps

	witness *lease.Witness

	mu          sync.Mutex
	member      *fleet.Member
	lease       spar.Lease
	coordinator *plan.TakeoverCoordinator
}

// NewRegistrar returns a registrar. Run starts it.
func NewRegistrar(o RegistrarDeps) *Registrar {
	return &Registrar{RegistrarDeps: o, witness: lease.NewWitness(o.Replica, o.Sync, o.Clock, o.Flaws)}
}

// Register adds the methods that peers call.
func (r *Registrar) Register(m *peers.Mux) {
	r.witness.Register(m)
	plan.RegisterSuspect(m, r.currentCoordinator)
}

// ID returns the node's current id, or an empty string while it has none.
func (r *Registrar) ID() spar.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.member == nil {
		return ""
	}

	return r.member.ID()
}

// Member returns the member that writes the node's current row, or nil before the first registration.
func (r *Registrar) Member() *fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.member
}

// Until returns the time on the local clock at which the lease of the current registration expires.
func (r *Registrar) Until() spar.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.lease == nil {
		return 0
	}

	return r.lease.Until()
}

func (r *Registrar) currentCoordinator() *plan.TakeoverCoordinator {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.coordinator
}

// Run keeps the node registered until ctx ends. It returns an error if the service is already registered with
// another mode or another number of slots. Tests without a request path use it; an Agent runs its registrations
// itself, because they depend on announcements.
func (r *Registrar) Run(ctx context.Context, node spar.Node, shape spar.Service) error {
	for !r.Sync.Scan(ctx) {
		if !r.Clock.Sleep(ctx, registerRetryDelay) {
			return nil
		}
	}

	if err := r.ensureService(ctx, shape); err != nil {
		return err
	}

	for ctx.Err() == nil {
		r.session(ctx, node)
		r.Clock.Sleep(ctx, registerRetryDelay)
	}

	return nil
}

// session runs one registration until another node marks this one lost or ctx ends.
func (r *Registrar) session(ctx context.Context, node spar.Node) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	member := r.newMember(node)

	tasks := r.joinFleet(ctx, member)
	if tasks == nil {
		return
	}

	var wg sync.WaitGroup
	defer wg.Wait()

	for _, run := range tasks {
		wg.Go(func() { run(ctx) })
	}

	select {
	case <-ctx.Done():
	case <-member.Lost():
		cancel()
	}
}

// newMember gives the node a new id and returns the member for its row, which is not in the table yet.
func (r *Registrar) newMember(node spar.Node) *fleet.Member {
	node.ID = spar.NodeID(node.VM + "." + r.NewInstanceID())
	member := fleet.NewMember(node, r.Sync, r.Table, r.Clock)

	r.mu.Lock()
	r.member, r.lease, r.coordinator = member, nil, nil
	r.mu.Unlock()

	if r.OnRegister != nil {
		r.OnRegister(node.ID)
	}

	return member
}

// clear removes the registration. The node has no id until it registers again.
func (r *Registrar) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.member, r.lease, r.coordinator = nil, nil, nil
}

// joinFleet writes the node's row and returns the tasks to run while the node is registered. It returns nil if
// the row could not be written.
func (r *Registrar) joinFleet(ctx context.Context, m *fleet.Member) []func(context.Context) {
	var tasks []func(context.Context)

	if r.NewHolder != nil || r.LeaseMode == config.LeaseTable {
		tasks = r.tableLease(ctx, m)
	} else {
		tasks = r.witnessLease(ctx, m)
	}

	if tasks == nil {
		return nil
	}

	node, _ := m.Self()
	r.Record.Record(spar.Event{Kind: spar.EventRegistered, Node: node.ID, Service: node.Service})

	planner := plan.NewPlanner(node.ID, r.Replica, r.Sync, r.Table, r.Clock, r.Record)

	return append(tasks, planner.Run, m.Announce)
}

// tableLease registers the node as live and returns the tasks of the table lease, the baseline for measurements,
// or of the lease holder that a test has set.
func (r *Registrar) tableLease(ctx context.Context, m *fleet.Member) []func(context.Context) {
	live := func(n spar.Node) spar.Node { return n.WithState(spar.NodeLive) }
	if c := m.Update(ctx, live); c.Verdict != spar.VerdictApplied {
		return nil
	}

	var holder Holder = lease.NewTableHolder(m, r.Clock)
	if r.NewHolder != nil {
		holder = r.NewHolder(m)
	}

	r.setLease(holder, nil)

	return []func(context.Context){holder.Run}
}

// witnessLease registers the node as joining, its state until it holds a lease, and returns the tasks of
// witness leases.
func (r *Registrar) witnessLease(ctx context.Context, m *fleet.Member) []func(context.Context) {
	self := m.ID()
	r.witness.SetNodeID(self)

	nobody := func(spar.NodeID) bool { return false }
	nodes := r.Replica.View().Nodes()

	c := m.Update(ctx, func(n spar.Node) spar.Node {
		return n.WithState(spar.NodeJoining).WithWitnesses(lease.ChooseWitnesses(n, nodes, nobody))
	})
	if c.Verdict != spar.VerdictApplied {
		return nil
	}

	holder := lease.NewHolder(m, r.Replica, r.Sync, r.Caller, r.Clock, r.Record, r.Flaws)
	updater := lease.NewRowUpdater(m, holder, r.Replica, r.Table, r.Clock, r.Record)
	coordinator := plan.NewTakeoverCoordinator(
		self, r.witness, r.Replica, r.Sync, r.Table, r.Caller, r.Clock, r.Record, r.Flaws)
	detector := plan.NewFailureDetector(self, r.witness, coordinator, r.Replica, r.Caller, r.Clock, r.Record)
	r.setLease(holder, coordinator)

	return []func(context.Context){holder.Run, updater.Run, coordinator.Run, detector.Run}
}

func (r *Registrar) setLease(l spar.Lease, coordinator *plan.TakeoverCoordinator) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.lease, r.coordinator = l, coordinator
}

// ensureService writes the row of the service if there is none. It retries until the table answers, and returns an
// error if the row differs from s.
func (r *Registrar) ensureService(ctx context.Context, s spar.Service) error {
	key := fleet.ServiceKey(s.Name)

	for {
		row, ok, err := r.Table.Get(ctx, key)
		if err == nil && ok {
			r.Replica.Merge([]spar.Row{row}, 0)

			if known, _ := r.Replica.View().Service(s.Name); known != s {
				return fmt.Errorf("service %s is registered with other parameters: table %+v, announced %+v", s.Name, known, s)
			}

			return nil
		}

		if err == nil {
			r.Table.Commit(ctx, spar.Txn{
				Conditions: []spar.Condition{{Key: key}},
				Writes:     []spar.Write{{Key: key, Value: fleet.Encode(s)}},
			})
		}

		if !r.Clock.Sleep(ctx, registerRetryDelay/10) {
			return nil
		}
	}
}
