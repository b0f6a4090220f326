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
	// fenceTimeout is how long a taker waits for promises. Witnesses of another region may be some
	// 100 ms away.
	fenceTimeout spar.Millis = 300
	// takeAttempts bounds the transactions for one batch; the witnesses ask again after that.
	takeAttempts = 5
	// batchPause gathers further pending nodes: the leases of a lost zone's nodes end spread over one
	// renewal, 300 ms, so that a few transactions take them all.
	batchPause spar.Millis = 100
	// queueNodes bounds the nodes taken over at once; the witnesses ask again for the others.
	queueNodes int = 1024
)

// Taker takes over lost nodes: it fences their leases, waits until these have ended, and commits
// one transaction for all nodes that are ready together.
type Taker struct {
	self    spar.NodeID
	witness *lease.Witness
	replica *fleet.Replica
	spread  *fleet.Sync
	table   spar.Table
	calls   peers.Caller
	clock   spar.Clock
	record  spar.Recorder
	writer  *table.Writer
	flaws   flaw.Set

	inbox chan spar.NodeID
	ready chan fleet.Versioned[spar.Node]

	wg sync.WaitGroup

	mu      sync.Mutex
	pending map[spar.NodeID]bool
}

// NewTaker returns the taker of one node.
func NewTaker(
	self spar.NodeID, w *lease.Witness, r *fleet.Replica, s *fleet.Sync, t spar.Table, calls peers.Caller,
	clock spar.Clock, record spar.Recorder, flaws flaw.Set,
) *Taker {
	return &Taker{
		self: self, witness: w, replica: r, spread: s, table: t, calls: calls, clock: clock, record: record,
		writer: table.NewWriter(t, clock, self, "takeover"), flaws: flaws,
		inbox: make(chan spar.NodeID, queueNodes), ready: make(chan fleet.Versioned[spar.Node], queueNodes),
		pending: map[spar.NodeID]bool{},
	}
}

// Take begins the takeover of a node unless one is under way. The witnesses ask again if it fails.
func (k *Taker) Take(id spar.NodeID) {
	k.mu.Lock()
	defer k.mu.Unlock()

	if k.pending[id] || id == k.self {
		return
	}

	select {
	case k.inbox <- id:
		k.pending[id] = true
	default:
	}
}

func (k *Taker) done(id spar.NodeID) {
	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.pending, id)
}

func (k *Taker) suspected() map[spar.NodeID]bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return maps.Clone(k.pending)
}

// Run takes over until ctx ends.
func (k *Taker) Run(ctx context.Context) {
	defer k.wg.Wait()

	k.wg.Go(func() { batcher{k}.loop(ctx) })

	for {
		select {
		case <-ctx.Done():
			return
		case id := <-k.inbox:
			k.wg.Go(func() { takeover{k, id}.run(ctx) })
		}
	}
}

// takeover is the takeover of one node up to the end of its lease.
type takeover struct {
	taker *Taker
	id    spar.NodeID
}

func (o takeover) run(ctx context.Context) {
	k := o.taker

	n, ok := k.read(ctx, o.id)
	if !ok || n.Value.State == spar.NodeLost || len(n.Value.Witnesses) == 0 {
		k.done(o.id)

		return
	}

	left, ok := k.fence(ctx, n)
	if !ok {
		k.done(o.id)

		return
	}

	k.record.Record(spar.Event{Kind: spar.EventFenced, Peer: o.id, Revision: n.Revision})

	wait := spar.WaitFor(left)
	if k.flaws.NoMargin {
		wait = left
	}

	if k.flaws.NoWait {
		wait = 0
	}

	if !k.clock.Sleep(ctx, wait) {
		return
	}

	select {
	case k.ready <- n:
	case <-ctx.Done():
	}
}

// read returns a node's row from the table. Without an answer nothing is fenced, so that an outage
// of the table costs no live node its lease.
func (k *Taker) read(ctx context.Context, id spar.NodeID) (fleet.Versioned[spar.Node], bool) {
	row, ok, err := k.table.Get(ctx, fleet.NodeKey(id))
	if err != nil || !ok {
		return fleet.Versioned[spar.Node]{}, false
	}

	k.replica.Merge([]spar.Row{row}, 0)

	n := fleet.Versioned[spar.Node]{Revision: row.Revision}

	return n, json.Unmarshal(row.Value, &n.Value) == nil
}

