package plan

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/lease"
	"sardinespar.example/spar/peers"
)

// MethodSuspect asks a node to take over a suspected one.
const MethodSuspect = "lease.suspect"

const (
	detectInterval spar.Millis = 50
	// maxSuspectWait is how long a witness waits for an answer from the node that it asks for a takeover.
	maxSuspectWait spar.Millis = 150
	// callTimeout bounds a call. It is longer than the waits for an answer, because a call that times out
	// closes a connection that lease renewals use too.
	callTimeout spar.Millis = 700
	// takeoverRetryDelay is the delay after which a witness takes over a node itself if the node that it
	// asked has not done so. By then the lease of 1 s has expired and the transaction should be visible.
	takeoverRetryDelay spar.Millis = 700
)

// SuspectParams are the parameters of lease.suspect: a suspected node and the revision of its row.
type SuspectParams struct {
	Node     spar.NodeID   `json:"node"`
	Revision spar.Revision `json:"revision"`
}

// RegisterSuspect adds the method by which witnesses ask for a takeover. current returns the takeover
// coordinator of the current registration, or nil if there is none.
func RegisterSuspect(m *peers.Mux, current func() *TakeoverCoordinator) {
	peers.Handle(m, MethodSuspect, func(_ context.Context, p SuspectParams) (fleet.Empty, error) {
		if c := current(); c != nil {
			c.TakeOver(p.Node)
		}

		return fleet.Empty{}, nil
	})
}

// FailureDetector watches the nodes for which this node is a witness. All witnesses of a lost zone ask the
// same node to take over the whole zone, because transactions of several takeover coordinators on the same
// segments of the map would conflict.
type FailureDetector struct {
	self        spar.NodeID
	witness     *lease.Witness
	coordinator *TakeoverCoordinator
	replica     *fleet.Replica
	caller      peers.Caller
	clock       spar.Clock
	record      spar.Recorder

	// retries holds the delay before the next attempt to take over each suspected node.
	retries map[spar.NodeID]backoff
	wg      sync.WaitGroup
}

// NewFailureDetector returns the failure detector of one node.
func NewFailureDetector(
	self spar.NodeID, w *lease.Witness, c *TakeoverCoordinator, r *fleet.Replica, caller peers.Caller, clock spar.Clock,
	record spar.Recorder,
) *FailureDetector {
	return &FailureDetector{
		self: self, witness: w, coordinator: c, replica: r, caller: caller, clock: clock, record: record,
		retries: map[spar.NodeID]backoff{},
	}
}

// Run watches the nodes until ctx ends.
func (d *FailureDetector) Run(ctx context.Context) {
	d.loop(ctx)
}

func (d *FailureDetector) loop(ctx context.Context) {
	defer d.wg.Wait()

	for d.clock.Sleep(ctx, detectInterval) {
		suspects := d.witness.Suspects()
		ids := map[spar.NodeID]bool{}

		for _, n := range suspects {
			ids[n.Value.ID] = true
		}

		for id := range d.retries {
			if !ids[id] {
				delete(d.retries, id)
			}
		}

		for _, n := range suspects {
			d.suspect(ctx, n, ids)
		}
	}
}

// suspect asks the chosen coordinator for the takeover the first time, and takes over itself after that.
func (d *FailureDetector) suspect(ctx context.Context, n fleet.Versioned[spar.Node], suspects map[spar.NodeID]bool) {
	id, now := n.Value.ID, d.clock.Now()
	last := d.retries[id]

	if now < last.retryAt {
		return
	}

	if last.delay > 0 {
		d.retries[id] = last.afterFailure(now)
		d.coordinator.TakeOver(id)

		return
	}

	d.retries[id] = backoff{delay: takeoverRetryDelay, retryAt: now + takeoverRetryDelay}
	d.record.Record(spar.Event{Kind: spar.EventSuspected, Peer: id, Revision: n.Revision})

	to, ok := d.chooseCoordinator(n.Value, suspects)
	if !ok || to.ID == d.self {
		d.coordinator.TakeOver(id)

		return
	}

	request := takeoverRequest{detector: d, to: to, params: SuspectParams{Node: id, Revision: n.Revision}}
	d.wg.Go(func() { request.run(ctx) })
}

// chooseCoordinator returns the live node with the lowest id that is outside the suspect's zone and not
// suspected itself.
func (d *FailureDetector) chooseCoordinator(suspect spar.Node, suspects map[spar.NodeID]bool) (spar.Node, bool) {
	for _, n := range d.replica.View().Nodes() {
		if n.State == spar.NodeLive && n.Zone != suspect.Zone && !suspects[n.ID] {
			return n, true
		}
	}

	return spar.Node{}, false
}

// takeoverRequest is a request to a node to take over another one.
type takeoverRequest struct {
	detector *FailureDetector
	to       spar.Node
	params   SuspectParams
}

// run sends the request. If it fails or has no answer within maxSuspectWait, this node takes over itself.
func (r takeoverRequest) run(ctx context.Context) {
	d := r.detector
	answered := make(chan error, 1)

	d.wg.Go(func() { answered <- r.call(ctx) })

	timeout := d.clock.Timer(maxSuspectWait)
	defer timeout.Stop()

	select {
	case err := <-answered:
		if err == nil {
			return
		}
	case <-timeout.C:
	case <-ctx.Done():
		return
	}

	d.coordinator.TakeOver(r.params.Node)
}

func (r takeoverRequest) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()

	var result fleet.Empty

	return r.detector.caller.Call(ctx, r.to.PeerAddr, MethodSuspect, r.params, &result)
}
