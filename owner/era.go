package owner

import (
	"context"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

const (
	// minEraWait is the minimum time after a node has first seen an era of the table before it assumes that no grant of
	// an earlier era is in force. A lease that the restored table has lost may last that long.
	minEraWait spar.Millis = 12_000
	// epochGap is how far the epochs of an era lie above those of the one before. It must exceed the number of epochs
	// that a restore can lose: 1,048,576 would take ten minutes at 1,700 moves per second.
	epochGap = 1 << 20
	// mergeFallback is the time after which any node merges the map if the leading one has not.
	mergeFallback spar.Millis = 3000
	// mergeReadInterval is the interval between two reads of a map that is not merged yet.
	mergeReadInterval spar.Millis = 500
)

// eraState is what a node may still do after the table was restored from an older snapshot. All of the node's rights
// that rest on rows of an earlier era end with the lease of that era, unless the merged map confirms them.
type eraState struct {
	// number is the newest era that is known, and seen the time when this process first saw it.
	number int64
	seen   spar.Millis
	// restored is set if the process knew an earlier era.
	restored bool
	// rightsUntil is the end of the rights from an earlier era while the map is not merged, and continued are the
	// ranges of this node that only it could grant when it first saw the era.
	rightsUntil spar.Millis
	continued   []keymap.Range
	// unmerged is set unless the table's map was merged in this era when it was last read, and mapRead is the time of
	// that read.
	unmerged bool
	mapRead  spar.Millis
}

// watchEra records a later era of the table. It is called before anything of that era is used.
func (o *Owner) watchEra(era int64, restored bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if era <= o.era.number {
		return
	}

	now := o.deps.Clock.Now()
	next := eraState{number: era, seen: now, restored: restored, unmerged: restored || !o.cfg.FirstStart}

	if restored {
		next.rightsUntil = o.rightsUntilLocked()
		if now < next.rightsUntil {
			next.continued = o.exclusiveLocked()
		}

		// The rows of this node may be lost, and so may the departure that the lease records.
		o.registered = false
		o.recordedDeparted = spar.Incarnation{}
	}

	o.era = next

	if !restored {
		o.deps.Log.Info("store is in a later era; keys are assigned at once only by a map of this era", "era", era,
			"first_start", o.cfg.FirstStart, "wait_ms", int(o.eraWait()))

		return
	}

	o.deps.Log.Warn("store was restored; keys move only after a time", "era", era, "wait_ms", int(o.eraWait()),
		"continued", len(next.continued))
}

// exclusiveLocked returns the ranges that only this node may grant at this moment. While its lease is valid, nobody
// else can have moved them, except by a transaction of this node whose outcome is unknown.
func (o *Owner) exclusiveLocked() []keymap.Range {
	m := o.deps.Maps.get(o.cfg.Service).Map
	own := keymap.Map{Ranges: slices.DeleteFunc(m.OwnedBy(o.cfg.Node), func(r keymap.Range) bool {
		return !o.mayGrantLocked(m, r)
	})}

	for _, mv := range o.moves {
		own = own.Without(mv.Span)
	}

	return own.Ranges
}

// rightsUntilLocked returns when the node's right to grant keys ends: with its lease, or earlier if the map that it
// knows is of an earlier era, since another node may then know a newer one.
func (o *Owner) rightsUntilLocked() spar.Millis {
	if o.era.number > 0 && o.deps.Maps.get(o.cfg.Service).Map.Era != o.era.number {
		return min(o.lease.until, o.era.rightsUntil)
	}

	return o.lease.until
}

// mayGrantLocked reports whether this node may grant its range r of the map m. An epoch above the map's base was issued
// after all grants from before the restore had expired. Other ranges may be held elsewhere by a move that the restore
// has lost, unless this node has granted them without interruption.
func (o *Owner) mayGrantLocked(m keymap.Map, r keymap.Range) bool {
	if o.era.number == 0 || m.Era == o.era.number && (r.Epoch > m.Base || o.deps.Flaws.ForgetLostMoves) {
		return true
	}

	rest := keymap.Map{Ranges: []keymap.Range{r}}

	for _, c := range o.era.continued {
		if c.Epoch == r.Epoch && c.Incarnation == r.Incarnation {
			rest = rest.Without(c.Span)
		}
	}

	return len(rest.Ranges) == 0
}

// pruneContinued drops the ranges that a merged map does not give to this node any more, so that they are not granted
// again under their old epochs if they come back.
func (o *Owner) pruneContinued(m keymap.Map) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if len(o.era.continued) == 0 || m.Era != o.era.number {
		return
	}

	var kept []keymap.Range

	for _, r := range m.OwnedBy(o.cfg.Node) {
		for _, c := range o.era.continued {
			if c.Overlaps(r.Span) && c.Epoch == r.Epoch && c.Incarnation == r.Incarnation {
				c.Span = keymap.Span{From: max(c.From, r.From), To: min(c.To, r.To)}
				kept = append(kept, c)
			}
		}
	}

	o.era.continued = kept
}

