package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/agent"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/table"
)

var testService = spar.Service{Name: "pledge-desk", Mode: spar.ModeKeyed, Slots: 48}

// testConfig configures a cluster. The function drift returns the clock error of node i.
type testConfig struct {
	nodes int
	lease string
	flaws flaw.Set
	drift func(i int) fault.Drift
	seed  uint64
}

// cluster is a fleet of registrars over a fake network, without the request path.
type cluster struct {
	testConfig

	net     *fault.Net
	history *history
	store   *fault.Store
	oracle  *oracle
	ctx     context.Context //nolint:containedctx // it bounds the life of all nodes.
	nodes   []*node
}

// node is one running node process. In cluster.nodes it is nil while the process does not run.
type node struct {
	vm      *fault.VM
	replica *fleet.Replica
	reg     *agent.Registrar
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

func host(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// withCluster runs f in virtual time on a cluster in which each slot has an owner with a lease. It returns the
// violations that the oracle found.
func withCluster(t *testing.T, cfg testConfig, f func(c *cluster)) []string {
	t.Helper()

	var violations []string

	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		history := &history{Table: table.NewMemory(), commits: map[spar.Revision]spar.Txn{}}
		c := &cluster{
			testConfig: cfg, net: fault.NewNet(cfg.seed), history: history, store: fault.NewStore(history), ctx: ctx,
			nodes: make([]*node, cfg.nodes),
		}
		c.oracle = newOracle(c, history)

		var wg sync.WaitGroup

		wg.Go(func() { c.oracle.loop(ctx) })

		c.assign("nobody")

		for i := range c.nodes {
			c.start(i)
		}

		time.Sleep(3 * time.Second)
		c.assign("")

		if !c.waitHeld(5 * time.Second) {
			t.Fatalf("slots without an owner after the start: %s", c.describe())
		}

		f(c)

		violations = c.oracle.result()

		cancel()
		c.net.Close()

		for i := range c.nodes {
			c.kill(i)
		}

		wg.Wait()
		// Virtual time ends with this function, so wait for the calls in flight.
		time.Sleep(5 * time.Second)
	})

	return violations
}

// assign sets the owner of all slots. A nonexistent owner keeps the planner from assigning slots before all nodes
// are live.
func (c *cluster) assign(owner spar.NodeID) {
	key := fleet.SegmentKey(testService.Name, 0)
	g := spar.NewSegment(testService, 0)

	if row, ok, _ := c.history.Get(c.ctx, key); ok {
		_ = json.Unmarshal(row.Value, &g)
	}

	for i, a := range g.Slots {
		g.Slots[i] = a.WithTakeover(owner)
	}

	c.history.Commit(c.ctx, spar.Txn{Writes: []spar.Write{{Key: key, Value: fleet.Encode(g)}}})
}

// start starts node i.
func (c *cluster) start(i int) {
	d := fault.Drift{Offset: spar.Millis(1000 * (i + 1))}
	if c.drift != nil {
		d = c.drift(i)
	}

	n := &node{vm: c.net.VM(host(i), d), replica: fleet.NewReplica()}
	ctx, cancel := context.WithCancel(c.ctx)
	pool := peers.NewPool(n.vm.Dial, &peers.Traffic{})
	caller, store, clock := n.vm.Caller(pool), n.vm.Table(c.store), n.vm.Clock()
	rowSync := fleet.NewSync(n.replica, store, caller, clock, c.oracle)

	n.reg = agent.NewRegistrar(agent.RegistrarDeps{
		Clock: clock, Table: store, Caller: caller, Replica: n.replica, Sync: rowSync, Record: c.oracle,
		NewInstanceID: func() string { return c.oracle.newInstanceID(i) }, LeaseMode: c.lease, Flaws: c.flaws,
	})

	mux := peers.NewMux()
	rowSync.Register(mux)
	n.reg.Register(mux)

	addr := host(i) + ":7000"
	row := spar.Node{
		VM: fmt.Sprintf("vm%02d", i), Service: testService.Name, Zone: spar.Zone([]string{"a", "b", "c"}[i%3]), Region: "r",
		PeerAddr: addr, Capacity: spar.Capacity{Slots: 10, Conns: 130},
	}
	ln := n.vm.Listen(addr)

	n.wg.Go(func() { _ = peers.NewServer(mux, &peers.Traffic{}).Serve(ctx, ln) })
	n.wg.Go(func() { rowSync.Run(ctx) })
	n.wg.Go(func() { _ = n.reg.Run(ctx, row, testService) })

	n.cancel = func() {
		cancel()
		pool.Close()
	}
	c.setNode(i, n)
}

