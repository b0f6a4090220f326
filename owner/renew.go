package owner

import (
	"context"
	"encoding/json"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/peers"
)

// The lease renewals of a service go through one of its nodes, the batching node, which puts them into few
// transactions, so that the store's load does not grow with the number of nodes. If that fails, each node renews
// its lease individually.

const (
	// methodRenew requests that the batching node renew the caller's lease together with others.
	methodRenew = "owner.renew"
	// batchWindow is how long the first renewal of a transaction waits for others. Nodes that shared a transaction
	// renew at the same time from then on.
	batchWindow spar.Millis = 200
	// maxBatch is the maximum number of renewals in one transaction; each takes two of the 100 entries that the
	// store allows.
	maxBatch = 50
	// batchCallMargin is the time allowed for the round trip to the batching node.
	batchCallMargin spar.Millis = 200
	// individualPeriod is how long a node renews its lease individually after the batching node failed.
	individualPeriod spar.Millis = 4000
)

// renewal is a request to replace the row of a lease at a revision.
type renewal struct {
	Key      string          `json:"key"`
	Revision spar.Revision   `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// renewalReply is the result of a renewal.
type renewalReply struct {
	Verdict  spar.Verdict  `json:"verdict"`
	Revision spar.Revision `json:"revision"`
	Now      spar.Millis   `json:"now_ms"`
}

// pendingRenewal is a renewal that waits for its transaction.
type pendingRenewal struct {
	renewal

	done chan spar.Commit
}

// renewalBatcher collects renewals and commits them in shared transactions.
type renewalBatcher struct {
	clock    spar.Clock
	commit   func(ctx context.Context, txn spar.Txn) spar.Commit
	requests chan pendingRenewal
}

// renew adds a renewal to the next transaction and waits for its result.
func (b *renewalBatcher) renew(ctx context.Context, r renewal) spar.Commit {
	w := pendingRenewal{renewal: r, done: make(chan spar.Commit, 1)}

	select {
	case b.requests <- w:
	case <-ctx.Done():
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	select {
	case c := <-w.done:
		return c
	case <-ctx.Done():
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}
}

// loop collects and sends renewals until ctx ends.
func (b *renewalBatcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-b.requests:
			b.send(ctx, b.collect(ctx, w))
		}
	}
}

// collect returns a renewal together with those that arrive within batchWindow after it.
func (b *renewalBatcher) collect(ctx context.Context, first pendingRenewal) []pendingRenewal {
	t := b.clock.Timer(batchWindow)
	defer t.Stop()

	batch := []pendingRenewal{first}

	for len(batch) < maxBatch {
		select {
		case <-ctx.Done():
			return batch
		case w := <-b.requests:
			batch = append(batch, w)
		case <-t.C:
			return batch
		}
	}

	return batch
}

// send commits renewals in one transaction. If one conflicts, its result is returned, and the others are retried
// without it.
func (b *renewalBatcher) send(ctx context.Context, batch []pendingRenewal) {
	for len(batch) > 0 {
		var txn spar.Txn
		for _, w := range batch {
			txn.Conditions = append(txn.Conditions, spar.Condition{Key: w.Key, Revision: w.Revision})
			txn.Writes = append(txn.Writes, spar.Write{Key: w.Key, Value: w.Value})
		}

		result := b.commit(ctx, txn)

		rest := batch[:0:0]

		for _, w := range batch {
			if result.Verdict == spar.VerdictRejected && result.Conflict != w.Key {
				rest = append(rest, w)

				continue
			}

			w.done <- result
		}

		if len(rest) == len(batch) {
			// The store reported a conflict that is not in this transaction.
			for _, w := range rest {
				w.done <- spar.Commit{Verdict: spar.VerdictUnknown}
			}

			return
		}

		batch = rest
	}
}

// registerRenew serves the renewals of other nodes.
func (o *Owner) registerRenew(mux *peers.Mux) {
	peers.Handle(mux, methodRenew, func(ctx context.Context, r renewal) (renewalReply, error) {
		c := o.batcher.renew(ctx, r)

		return renewalReply{Verdict: c.Verdict, Revision: c.Revision, Now: c.Now}, nil
	})
}

// batchingNode returns the node that batches the renewals of this node's service: the live one with the lowest name.
// self is true if it is this node. If two nodes choose differently, that only costs an additional transaction.
func (o *Owner) batchingNode() (p mesh.Peer, self bool) {
	now := o.deps.Clock.Now()
	timeout := o.deps.Mesh.LivenessTimeout()
	self = true

	for _, peer := range o.deps.Mesh.Peers() {
		if peer.Service != o.cfg.Service || peer.Leaving || peer.LastHeard == 0 || !peer.Alive(now, timeout) {
			continue
		}

		if peer.Node < o.cfg.Node && (self || peer.Node < p.Node) {
			p, self = peer, false
		}
	}

	return p, self
}

// commitRenewal renews this node's lease together with others, or individually if that fails.
func (o *Owner) commitRenewal(ctx context.Context, r renewal, sent spar.Millis) spar.Commit {
	o.mu.Lock()
	individually := sent < o.individualUntil
	o.mu.Unlock()

	if individually {
		return o.renewIndividually(ctx, r)
	}

	p, self := o.batchingNode()
	if self {
		return o.updateClockFrom(sent, o.batcher.renew(ctx, r))
	}

	callCtx, cancel := context.WithTimeout(ctx, (batchWindow + o.cfg.StoreTimeout + batchCallMargin).Duration())
	defer cancel()

	var reply renewalReply

	err := o.deps.Peers.Call(callCtx, p.PeerAddr, methodRenew, r, &reply)
	if err == nil && (reply.Verdict == spar.VerdictApplied || reply.Verdict == spar.VerdictRejected) {
		return o.updateClockFrom(sent, spar.Commit{
			Verdict: reply.Verdict, Revision: reply.Revision, Now: reply.Now, Conflict: r.Key,
		})
	}

	o.deps.Log.Info("renewing lease individually", "gathering", p.Node, "verdict", reply.Verdict, "cause", err)
	o.mu.Lock()
	o.individualUntil = o.deps.Clock.Now() + individualPeriod
	o.mu.Unlock()

	return o.renewIndividually(ctx, r)
}

func (o *Owner) renewIndividually(ctx context.Context, r renewal) spar.Commit {
	return o.commit(ctx, spar.Txn{
		Conditions: []spar.Condition{{Key: r.Key, Revision: r.Revision}},
		Writes:     []spar.Write{{Key: r.Key, Value: r.Value}},
	})
}

// updateClockFrom updates the estimate of the table's clock from a result, and returns the result.
func (o *Owner) updateClockFrom(sent spar.Millis, c spar.Commit) spar.Commit {
	o.updateClock(sent, c.Now)

	return c
}