// eraWait returns the time after the first sight of an era after which no grant of an earlier era is in force.
func (o *Owner) eraWait() spar.Millis {
	if o.deps.Flaws.NoEraWait {
		return 0
	}

	return max(minEraWait, o.cfg.LeaseDuration*(1+2*clockError)+expiryMargin)
}

// waitedLocked reports whether no grant of an earlier era is in force any more.
func (o *Owner) waitedLocked() bool {
	return o.era.number == 0 || o.deps.Clock.Now() >= o.era.seen+o.eraWait()
}

// mayChange reports whether epochs may be issued on the basis of a map: it has been merged in the current era, and no
// grant of an earlier one is in force. It also returns the current era.
func (o *Owner) mayChange(base versioned) (era int64, ok bool) {
	fresh := base.Revision == 0 && !o.peersKnowMap()

	o.mu.Lock()
	defer o.mu.Unlock()

	e := o.era

	switch {
	case e.number == 0:
		return 0, true
	case base.Revision == 0:
		// Only at the first start of the deployment does a missing map mean that there was none. Otherwise a restore may
		// have lost one that no process remembers, and an empty map is merged first.
		return e.number, !e.unmerged && (o.waitedLocked() || fresh && !e.restored)
	case base.Revision.Era() != e.number || base.Map.Era != e.number:
		return e.number, false
	}

	return e.number, base.Map.Settled() || o.waitedLocked() || o.deps.Flaws.ForgetLostMoves
}

// peersKnowMap reports whether a live node of the service knows a map.
func (o *Owner) peersKnowMap() bool {
	now, timeout := o.deps.Clock.Now(), o.deps.Mesh.LivenessTimeout()

	for _, p := range o.deps.Mesh.Peers() {
		if p.Service == o.cfg.Service && p.MapRevision != 0 && p.Alive(now, timeout) {
			return true
		}
	}

	return false
}

// noteMap records whether the map of this node's service that was read from the table is merged. A missing map counts
// as not merged, because a restore may have lost it, except at the first start of the deployment.
func (o *Owner) noteMap(v versioned, found bool) {
	known := o.deps.Maps.get(o.cfg.Service)

	o.mu.Lock()
	defer o.mu.Unlock()

	o.era.mapRead = o.deps.Clock.Now()

	if found {
		o.era.unmerged = v.Map.Era != v.Revision.Era()
	} else {
		o.era.unmerged = o.era.number > 0 && (known.Revision != 0 || !o.cfg.FirstStart)
	}
}

// mergeDue reports whether the table's map must be merged with what nodes know of earlier eras: it was not merged in
// this era, or without the map that this node knows.
func (o *Owner) mergeDue() bool {
	known := o.deps.Maps.get(o.cfg.Service)

	o.mu.Lock()
	defer o.mu.Unlock()

	return o.era.number > 0 && (o.era.unmerged || known.Revision != 0 && known.Map.Era != o.era.number)
}

// maintainEra merges the map after a restore and settles it. It reports whether the map may be changed otherwise.
// Any node whose map is newer than the merged one merges it again; for the first merge, others wait for the leading
// node.
func (o *Owner) maintainEra(ctx context.Context, leads bool) bool {
	if o.mergeDue() {
		o.mu.Lock()
		now := o.deps.Clock.Now()
		due := now-o.era.mapRead >= mergeReadInterval
		may := leads || now >= o.era.seen+mergeFallback
		o.mu.Unlock()

		if due {
			o.mergeMap(ctx, may)
		}

		return false
	}

	known := o.deps.Maps.get(o.cfg.Service)
	if _, ok := o.mayChange(known); !ok {
		return false
	}

	if leads && known.Map.Base > 0 && !known.Map.Settled() {
		o.settleMap(ctx)
	}

	return true
}

// settleMap issues an epoch, so that processes that start later know that the wait is over.
func (o *Owner) settleMap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, mapChangeTimeout.Duration())
	defer cancel()

	o.change(ctx, func(m keymap.Map) (keymap.Map, bool) {
		if m.Settled() {
			return m, false
		}

		m.LastEpoch++

		return m, true
	}, o.leaseCondition)
}