// setNode sets node i, or nil if it does not run. It holds the oracle's mutex, because the oracle reads the nodes.
func (c *cluster) setNode(i int, n *node) {
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()

	c.nodes[i] = n
}

// kill stops a node at once, without a shutdown, and waits for its goroutines.
func (c *cluster) kill(i int) {
	n := c.nodes[i]
	if n == nil {
		return
	}

	c.setNode(i, nil)

	n.cancel()
	n.vm.Kill()
	n.wg.Wait()
}

// partition cuts the links between a node and others in both directions.
func (c *cluster) partition(i int, others ...int) {
	for _, j := range others {
		c.net.Partition(host(i), host(j))
	}
}

// index returns the index of the running node with an id, or -1 if there is none.
func (c *cluster) index(id spar.NodeID) int {
	for i, n := range c.nodes {
		if n != nil && n.reg.ID() == id {
			return i
		}
	}

	return -1
}

// witnesses returns the indices of a node's witnesses in the order of its row.
func (c *cluster) witnesses(i int) []int {
	self, _ := c.nodes[i].reg.Member().Self()

	indices := make([]int, 0, len(self.Witnesses))
	for _, id := range self.Witnesses {
		indices = append(indices, c.index(id))
	}

	return indices
}

// coordinator returns the index of the node that takes over the victim: the first one outside its zone.
func (c *cluster) coordinator() int {
	for i := range c.nodes {
		if i%3 != victim%3 {
			return i
		}
	}

	return -1
}

// row returns a node's row in the table and its revision.
func (c *cluster) row(id spar.NodeID) (spar.Node, spar.Revision) {
	row, _, _ := c.history.Get(c.ctx, fleet.NodeKey(id))

	var n spar.Node
	_ = json.Unmarshal(row.Value, &n)

	return n, row.Revision
}

// waitFenced waits until a takeover coordinator has fenced a node at a majority of its witnesses.
func (c *cluster) waitFenced(id spar.NodeID) {
	for !c.oracle.fenced(id) {
		time.Sleep(time.Millisecond)
	}
}

// waitHeld waits until each slot has an owner with a lease. It returns false if this takes longer than d.
func (c *cluster) waitHeld(d time.Duration) bool {
	for started := time.Now(); time.Since(started) <= d; time.Sleep(time.Millisecond) {
		if c.oracle.unheld() == 0 {
			return true
		}
	}

	return false
}

// describe returns the state of the nodes and the latest events for messages of failed tests.
func (c *cluster) describe() string {
	var b strings.Builder

	for i, n := range c.nodes {
		if n == nil || n.reg.Member() == nil {
			continue
		}

		self, revision := n.reg.Member().Self()
		fmt.Fprintf(&b, "\n%d: %s %s@%d lease left %.0f owns %d %v", i, self.ID, self.State, revision,
			n.reg.Until()-n.vm.PeekClock(), len(owned(n.replica.View(), self.ID)), self.Witnesses)
	}

	return b.String() + "\n" + c.oracle.tail()
}

func witnessConfig(seed uint64) testConfig {
	return testConfig{nodes: 8, lease: config.LeaseWitness, seed: seed}
}
