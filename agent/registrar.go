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

const registerPause spar.Millis = 200

// Ownership are the parts that a registrar works with.
type Ownership struct {
	Clock       spar.Clock
	Table       spar.Table
	Calls       peers.Caller
	Replica     *fleet.Replica
	Spread      *fleet.Sync
	Record      spar.Recorder
	Incarnation func() string
	// Lease is the lease policy of config.
	Lease string
	// Flaws is for tests.
	Flaws flaw.Set
	// Registered is called with each new node id before its row is sent, if it is set.
	Registered func(spar.NodeID)
	// Holder replaces the lease policy in tests: it returns the lease holder of a registration.
	Holder func(*fleet.Member) Holder
}

// Holder holds the lease of a registration while it runs.
type Holder interface {
	spar.Lease
	Run(ctx context.Context)
}

// Registrar keeps a node registered, with its lease, witness, takeover of others and planner. When
// the node's row is lost, it registers again under a new incarnation.
type Registrar struct {
	Ownership

	witness *lease.Witness

	mu     sync.Mutex
	member *fleet.Member
	lease  spar.Lease
	taker  *plan.Taker
}

// NewRegistrar returns a registrar that is not running.
func NewRegistrar(o Ownership) *Registrar {
	return &Registrar{Ownership: o, witness: lease.NewWitness(o.Replica, o.Spread, o.Clock, o.Flaws)}
}

// Register adds the methods that peers call.
func (r *Registrar) Register(m *peers.Mux) {
	r.witness.Register(m)
	plan.RegisterSuspect(m, r.currentTaker)
}

// ID returns the node's current id, empty before the first registration.
func (r *Registrar) ID() spar.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.member == nil {
		return ""
	}

	return r.member.ID()
}

// Member returns the owner of the node's current row, nil before the first registration.
func (r *Registrar) Member() *fleet.Member {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.member
}

// Until returns the time on the local clock at which the lease of the current id ends.
func (r *Registrar) Until() spar.Millis {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.lease == nil {
		return 0
	}

	return r.lease.Until()
}

func (r *Registrar) currentTaker() *plan.Taker {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.taker
}

// Run keeps the node registered until ctx ends. It returns an error if the service has another
// shape than the given one.
func (r *Registrar) Run(ctx context.Context, node spar.Node, shape spar.Service) error {
	for !r.Spread.Scan(ctx) {
		if !r.Clock.Sleep(ctx, registerPause) {
			return nil
		}
	}

	if err := r.ensureService(ctx, shape); err != nil {
		return err
	}

	for ctx.Err() == nil {
		r.session(ctx, node)
		r.Clock.Sleep(ctx, registerPause)
	}

	return nil
}

// session keeps one registration until the node is lost or ctx ends.
func (r *Registrar) session(ctx context.Context, node spar.Node) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	member := r.begin(node)

	tasks := r.enter(ctx, member)
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

// begin gives the node a new id and returns the owner of its row, which is not in the table yet.
func (r *Registrar) begin(node spar.Node) *fleet.Member {
	node.ID = spar.NodeID(node.VM + "." + r.Incarnation())
	member := fleet.NewMember(node, r.Spread, r.Table, r.Clock)

	r.mu.Lock()
	r.member, r.lease, r.taker = member, nil, nil
	r.mu.Unlock()

	if r.Registered != nil {
		r.Registered(node.ID)
	}

	return member
}

// end forgets the registration; the node has no id until the next one.
func (r *Registrar) end() {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.member, r.lease, r.taker = nil, nil, nil
}

// enter writes the node's row and returns the tasks that run while it is registered, or none if
// the row could not be written.
func (r *Registrar) enter(ctx context.Context, m *fleet.Member) []func(context.Context) {
	var tasks []func(context.Context)

	if r.Holder != nil || r.Lease == config.LeaseTable {
		tasks = r.tableLease(ctx, m)
	} else {
		tasks = r.witnessLease(ctx, m)
	}

	if tasks == nil {
		return nil
	}

	node, _ := m.Self()
	r.Record.Record(spar.Event{Kind: spar.EventRegistered, Node: node.ID, Service: node.Service})

	planner := plan.NewPlanner(node.ID, r.Replica, r.Spread, r.Table, r.Clock, r.Record)

	return append(tasks, planner.Run, m.Announce)
}

// tableLease registers the node as live and returns the tasks of the table-lease baseline.
func (r *Registrar) tableLease(ctx context.Context, m *fleet.Member) []func(context.Context) {
	live := func(n spar.Node) spar.Node { return n.WithState(spar.NodeLive) }
	if c := m.Update(ctx, live); c.Verdict != spar.Applied {
		return nil
	}

	var holder Holder = lease.NewTableHolder(m, r.Clock)
	if r.Holder != nil {
		holder = r.Holder(m)
	}

	r.set(holder, nil)

	return []func(context.Context){holder.Run}
}

// witnessLease registers the node as joining, which it is until it holds a lease, and returns the
// tasks of witness leases.
func (r *Registrar) witnessLease(ctx context.Context, m *fleet.Member) []func(context.Context) {
	self := m.ID()
	r.witness.Serve(self)

	nobody := func(spar.NodeID) bool { return false }
	nodes := r.Replica.View().Nodes()

	c := m.Update(ctx, func(n spar.Node) spar.Node {
		return n.WithState(spar.NodeJoining).WithWitnesses(lease.ChooseWitnesses(n, nodes, nobody))
	})
	if c.Verdict != spar.Applied {
		return nil
	}

	holder := lease.NewHolder(m, r.Replica, r.Spread, r.Calls, r.Clock, r.Record, r.Flaws)
	keeper := lease.NewKeeper(m, holder, r.Replica, r.Table, r.Clock, r.Record)
	taker := plan.NewTaker(self, r.witness, r.Replica, r.Spread, r.Table, r.Calls, r.Clock, r.Record, r.Flaws)
	suspector := plan.NewSuspector(self, r.witness, taker, r.Replica, r.Calls, r.Clock, r.Record)
	r.set(holder, taker)

	return []func(context.Context){holder.Run, keeper.Run, taker.Run, suspector.Run}
}

func (r *Registrar) set(l spar.Lease, k *plan.Taker) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.lease, r.taker = l, k
}

// ensureService writes the service's shape if it has none yet.
func (r *Registrar) ensureService(ctx context.Context, s spar.Service) error {
	key := fleet.ServiceKey(s.Name)

	for {
		row, ok, err := r.Table.Get(ctx, key)
		if err == nil && ok {
			r.Replica.Merge([]spar.Row{row}, 0)

			if known, _ := r.Replica.View().Service(s.Name); known != s {
				return fmt.Errorf("service %s has another shape: table %+v, announced %+v", s.Name, known, s)
			}

			return nil
		}

		if err == nil {
			r.Table.Commit(ctx, spar.Txn{
				Conditions: []spar.Condition{{Key: key}},
				Writes:     []spar.Write{{Key: key, Value: fleet.Encode(s)}},
			})
		}

		if !r.Clock.Sleep(ctx, registerPause/10) {
			return nil
		}
	}
}
