package plan

import (
	"context"
	"encoding/json"
	"maps"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/lease"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/table"
)

const (
	// maxFenceWait is the maximum time to wait for the promises of a majority of the witnesses. Witnesses of
	// another region may be some 100 ms away.
	maxFenceWait spar.Millis = 300
	// maxCommitAttempts is the maximum number of commit attempts for one batch. If all fail, the takeover
	// ends. Witnesses that still suspect the nodes then take over themselves.
	maxCommitAttempts = 5
	// batchDelay is the wait for further pending nodes. The leases of a lost zone's nodes expire within
	// one renewal interval (300 ms) of each other, so a few transactions take over all of them.
	batchDelay spar.Millis = 100
	// maxPending is the capacity of the channels requests and ready. Requests that do not fit are dropped;
	// witnesses that still suspect the node then take over themselves.
	maxPending int = 1024
)

// TakeoverCoordinator takes over suspected nodes. It fences each node's lease (a majority of its witnesses
// promise not to renew it), waits until the lease has expired, and commits one transaction that marks all ready
// nodes as lost and reassigns their slots.
type TakeoverCoordinator struct {
	self     spar.NodeID
	witness  *lease.Witness
	replica  *fleet.Replica
	rowSync  *fleet.Sync
	table    spar.Table
	caller   peers.Caller
	clock    spar.Clock
	recorder spar.Recorder
	writer   *table.Writer
	// flaws are the defects that tests inject.
	flaws flaw.Set

	requests chan spar.NodeID
	ready    chan fleet.Versioned[spar.Node]

	wg sync.WaitGroup

	mu      sync.Mutex
	pending map[spar.NodeID]bool
}

// NewTakeoverCoordinator returns the takeover coordinator that runs on node self.
func NewTakeoverCoordinator(
	self spar.NodeID, w *lease.Witness, r *fleet.Replica, s *fleet.Sync, t spar.Table, caller peers.Caller,
	clock spar.Clock, record spar.Recorder, flaws flaw.Set,
) *TakeoverCoordinator {
	return &TakeoverCoordinator{
		self: self, witness: w, replica: r, rowSync: s, table: t, caller: caller, clock: clock, recorder: record,
		writer: table.NewWriter(t, clock, self, "takeover"), flaws: flaws,
		requests: make(chan spar.NodeID, maxPending), ready: make(chan fleet.Versioned[spar.Node], maxPending),
		pending: map[spar.NodeID]bool{},
	}
}

// TakeOver queues the takeover of a node. It does nothing if the node is this one, its takeover is pending or the
// queue is full. If the takeover fails, witnesses that still suspect the node take over themselves, at growing
// intervals.
func (c *TakeoverCoordinator) TakeOver(id spar.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.pending[id] || id == c.self {
		return
	}

	select {
	case c.requests <- id:
		c.pending[id] = true
	default:
	}
}

// finish ends the takeover of a node, successful or not, so that TakeOver can queue it again.
func (c *TakeoverCoordinator) finish(id spar.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.pending, id)
}

// pendingNodes returns the nodes whose takeover is queued or in progress.
func (c *TakeoverCoordinator) pendingNodes() map[spar.NodeID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return maps.Clone(c.pending)
}

// Run handles takeovers until ctx ends.
func (c *TakeoverCoordinator) Run(ctx context.Context) {
	defer c.wg.Wait()

	c.wg.Go(func() { batcher{c}.loop(ctx) })

	for {
		select {
		case <-ctx.Done():
			return
		case id := <-c.requests:
			c.wg.Go(func() { takeover{c, id}.run(ctx) })
		}
	}
}

// takeover is the takeover of one node up to the expiry of its lease.
type takeover struct {
	coordinator *TakeoverCoordinator
	id          spar.NodeID
}

// run fences the node's lease, waits until it has expired, and passes the node to the batcher.
func (o takeover) run(ctx context.Context) {
	c := o.coordinator

	n, ok := c.readNode(ctx, o.id)
	if !ok || n.Value.State == spar.NodeLost || len(n.Value.Witnesses) == 0 {
		c.finish(o.id)

		return
	}

	remaining, ok := c.fence(ctx, n)
	if !ok {
		c.finish(o.id)

		return
	}

	c.recorder.Record(spar.Event{Kind: spar.EventFenced, Peer: o.id, Revision: n.Revision})

	wait := spar.ExpiryWait(remaining)
	if c.flaws.NoClockMargin {
		wait = remaining
	}

	if c.flaws.NoLeaseWait {
		wait = 0
	}

	if !c.clock.Sleep(ctx, wait) {
		return
	}

	select {
	case c.ready <- n:
	case <-ctx.Done():
	}
}

// readNode reads a node's row from the table and adds it to the replica. It returns false if the table does not
// answer; the caller then does not fence, so that no live node loses its lease in an outage of the table.
func (c *TakeoverCoordinator) readNode(ctx context.Context, id spar.NodeID) (fleet.Versioned[spar.Node], bool) {
	row, ok, err := c.table.Get(ctx, fleet.NodeKey(id))
	if err != nil || !ok {
		return fleet.Versioned[spar.Node]{}, false
	}

	c.replica.Merge([]spar.Row{row}, 0)

	n := fleet.Versioned[spar.Node]{Revision: row.Revision}

	return n, json.Unmarshal(row.Value, &n.Value) == nil
}

