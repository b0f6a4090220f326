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
	// renewTimeout bounds a renewal. A grant that arrives later would expire shortly after its arrival, because it
	// counts from the sending of the renewal.
	renewTimeout spar.Millis = 700
	// maxFailures is the number of consecutive renewals without an answer after which a witness is replaced, if
	// there is another candidate. It corresponds to about 3 s; a dead witness has been taken over by then.
	maxFailures = 10
)

// Holder holds a lease by means of grants from a majority of the node's witnesses.
type Holder struct {
	member   *fleet.Member
	replica  *fleet.Replica
	sync     *fleet.Sync
	caller   peers.Caller
	clock    spar.Clock
	recorder spar.Recorder
	// flaws are defects that tests inject.
	flaws flaw.Set

	renewNow    chan struct{}
	wakeUpdater chan struct{}

	mu sync.Mutex
	// grantExpiry is the expiry of each witness's grant on the local clock.
	grantExpiry map[spar.NodeID]spar.Millis
	// failures counts the consecutive failed renewals of each witness. WrongWitness sets it to maxFailures.
	failures map[spar.NodeID]int
	// fenced is the highest revision of the node's row that a witness has reported as fenced.
	fenced spar.Revision
	// wasHeld is whether the lease was held at the last check of recordChange.
	wasHeld bool
}

// NewHolder returns a holder without grants.
func NewHolder(
	m *fleet.Member, r *fleet.Replica, s *fleet.Sync, caller peers.Caller, clock spar.Clock, recorder spar.Recorder,
	flaws flaw.Set,
) *Holder {
	return &Holder{
		member: m, replica: r, sync: s, caller: caller, clock: clock, recorder: recorder, flaws: flaws,
		renewNow: make(chan struct{}, 1), wakeUpdater: make(chan struct{}, 1),
		grantExpiry: map[spar.NodeID]spar.Millis{}, failures: map[spar.NodeID]int{},
	}
}

// Until returns the time on the local clock at which the lease ends or ended; 0 if too few witnesses have ever
// granted it. The lease needs a majority in each of the member's witness sets.
func (h *Holder) Until() spar.Millis {
	sets := h.sets()
	if len(sets) == 0 {
		return 0
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	until := majorityExpiry(sets[0], h.grantExpiry)
	for _, set := range sets[1:] {
		until = min(until, majorityExpiry(set, h.grantExpiry))
	}

	return until
}

func (h *Holder) sets() [][]spar.NodeID {
	sets := h.member.WitnessSets()
	if h.flaws.IgnorePendingWitnesses && len(sets) > 1 {
		return sets[:1]
	}

	return sets
}

// majorityExpiry returns the time from which fewer than a majority of the grants of the set are valid.
func majorityExpiry(set []spar.NodeID, grantExpiry map[spar.NodeID]spar.Millis) spar.Millis {
	if len(set) == 0 {
		return 0
	}

	expiries := make([]spar.Millis, 0, len(set))
	for _, id := range set {
		expiries = append(expiries, grantExpiry[id])
	}

	slices.Sort(expiries)

	return expiries[(len(set)-1)/2]
}

// Run renews the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	h.loop(ctx)
}

func (h *Holder) loop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	for ctx.Err() == nil {
		started := h.clock.Now()

		for _, r := range h.renewals() {
			wg.Go(func() { r.run(ctx) })
		}

		h.recordChange()

		timer := h.clock.Timer(max(0, spar.LeaseRenewal-(h.clock.Now()-started)))
		select {
		case <-ctx.Done():
		case <-h.renewNow:
		case <-timer.C:
		}

		timer.Stop()
	}
}

// RenewNow makes the loop start a renewal without waiting for the interval. It is called when the node's row has
// changed.
func (h *Holder) RenewNow() {
	signal(h.renewNow)
}

