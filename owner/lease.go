package owner

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"

	spar "sardinespar.example/spar"
)

// lease is the node's own lease as last written. Revision 0 means that the node has no lease.
type lease struct {
	revision spar.Revision
	until    spar.Millis
}

const (
	// retryDelay is the delay after a failed change of the map.
	retryDelay spar.Millis = 150
	// minRenewBackoff and maxRenewBackoff bound the backoff after failed renewals. They are short because a lease
	// must outlast an outage of the table plus one such delay.
	minRenewBackoff spar.Millis = 150
	maxRenewBackoff spar.Millis = 300
)

// loopLease acquires the lease, renews it and registers the node until ctx ends. For a service that is not
// partitioned by key, it renews the lease only to record a departure.
func (o *Owner) loopLease(ctx context.Context) {
	backoff := spar.Backoff{Initial: minRenewBackoff, Max: maxRenewBackoff}

	for ctx.Err() == nil {
		o.mu.Lock()
		held := o.lease.revision != 0
		o.mu.Unlock()

		ok := true

		switch keyed, known := o.deps.Keyed(o.cfg.Service); {
		case !held:
			ok = o.acquireLease(ctx)
		case keyed || !known || o.departureUnwritten() || o.leaseOutdated():
			ok = o.renewLease(ctx)
		}

		// The lease comes first: requests are served under it, and other nodes find this one by its row.
		if ok = ok && o.register(ctx); ok {
			backoff = backoff.WithSuccess()
			o.deps.Clock.Sleep(ctx, o.renewalInterval())
		} else {
			backoff = backoff.WithFailure()
			o.deps.Clock.Sleep(ctx, backoff.Delay())
		}
	}
}

// renewalInterval returns the time until the next renewal. All nodes renew at the same times of the table's
// clock, so that their renewals share transactions. Nodes that renew individually add jitter.
func (o *Owner) renewalInterval() spar.Millis {
	o.mu.Lock()
	defer o.mu.Unlock()

	now := o.deps.Clock.Now()

	switch {
	case now < o.individualUntil:
		const minShare = 0.75

		return o.cfg.RenewInterval * spar.Millis(minShare+(1-minShare)*rand.Float64())
	case !o.tableHasClock:
		return o.cfg.RenewInterval
	}

	past := math.Mod(float64(now+o.tableOffset), float64(o.cfg.RenewInterval))

	return o.cfg.RenewInterval - spar.Millis(past)
}

// leaseValue returns the row of a lease whose renewal is sent at the time sent, and the departed backend server
// that it contains.
func (o *Owner) leaseValue(sent spar.Millis) (row json.RawMessage, departed spar.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()

	l := leaseRow{Node: o.cfg.Node, InstanceID: o.cfg.InstanceID, Addr: o.cfg.AppAddr, Departed: o.departedLocked()}

	if o.tableHasClock {
		l.Until = sent + o.tableOffset + o.cfg.LeaseDuration
	}

	return encode(l), l.Departed
}

// updateClock estimates the offset of the table's clock from the response to a call sent at the time sent. The
// table read its clock after that, so the estimate is an upper bound.
func (o *Owner) updateClock(sent, table spar.Millis) {
	if table <= 0 {
		return
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	o.tableOffset, o.tableHasClock = table-sent, true
}

// register writes the node's row at the start and again after each lost lease.
func (o *Owner) register(ctx context.Context) bool {
	o.mu.Lock()
	done := o.registered
	o.mu.Unlock()

	if done {
		return true
	}

	result := o.commit(ctx, spar.Txn{Writes: []spar.Write{{Key: nodeKey(o.cfg.Node), Value: encode(NodeRow{
		Node: o.cfg.Node, PeerAddr: o.cfg.PeerAddr, Zone: o.cfg.Zone, Service: o.cfg.Service,
	})}}})
	if result.Verdict != spar.VerdictApplied {
		o.deps.Log.Warn("writing row of the node failed", "verdict", result.Verdict)

		return false
	}

	o.mu.Lock()
	o.registered = true
	o.mu.Unlock()
	o.deps.Registered()

	return true
}

// acquireLease writes a lease for this process and then reads the map. Transactions of an earlier process of this
// node can't take effect after that, since they are conditional on the revision of the earlier lease.
func (o *Owner) acquireLease(ctx context.Context) bool {
	// Most starting nodes have no lease row yet, so try to create one before reading.
	if !o.createTried {
		o.createTried = true

		if o.replaceLease(ctx, 0) {
			return true
		}
	}

	row, found, err := o.getRow(ctx, leaseKey(o.cfg.Service, o.cfg.Node))
	if err != nil {
		o.deps.Log.Warn("reading lease failed", "cause", err)

		return false
	}

	earlier := o.decodeLease(row, found)
	if o.applyEarlierLease(earlier); found && !o.mayReplace(row, earlier) {
		return false
	}

	return o.replaceLease(ctx, row.Revision)
}

// replaceLease replaces the lease row at a revision, or creates it at revision 0, and reads the map.
func (o *Owner) replaceLease(ctx context.Context, revision spar.Revision) bool {
	key := leaseKey(o.cfg.Service, o.cfg.Node)
	sent := o.deps.Clock.Now()
	value, departed := o.leaseValue(sent)
	result := o.commit(ctx, spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: revision}},
		Writes:     []spar.Write{{Key: key, Value: value}},
	})

	if result.Verdict != spar.VerdictApplied {
		o.deps.Log.Info("acquiring lease failed", "verdict", result.Verdict, "replaces", revision)

		return false
	}

	if keyed, known := o.deps.Keyed(o.cfg.Service); (keyed || !known) && !o.reloadMap(ctx) {
		return false
	}

	if revision == 0 {
		o.applyEarlierLease(leaseRow{})
	}

	o.mu.Lock()

	if revision == 0 && !o.era.unmerged && len(o.deps.Maps.get(o.cfg.Service).Map.OwnedBy(o.cfg.Node)) == 0 {
		// Any keys that an earlier process of this node granted have been taken over since.
		o.tracker.Clear()
	}

	o.lease = lease{revision: result.Revision, until: sent + o.cfg.LeaseDuration}
	o.recordedDeparted = departed
	o.mu.Unlock()
	o.deps.Log.Info("lease acquired", "revision", result.Revision, "replaces", revision)

	return true
}