// fence asks all witnesses in a node's row not to renew its lease any more. Once a majority has promised, it returns
// the longest remaining time of the grants of those that did. That is enough, because a lease is valid only while
// the grants of a majority are, and two majorities share a witness. It returns false if there is no majority within
// maxFenceWait.
func (c *TakeoverCoordinator) fence(ctx context.Context, n fleet.Versioned[spar.Node]) (spar.Millis, bool) {
	witnesses := n.Value.Witnesses
	results := make(chan lease.FenceResult, len(witnesses))

	for _, id := range witnesses {
		f := fenceCall{coordinator: c, params: lease.FenceParams{Node: n.Value.ID, Revision: n.Revision, Witness: id}}
		c.wg.Go(func() { f.run(ctx, results) })
	}

	var remaining spar.Millis

	promised := 0

	timeout := c.clock.Timer(maxFenceWait)
	defer timeout.Stop()

	for range witnesses {
		select {
		case <-timeout.C:
			return 0, false
		case r := <-results:
			if !r.Promised {
				continue
			}

			remaining = max(remaining, r.Remaining)

			if promised++; promised > len(witnesses)/2 {
				return remaining, true
			}
		}
	}

	return 0, false
}

// fenceCall is a call of the RPC method lease.MethodFence to one witness.
type fenceCall struct {
	coordinator *TakeoverCoordinator
	params      lease.FenceParams
}

// run calls the witness and sends its result to results. A failed call counts as no promise.
func (f fenceCall) run(ctx context.Context, results chan<- lease.FenceResult) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()

	var result lease.FenceResult

	c := f.coordinator

	switch w, ok := c.replica.View().Node(f.params.Witness); {
	case f.params.Witness == c.self:
		result, _ = c.witness.Fence(ctx, f.params)
	case ok:
		if err := c.caller.Call(ctx, w.Value.PeerAddr, lease.MethodFence, f.params, &result); err != nil {
			result = lease.FenceResult{}
		}
	}

	results <- result
}

// batcher commits the takeovers that are ready.
type batcher struct {
	coordinator *TakeoverCoordinator
}

func (b batcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-b.coordinator.ready:
			b.commit(ctx, b.collect(ctx, n))
		}
	}
}

// collect returns first and all other nodes that are ready. If further takeovers are pending, it first waits
// batchDelay.
func (b batcher) collect(ctx context.Context, first fleet.Versioned[spar.Node]) []fleet.Versioned[spar.Node] {
	if len(b.coordinator.pendingNodes()) > 1 {
		b.coordinator.clock.Sleep(ctx, batchDelay)
	}

	batch := []fleet.Versioned[spar.Node]{first}

	for {
		select {
		case n := <-b.coordinator.ready:
			batch = append(batch, n)
		default:
			return batch
		}
	}
}

// commit commits one transaction for the batch. After a rejection it drops the nodes whose row has changed
// and retries. A fence does not expire, so a retry does not wait for the leases again, only for the backoff. It gives
// up after a timeout or if the table does not answer.
func (b batcher) commit(ctx context.Context, batch []fleet.Versioned[spar.Node]) {
	c := b.coordinator

	// All nodes stay pending until the end, also those dropped from the batch.
	for _, n := range batch {
		defer c.finish(n.Value.ID)
	}

	delay := backoff{}

	for range maxCommitAttempts {
		if len(batch) == 0 || ctx.Err() != nil {
			return
		}

		txn := takeoverTxn(c.replica.View(), batch, c.pendingNodes())
		if c.flaws.Unconditional {
			// The conditions on the rows of the batch come first.
			txn.Conditions = txn.Conditions[len(batch):]
		}

		result, timedOut := c.send(ctx, txn)
		if result.Verdict == spar.VerdictApplied {
			b.announce(ctx, batch, fleet.RowsOf(txn, result.Revision))

			return
		}

		now := c.clock.Now()
		if delay = delay.afterFailure(now); timedOut || !c.clock.Sleep(ctx, delay.retryAt-now) || !c.rowSync.Scan(ctx) {
			return
		}

		batch = b.dropChanged(batch)
	}
}

// send commits a transaction and reports whether commitTimeout has passed or ctx has ended; the verdict may then be
// unknown. The writer resolves it before it sends the next transaction, so later takeovers remain possible.
func (c *TakeoverCoordinator) send(ctx context.Context, txn spar.Txn) (spar.Commit, bool) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()

	result := c.writer.Commit(ctx, txn)

	return result, ctx.Err() != nil
}

// dropChanged drops the nodes whose row is no longer at the revision that was fenced, and returns the others.
func (b batcher) dropChanged(batch []fleet.Versioned[spar.Node]) []fleet.Versioned[spar.Node] {
	var kept []fleet.Versioned[spar.Node]

	for _, n := range batch {
		if current, _ := b.coordinator.replica.View().Node(n.Value.ID); current.Revision == n.Revision ||
			b.coordinator.flaws.Unconditional {
			kept = append(kept, n)
		}
	}

	return kept
}

// announce records the takeovers as events and pushes the new rows to the other nodes.
func (b batcher) announce(ctx context.Context, batch []fleet.Versioned[spar.Node], rows []spar.Row) {
	revision := rows[0].Revision
	for _, n := range batch {
		b.coordinator.recorder.Record(spar.Event{
			Kind: spar.EventTakeover, Peer: n.Value.ID, Service: n.Value.Service, Revision: revision,
		})
	}

	b.coordinator.wg.Go(func() { b.coordinator.rowSync.Push(ctx, b.coordinator.self, rows) })
}