// renewals returns a renewal for each witness with a known address, and drops the state of former witnesses.
func (h *Holder) renewals() []renewal {
	node, revision := h.member.Self()
	witnesses := slices.Concat(h.sets()...)
	slices.Sort(witnesses)

	witnesses = slices.Compact(witnesses)
	h.retainOnly(witnesses)

	v := h.replica.View()
	renewals := make([]renewal, 0, len(witnesses))

	for _, id := range witnesses {
		w, ok := v.Node(id)
		if !ok {
			continue
		}

		renewals = append(renewals, renewal{
			holder: h, addr: w.Value.PeerAddr,
			params: RenewParams{Node: node.ID, Revision: revision, Witness: id, Complete: v.CompleteRevision()},
		})
	}

	return renewals
}

// retainOnly drops the state of nodes that are no longer witnesses.
func (h *Holder) retainOnly(witnesses []spar.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()

	dropped := func(id spar.NodeID) bool { return !slices.Contains(witnesses, id) }
	maps.DeleteFunc(h.grantExpiry, func(id spar.NodeID, _ spar.Millis) bool { return dropped(id) })
	maps.DeleteFunc(h.failures, func(id spar.NodeID, _ int) bool { return dropped(id) })
}

// renewal is a call of lease.renew to one witness.
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
	if err := r.holder.caller.Call(call, r.addr, MethodRenew, r.params, &result); err != nil {
		r.holder.countFailure(r.params.Witness)

		return
	}

	if r.holder.flaws.CountFromReceipt {
		sent = r.holder.clock.Now()
	}

	r.holder.handleResult(r.params, sent, result)
	// Pull the rows that the witness has and this node lacks.
	r.holder.sync.CatchUp(ctx, r.addr, result.Complete)
}

// handleResult processes a witness's answer. A grant extends the lease; answers may come in any order, so it never
// shortens an earlier one. The other verdicts wake the updater of the node's row: WrongWitness makes it replace the
// witness, Fenced makes it rewrite the row to get a higher revision, and with Lost it finds the row of the lost node in
// the replica. A grant wakes it while the lease isn't held, since a joining node becomes live with its lease.
func (h *Holder) handleResult(p RenewParams, sent spar.Millis, result RenewResult) {
	if result.Row != nil {
		// 0, because a single row doesn't make the replica complete up to a higher revision.
		h.replica.Merge([]spar.Row{*result.Row}, 0)
	}

	h.mu.Lock()
	defer h.mu.Unlock()

	if result.Verdict == WrongWitness {
		h.failures[p.Witness] = maxFailures
		signal(h.wakeUpdater)

		return
	}

	h.failures[p.Witness] = 0

	switch result.Verdict {
	case Granted:
		ttl := spar.HolderTTL(result.TTL)
		if h.flaws.NoClockMargin {
			ttl = result.TTL
		}

		h.grantExpiry[p.Witness] = max(h.grantExpiry[p.Witness], sent+ttl)

		if !h.wasHeld {
			signal(h.wakeUpdater)
		}
	case Fenced:
		h.fenced = max(h.fenced, result.Fenced)
		signal(h.wakeUpdater)
	default:
		signal(h.wakeUpdater)
	}
}

func (h *Holder) countFailure(id spar.NodeID) {
	h.mu.Lock()
	defer h.mu.Unlock()

	h.failures[id]++
}

// needsReplacement reports whether a witness should be replaced: it stopped answering, or another node answered at its
// address.
func (h *Holder) needsReplacement(id spar.NodeID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.failures[id] >= maxFailures
}

func (h *Holder) highestFenced() spar.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.fenced
}

// recordChange records an event if the lease has begun or ended since the last check.
func (h *Holder) recordChange() {
	held := h.clock.Now() < h.Until()

	h.mu.Lock()
	changed := h.wasHeld != held
	h.wasHeld = held
	h.mu.Unlock()

	switch {
	case changed && held:
		h.recorder.Record(spar.Event{Kind: spar.EventLeaseHeld})
	case changed:
		h.recorder.Record(spar.Event{Kind: spar.EventLeaseLost})
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
