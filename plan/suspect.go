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
	suspectInterval spar.Millis = 50
	// suspectTimeout is how long a witness waits for the node that it asks to take over.
	suspectTimeout spar.Millis = 150
	// callTimeout ends a call. It is longer than the waits for an answer, because a call that ends
	// early closes a connection that renewals use too.
	callTimeout spar.Millis = 700
	// suspectAgain is the pause before a witness takes over itself what it has asked another node
	// to: by then the lease of 1 s has ended and the transaction should be seen.
	suspectAgain spar.Millis = 700
)

// SuspectParams names a suspected node and the revision of its row.
type SuspectParams struct {
	Node     spar.NodeID   `json:"node"`
	Revision spar.Revision `json:"revision"`
}

// RegisterSuspect adds the method by which witnesses ask for a takeover; taker returns the taker of
// the current registration, nil if there is none.
func RegisterSuspect(m *peers.Mux, taker func() *Taker) {
	peers.Handle(m, MethodSuspect, func(_ context.Context, p SuspectParams) (fleet.Empty, error) {
		if k := taker(); k != nil {
			k.Take(p.Node)
		}

		return fleet.Empty{}, nil
	})
}

// Suspector watches the nodes that this one is a witness of. The witnesses of a lost zone ask one
// node to take over all of it, because transactions of many takers on the same segments of the map
// would reject each other.
type Suspector struct {
	self    spar.NodeID
	witness *lease.Witness
	taker   *Taker
	replica *fleet.Replica
	calls   peers.Caller
	clock   spar.Clock
	record  spar.Recorder

	again map[spar.NodeID]backoff
	wg    sync.WaitGroup
}

// NewSuspector returns the suspector of one node.
func NewSuspector(
	self spar.NodeID, w *lease.Witness, k *Taker, r *fleet.Replica, calls peers.Caller, clock spar.Clock,
	record spar.Recorder,
) *Suspector {
	return &Suspector{
		self: self, witness: w, taker: k, replica: r, calls: calls, clock: clock, record: record,
		again: map[spar.NodeID]backoff{},
	}
}

// Run watches until ctx ends.
func (s *Suspector) Run(ctx context.Context) {
	s.loop(ctx)
}

func (s *Suspector) loop(ctx context.Context) {
	defer s.wg.Wait()

	for s.clock.Sleep(ctx, suspectInterval) {
		suspects := s.witness.Suspects()
		current := map[spar.NodeID]bool{}

		for _, n := range suspects {
			current[n.Value.ID] = true
		}

		for id := range s.again {
			if !current[id] {
				delete(s.again, id)
			}
		}

		for _, n := range suspects {
			s.suspect(ctx, n, current)
		}
	}
}

// suspect asks the coordinator for the takeover the first time and takes over itself after that.
func (s *Suspector) suspect(ctx context.Context, n fleet.Versioned[spar.Node], current map[spar.NodeID]bool) {
	id, now := n.Value.ID, s.clock.Now()
	last := s.again[id]

	if now < last.due {
		return
	}

	if last.wait > 0 {
		s.again[id] = last.failed(now)
		s.taker.Take(id)

		return
	}

	s.again[id] = backoff{wait: suspectAgain, due: now + suspectAgain}
	s.record.Record(spar.Event{Kind: spar.EventSuspected, Peer: id, Revision: n.Revision})

	c, ok := s.coordinator(n.Value, current)
	if !ok || c.ID == s.self {
		s.taker.Take(id)

		return
	}

	request := request{suspector: s, to: c, params: SuspectParams{Node: id, Revision: n.Revision}}
	s.wg.Go(func() { request.run(ctx) })
}

// coordinator returns the live node with the lowest id outside the suspect's zone that is not
// suspected itself.
func (s *Suspector) coordinator(suspect spar.Node, current map[spar.NodeID]bool) (spar.Node, bool) {
	for _, n := range s.replica.View().Nodes() {
		if n.State == spar.NodeLive && n.Zone != suspect.Zone && !current[n.ID] {
			return n, true
		}
	}

	return spar.Node{}, false
}

// request asks a node to take over another one.
type request struct {
	suspector *Suspector
	to        spar.Node
	params    SuspectParams
}

// run takes over itself if the other node does not answer in time.
func (r request) run(ctx context.Context) {
	s := r.suspector
	answered := make(chan error, 1)

	s.wg.Go(func() { answered <- r.call(ctx) })

	patience := s.clock.Timer(suspectTimeout)
	defer patience.Stop()

	select {
	case err := <-answered:
		if err == nil {
			return
		}
	case <-patience.C:
	case <-ctx.Done():
		return
	}

	s.taker.Take(r.params.Node)
}

func (r request) call(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()

	var result fleet.Empty

	return r.suspector.calls.Call(ctx, r.to.PeerAddr, MethodSuspect, r.params, &result)
}
