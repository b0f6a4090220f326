package lease

import (
	"context"
	"maps"
	"slices"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/internal/flaw"
	"sardinespar.example/spar/peers"
)

const (
	// renewTimeout ends a renewal; a later answer would leave little of the grant.
	renewTimeout spar.Millis = 700
	// silentAfter is the number of renewals without an answer after which a witness is replaced if
	// another one is there: 3 s, by when a dead one has been taken over.
	silentAfter = 10
)

// Holder holds a lease by grants of a majority of the node's witnesses.
type Holder struct {
	member  *fleet.Member
	replica *fleet.Replica
	spread  *fleet.Sync
	calls   peers.Caller
	clock   spar.Clock
	record  spar.Recorder
	flaws   flaw.Set

	kick   chan struct{}
	keeper chan struct{}

	mu       sync.Mutex
	grants   map[spar.NodeID]spar.Millis
	failures map[spar.NodeID]int
	fenced   spar.Revision
	held     bool
}

// NewHolder returns a holder without grants.
func NewHolder(
	m *fleet.Member, r *fleet.Replica, s *fleet.Sync, calls peers.Caller, clock spar.Clock, record spar.Recorder,
	flaws flaw.Set,
) *Holder {
	return &Holder{
		member: m, replica: r, spread: s, calls: calls, clock: clock, record: record, flaws: flaws,
		kick: make(chan struct{}, 1), keeper: make(chan struct{}, 1),
		grants: map[spar.NodeID]spar.Millis{}, failures: map[spar.NodeID]int{},
	}
}

// Until returns the time on the local clock at which the lease ends, 0 if there is none. It needs
// a majority in each of the member's witness sets.
func (h *Holder) Until() spar.Millis {
	sets := h.sets()
	if len(sets) == 0 {
		return 0
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	until := majority(sets[0], h.grants)
	for _, set := range sets[1:] {
		until = min(until, majority(set, h.grants))
	}

	return until
}

func (h *Holder) sets() [][]spar.NodeID {
	sets := h.member.Sets()
	if h.flaws.NoJointSets && len(sets) > 1 {
		return sets[:1]
	}

	return sets
}

// majority returns the moment at which fewer than a majority of the set's grants stand.
func majority(set []spar.NodeID, grants map[spar.NodeID]spar.Millis) spar.Millis {
	if len(set) == 0 {
		return 0
	}

	ends := make([]spar.Millis, 0, len(set))
	for _, id := range set {
		ends = append(ends, grants[id])
	}

	slices.Sort(ends)

	return ends[(len(set)-1)/2]
}

// Run renews the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.loop(ctx)
}

func (h *Holder) loop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	for ctx.Err() == nil {
		began := h.clock.Now()

		for _, r := range h.renewals() {
			wg.Go(func() { r.run(ctx) })
		}

		h.note()

		pause := h.clock.Timer(max(0, spar.LeaseRenewal-(h.clock.Now()-began)))
		select {
		case <-ctx.Done():
		case <-h.kick:
		case <-pause.C:
		}

		pause.Stop()
	}
}

// Renew makes the holder renew at once, because its row has changed.
func (h *Holder) Renew() {
	signal(h.kick)
}

// renewals returns one renewal for each witness.
func (h *Holder) renewals() []renewal {
	node, revision := h.member.Self()
	witnesses := slices.Concat(h.sets()...)
	slices.Sort(witnesses)

	witnesses = slices.Compact(witnesses)
	h.forget(witnesses)

	v := h.replica.View()
	renewals := make([]renewal, 0, len(witnesses))

	for _, id := range witnesses {
		w, ok := v.Node(id)
		if !ok {
			continue
		}

		renewals = append(renewals, renewal{
			holder: h, addr: w.Value.PeerAddr,
			params: RenewParams{Node: node.ID, Revision: revision, Witness: id, Complete: v.Complete()},
		})
	}

	return renewals
}

// forget drops what is remembered of nodes that are no witnesses any more.
func (h *Holder) forget(witnesses []spar.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()

	gone := func(id spar.NodeID) bool { return !slices.Contains(witnesses, id) }
	maps.DeleteFunc(h.grants, func(id spar.NodeID, _ spar.Millis) bool { return gone(id) })
	maps.DeleteFunc(h.failures, func(id spar.NodeID, _ int) bool { return gone(id) })
}

// renewal is one message to one witness.
type renewal struct {
	holder *Holder
	addr   string
	params RenewParams
}

func (r renewal) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, renewTimeout.Duration())
	defer cancel()

	var result RenewResult

	sent := r.holder.clock.Now()
	if err := r.holder.calls.Call(call, r.addr, MethodRenew, r.params, &result); err != nil {
		r.holder.failed(r.params.Witness)

		return
	}

	if r.holder.flaws.FromReceipt {
		sent = r.holder.clock.Now()
	}

	r.holder.answered(r.params, sent, result)
	r.holder.spread.Behind(ctx, r.addr, result.Complete)
}

// answered takes a witness's answer. Answers may come in any order: a grant never shortens another.
func (h *Holder) answered(p RenewParams, sent spar.Millis, result RenewResult) {
	if result.Row != nil {
		h.replica.Merge([]spar.Row{*result.Row}, 0)
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if result.Verdict == Stranger {
		h.failures[p.Witness] = silentAfter
		signal(h.keeper)

		return
	}

	h.failures[p.Witness] = 0

	switch result.Verdict {
	case Granted:
		held := spar.HeldFor(result.TTL)
		if h.flaws.NoMargin {
			held = result.TTL
		}

		h.grants[p.Witness] = max(h.grants[p.Witness], sent+held)

		if !h.held {
			signal(h.keeper)
		}
	case Fenced:
		h.fenced = max(h.fenced, result.Fenced)
		signal(h.keeper)
	default:
		signal(h.keeper)
	}
}

func (h *Holder) failed(id spar.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.failures[id]++
}

// silent reports whether a witness has stopped answering.
func (h *Holder) silent(id spar.NodeID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.failures[id] >= silentAfter
}

// fencedAt returns the highest revision of the node's row that a witness refused as fenced.
func (h *Holder) fencedAt() spar.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.fenced
}

// note records the beginning and the end of the lease.
func (h *Holder) note() {
	held := h.clock.Now() < h.Until()

	h.mu.Lock()
	changed := h.held != held
	h.held = held
	h.mu.Unlock()

	switch {
	case changed && held:
		h.record.Record(spar.Event{Kind: spar.EventLeaseHeld})
	case changed:
		h.record.Record(spar.Event{Kind: spar.EventLeaseLost})
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