// fence asks all witnesses of a node's row for a promise. With a majority it returns the longest
// time left among those that promised.
func (k *Taker) fence(ctx context.Context, n fleet.Versioned[spar.Node]) (spar.Millis, bool) {
	witnesses := n.Value.Witnesses
	results := make(chan lease.FenceResult, len(witnesses))

	for _, id := range witnesses {
		f := fence{taker: k, params: lease.FenceParams{Node: n.Value.ID, Revision: n.Revision, Witness: id}}
		k.wg.Go(func() { f.run(ctx, results) })
	}

	var left spar.Millis

	promised := 0

	patience := k.clock.Timer(fenceTimeout)
	defer patience.Stop()

	for range witnesses {
		select {
		case <-patience.C:
			return 0, false
		case r := <-results:
			if !r.Promised {
				continue
			}

			left = max(left, r.Left)

			if promised++; promised > len(witnesses)/2 {
				return left, true
			}
		}
	}

	return 0, false
}

// fence is one message to one witness.
type fence struct {
	taker  *Taker
	params lease.FenceParams
}

func (f fence) run(ctx context.Context, results chan<- lease.FenceResult) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()

	var result lease.FenceResult

	k := f.taker

	switch w, ok := k.replica.View().Node(f.params.Witness); {
	case f.params.Witness == k.self:
		result, _ = k.witness.Fence(ctx, f.params)
	case ok:
		if err := k.calls.Call(ctx, w.Value.PeerAddr, lease.MethodFence, f.params, &result); err != nil {
			result = lease.FenceResult{}
		}
	}

	results <- result
}

// batcher commits the takeovers that are ready.
type batcher struct {
	taker *Taker
}

func (b batcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-b.taker.ready:
			b.commit(ctx, b.gather(ctx, n))
		}
	}
}

// gather returns the nodes that are ready together with the first one. It waits for others only if
// some are pending.
func (b batcher) gather(ctx context.Context, first fleet.Versioned[spar.Node]) []fleet.Versioned[spar.Node] {
	if len(b.taker.suspected()) > 1 {
		b.taker.clock.Sleep(ctx, batchPause)
	}

	batch := []fleet.Versioned[spar.Node]{first}

	for {
		select {
		case n := <-b.taker.ready:
			batch = append(batch, n)
		default:
			return batch
		}
	}
}

// commit commits one transaction for the batch. After a rejection it leaves out the nodes whose row
// has moved on. A promise to fence has no end, so a later attempt needs no further wait.
func (b batcher) commit(ctx context.Context, batch []fleet.Versioned[spar.Node]) {
	k := b.taker

	for _, n := range batch {
		defer k.done(n.Value.ID)
	}

	pause := backoff{}

	for range takeAttempts {
		if len(batch) == 0 || ctx.Err() != nil {
			return
		}

		txn := takeoverTxn(k.replica.View(), batch, k.suspected())
		if k.flaws.Unconditional {
			txn.Conditions = txn.Conditions[len(batch):]
		}

		c, ended := k.send(ctx, txn)
		if c.Verdict == spar.Applied {
			b.announce(ctx, batch, fleet.RowsOf(txn, c.Revision))

			return
		}

		now := k.clock.Now()
		if pause = pause.failed(now); ended || !k.clock.Sleep(ctx, pause.due-now) || !k.spread.Scan(ctx) {
			return
		}

		batch = b.still(batch)
	}
}

// send commits a transaction within a time limit, so that the next one, which settles it first, can
// take further nodes.
func (k *Taker) send(ctx context.Context, txn spar.Txn) (spar.Commit, bool) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()

	c := k.writer.Commit(ctx, txn)

	return c, ctx.Err() != nil
}

// still returns the nodes whose row is as it was when it was fenced.
func (b batcher) still(batch []fleet.Versioned[spar.Node]) []fleet.Versioned[spar.Node] {
	var rest []fleet.Versioned[spar.Node]

	for _, n := range batch {
		if now, _ := b.taker.replica.View().Node(n.Value.ID); now.Revision == n.Revision || b.taker.flaws.Unconditional {
			rest = append(rest, n)
		}
	}

	return rest
}

func (b batcher) announce(ctx context.Context, batch []fleet.Versioned[spar.Node], rows []spar.Row) {
	revision := rows[0].Revision
	for _, n := range batch {
		b.taker.record.Record(spar.Event{
			Kind: spar.EventTakeover, Peer: n.Value.ID, Service: n.Value.Service, Revision: revision,
		})
	}

	b.taker.wg.Go(func() { b.taker.spread.Push(ctx, b.taker.self, rows) })
}