// decodeLease decodes a lease row. An invalid row is treated as an earlier lease of this node, so that it can be
// replaced.
func (o *Owner) decodeLease(row spar.Row, found bool) leaseRow {
	var l leaseRow
	if !found {
		return l
	}

	if err := json.Unmarshal(row.Value, &l); err != nil {
		o.deps.Log.Warn("decoding lease row failed; replacing it", "revision", row.Revision, "cause", err)

		return leaseRow{Addr: o.cfg.AppAddr}
	}

	return l
}

// mayReplace reports whether this node may replace a lease row: it has expired, or it belongs to an earlier process
// at this node's own address, which must have ended, since only one process can listen there.
func (o *Owner) mayReplace(row spar.Row, l leaseRow) bool {
	return l.Addr == o.cfg.AppAddr || o.rowExpired(row)
}

// renewLease renews the lease and reports success. A rejected renewal means that the row has changed: by an earlier
// renewal whose response was lost, or by a node that took the lease over.
func (o *Owner) renewLease(ctx context.Context) bool {
	key := leaseKey(o.cfg.Service, o.cfg.Node)

	o.mu.Lock()
	held := o.lease
	o.mu.Unlock()

	sent := o.deps.Clock.Now()
	value, departed := o.leaseValue(sent)
	result := o.commitRenewal(ctx, renewal{Key: key, Revision: held.revision, Value: value}, sent)

	o.updateStoreState(result.Verdict == spar.VerdictUnknown)

	switch result.Verdict {
	case spar.VerdictApplied:
		o.extendLease(held.revision, lease{revision: result.Revision, until: sent + o.cfg.LeaseDuration})
		o.setRecordedDeparted(departed)

		return true
	case spar.VerdictRejected:
		o.recoverLease(ctx, held)
	default:
		o.deps.Log.Warn("outcome of lease renewal is unknown", "left_ms", int(held.until-o.deps.Clock.Now()))
	}

	return false
}

// updateStoreState records whether the table is unavailable and calls StoreRecovered when it has recovered.
func (o *Owner) updateStoreState(down bool) {
	o.mu.Lock()
	recovered := o.storeUnavailable && !down
	o.storeUnavailable = down
	o.mu.Unlock()

	if recovered {
		o.deps.Log.Info("store answers renewals again")
		o.deps.StoreRecovered()
	}
}

func (o *Owner) setRecordedDeparted(departed spar.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.recordedDeparted = departed
}

func (o *Owner) extendLease(from spar.Revision, l lease) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.lease.revision == from {
		o.lease = l
	}
}

// recoverLease reads the lease row after a rejected renewal and decides whether the lease is lost.
func (o *Owner) recoverLease(ctx context.Context, held lease) {
	row, found, err := o.getRow(ctx, leaseKey(o.cfg.Service, o.cfg.Node))
	if err != nil {
		o.deps.Log.Warn("reading lease after a rejected renewal failed", "cause", err)

		return
	}

	var l leaseRow
	if found && json.Unmarshal(row.Value, &l) == nil && l.InstanceID == o.cfg.InstanceID {
		// The row was written by an unanswered renewal of this node. The time of that write is unknown, so the
		// end of the lease is not extended.
		o.extendLease(held.revision, lease{revision: row.Revision, until: held.until})

		return
	}

	// The node that took the lease over may have deleted this node's row as well.
	o.mu.Lock()
	o.lease = lease{}
	o.registered = false
	o.mu.Unlock()
	o.deps.Log.Error("lease lost", "revision", held.revision, "found", found)
}

// reloadMap reads the map of this node's service and reports success.
func (o *Owner) reloadMap(ctx context.Context) bool {
	_, ok := o.readMap(ctx)

	return ok
}

func (o *Owner) readMap(ctx context.Context) (versioned, bool) {
	row, found, err := o.getRow(ctx, mapKey(o.cfg.Service))
	if err != nil {
		o.deps.Log.Warn("reading map of owners failed", "cause", err)

		return versioned{}, false
	}

	if !found {
		o.noteMap(versioned{}, false)

		return versioned{}, true
	}

	v, err := decodeMap(row)
	if err != nil {
		o.deps.Log.Error("decoding map of owners failed", "revision", row.Revision, "cause", err)

		return versioned{}, false
	}

	o.noteMap(v, true)
	o.adoptMap(o.cfg.Service, v)

	return v, true
}

func (o *Owner) getRow(ctx context.Context, key string) (spar.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.StoreTimeout.Duration())
	defer cancel()

	sent := o.deps.Clock.Now()

	row, found, err := o.deps.Table.Get(ctx, key)
	if err == nil {
		o.updateClock(sent, row.Now)
	}

	return row, found, err
}

func (o *Owner) commit(ctx context.Context, txn spar.Txn) spar.Commit {
	ctx, cancel := context.WithTimeout(ctx, o.cfg.StoreTimeout.Duration())
	defer cancel()

	sent := o.deps.Clock.Now()
	result := o.deps.Table.Commit(ctx, txn)
	o.updateClock(sent, result.Now)

	return result
}