// mergeMap reads the map and, if it must be merged and first or an earlier merge allows it, writes the merged map.
func (o *Owner) mergeMap(ctx context.Context, first bool) {
	ctx, cancel := context.WithTimeout(ctx, mapChangeTimeout.Duration())
	defer cancel()

	select {
	case o.changeLock <- struct{}{}:
	case <-ctx.Done():
		return
	}

	defer func() { <-o.changeLock }()

	o.pullMaps(ctx)

	stored, ok := o.readMap(ctx)
	if !ok || !o.mergeDue() || !first && (stored.Revision == 0 || stored.Map.Era != stored.Revision.Era()) {
		return
	}

	o.mu.Lock()
	era := o.era.number
	o.mu.Unlock()

	known := o.deps.Maps.get(o.cfg.Service)
	if stored.Revision != 0 && stored.Revision.Era() != era {
		return
	}

	next := o.merged(stored, known, era)
	conditions, writes := o.leaseCondition()
	result := o.commit(ctx, spar.Txn{
		Conditions: append([]spar.Condition{{Key: mapKey(o.cfg.Service), Revision: stored.Revision}}, conditions...),
		Writes:     append([]spar.Write{{Key: mapKey(o.cfg.Service), Value: encode(next)}}, writes...),
	})

	if result.Verdict != spar.VerdictApplied || result.Revision.Era() != era {
		o.deps.Log.Warn("writing merged map of owners failed", "era", era, "verdict", result.Verdict,
			"conflict", result.Conflict)

		return
	}

	o.deps.Log.Info("map of owners merged after restore", "era", era, "stored", stored.Revision.Version(),
		"known", known.Revision.Version(), "known_era", known.Revision.Era(), "base", next.Base)
	v := versioned{Revision: result.Revision, Map: next}
	o.noteMap(v, true)
	o.adoptMap(o.cfg.Service, v)
	o.deps.Mesh.Announce()
}

// pullMaps pulls the maps of live nodes of the service that are newer than the one that this node knows.
func (o *Owner) pullMaps(ctx context.Context) {
	now, timeout := o.deps.Clock.Now(), o.deps.Mesh.LivenessTimeout()

	for _, p := range o.deps.Mesh.Peers() {
		if p.Service == o.cfg.Service && p.Alive(now, timeout) && p.MapRevision > o.deps.Maps.Revision(p.Service) {
			o.Pull(ctx, p.PeerAddr, p.Service)
		}
	}
}

// merged returns the map to write after a restore, from the table's map and the newest one that is known.
func (o *Owner) merged(stored, known versioned, era int64) keymap.Map {
	highest, since := max(stored.Map.LastEpoch, known.Map.LastEpoch), max(stored.Map.Era, known.Map.Era)
	next := stored.Map.WithNewest(known.Map)
	next.Known = 0

	switch {
	case known.Revision != 0 && known.Map.Era == era:
		// A transaction of an earlier era has replaced the merged map. It took effect late, because a version that it
		// required was issued again.
		settled := known.Map.Settled()
		next = known.Map
		next.LastEpoch = highest + epochGap

		if !settled {
			next.Base = next.LastEpoch
		}

		return next
	case o.deps.Flaws.ForgetLostMoves:
		next = stored.Map
	case stored.Revision != 0 && stored.Map.Era == era:
		next.Known = stored.Map.Known
	}

	if o.deps.Flaws.ReuseEpochs {
		highest = stored.Map.LastEpoch - epochGap
	}

	// An era that no node has seen has issued epochs as well.
	next.Base = max(next.Base, highest+epochGap*max(1, era-since))
	next.LastEpoch = next.Base
	next.Known = max(next.Known, known.Revision)
	next.Era = era

	return next
}

// firstEpochs returns the epoch above which those of the first map of a service lie. A restore may have lost an earlier
// map that no live node knows.
func firstEpochs(era int64) int64 {
	return era * epochGap
}

// leaseOutdated reports whether the lease was last written in an earlier era.
func (o *Owner) leaseOutdated() bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.lease.revision != 0 && o.lease.revision.Era() != o.era.number
}

// withNewEpochs returns a copy of m in which this node's ranges that it may not grant, because another node may have
// granted them before the restore, have new epochs.
func (o *Owner) withNewEpochs(m keymap.Map, incarnation spar.Incarnation) keymap.Map {
	for _, r := range o.withheld(m) {
		m = m.WithOwner(r.Span, o.cfg.Node, incarnation, r.Handover)
	}

	return m
}

// withheld returns this node's ranges in m that it may not grant under their epochs.
func (o *Owner) withheld(m keymap.Map) []keymap.Range {
	o.mu.Lock()
	defer o.mu.Unlock()

	return slices.DeleteFunc(m.OwnedBy(o.cfg.Node), func(r keymap.Range) bool { return o.mayGrantLocked(m, r) })
}
