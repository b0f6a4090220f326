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
	// maxFenceWait is how long a takeover waits for the promises of the witnesses. Witnesses of another
	// region may be some 100 ms away.
	maxFenceWait spar.Millis = 300
	// maxCommitAttempts bounds the transactions for one batch. After that the witnesses repeat their
	// requests.
	maxCommitAttempts = 5
	// batchDelay is the wait for further pending nodes. The leases of a lost zone's nodes expire spread
	// over one renewal interval, 300 ms, so a few transactions take over all of them.
	batchDelay spar.Millis = 100
	// maxPending bounds the nodes taken over at once. The witnesses repeat their requests for the others.
	maxPending int = 1024
)

// TakeoverCoordinator fences the leases of lost nodes, waits until they have expired, and commits one
// transaction for all nodes that are ready at the same time.
type TakeoverCoordinator struct {
	self    spar.NodeID
	witness *lease.Witness
	replica *fleet.Replica
	sync    *fleet.Sync
	table   spar.Table
	caller  peers.Caller
	clock   spar.Clock
	record  spar.Recorder
	writer  *table.Writer
	flaws   flaw.Set

	requests chan spar.NodeID
	ready    chan fleet.Versioned[spar.Node]

	wg sync.WaitGroup

	mu      sync.Mutex
	pending map[spar.NodeID]bool
}

// NewTakeoverCoordinator returns the takeover coordinator of one node.
func NewTakeoverCoordinator(
	self spar.NodeID, w *lease.Witness, r *fleet.Replica, s *fleet.Sync, t spar.Table, caller peers.Caller,
	clock spar.Clock, record spar.Recorder, flaws flaw.Set,
) *TakeoverCoordinator {
	return &TakeoverCoordinator{
		self: self, witness: w, replica: r, sync: s, table: t, caller: caller, clock: clock, record: record,
		writer: table.NewWriter(t, clock, self, "takeover"), flaws: flaws,
		requests: make(chan spar.NodeID, maxPending), ready: make(chan fleet.Versioned[spar.Node], maxPending),
		pending: map[spar.NodeID]bool{},
	}
}

// TakeOver begins the takeover of a node unless one is in progress. If it fails, the witnesses repeat
// their requests.
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

func (c *TakeoverCoordinator) finish(id spar.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.pending, id)
}

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

func (o takeover) run(ctx context.Context) {
	c := o.coordinator

	n, ok := c.read(ctx, o.id)
	if !ok || n.Value.State == spar.NodeLost || len(n.Value.Witnesses) == 0 {
		c.finish(o.id)

		return
	}

	remaining, ok := c.fence(ctx, n)
	if !ok {
		c.finish(o.id)

		return
	}

	c.record.Record(spar.Event{Kind: spar.EventFenced, Peer: o.id, Revision: n.Revision})

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

// read returns a node's row from the table. If the table does not answer, nothing is fenced, so that no
// live node loses its lease in an outage of the table.
func (c *TakeoverCoordinator) read(ctx context.Context, id spar.NodeID) (fleet.Versioned[spar.Node], bool) {
	row, ok, err := c.table.Get(ctx, fleet.NodeKey(id))
	if err != nil || !ok {
		return fleet.Versioned[spar.Node]{}, false
	}

	c.replica.Merge([]spar.Row{row}, 0)

	n := fleet.Versioned[spar.Node]{Revision: row.Revision}

	return n, json.Unmarshal(row.Value, &n.Value) == nil
}

// fence asks all witnesses in a node's row for a promise. Once a majority has promised, it returns the
// longest remaining time of their grants.
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

// fenceCall is a call of lease.fence to one witness.
type fenceCall struct {
	coordinator *TakeoverCoordinator
	params      lease.FenceParams
}

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

// collect returns the nodes that are ready together with the first one. It waits for others only if some
// are pending.
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

// commit commits one transaction for the batch. After a rejection it drops the nodes whose row has
// changed. A fence does not expire, so a later attempt needs no further wait.
func (b batcher) commit(ctx context.Context, batch []fleet.Versioned[spar.Node]) {
	c := b.coordinator

	for _, n := range batch {
		defer c.finish(n.Value.ID)
	}

	retry := backoff{}

	for range maxCommitAttempts {
		if len(batch) == 0 || ctx.Err() != nil {
			return
		}

		txn := takeoverTxn(c.replica.View(), batch, c.pendingNodes())
		if c.flaws.Unconditional {
			txn.Conditions = txn.Conditions[len(batch):]
		}

		result, ended := c.send(ctx, txn)
		if result.Verdict == spar.VerdictApplied {
			b.announce(ctx, batch, fleet.RowsOf(txn, result.Revision))

			return
		}

		now := c.clock.Now()
		if retry = retry.afterFailure(now); ended || !c.clock.Sleep(ctx, retry.retryAt-now) || !c.sync.Scan(ctx) {
			return
		}

		batch = b.unchanged(batch)
	}
}

// send commits a transaction and reports whether commitTimeout or ctx has ended. After a timeout other nodes
// can still be taken over, because the writer resolves this transaction before it sends the next one.
func (c *TakeoverCoordinator) send(ctx context.Context, txn spar.Txn) (spar.Commit, bool) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()

	result := c.writer.Commit(ctx, txn)

	return result, ctx.Err() != nil
}

// unchanged returns the nodes whose row is still at the revision that was fenced.
func (b batcher) unchanged(batch []fleet.Versioned[spar.Node]) []fleet.Versioned[spar.Node] {
	var kept []fleet.Versioned[spar.Node]

	for _, n := range batch {
		if current, _ := b.coordinator.replica.View().Node(n.Value.ID); current.Revision == n.Revision ||
			b.coordinator.flaws.Unconditional {
			kept = append(kept, n)
		}
	}

	return kept
}

func (b batcher) announce(ctx context.Context, batch []fleet.Versioned[spar.Node], rows []spar.Row) {
	revision := rows[0].Revision
	for _, n := range batch {
		b.coordinator.record.Record(spar.Event{
			Kind: spar.EventTakeover, Peer: n.Value.ID, Service: n.Value.Service, Revision: revision,
		})
	}

	b.coordinator.wg.Go(func() { b.coordinator.sync.Push(ctx, b.coordinator.self, rows) })
}
