package owner

import (
	"context"
	"fmt"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/keymap"
)

// maxClockLead is how far ahead of this node's time of day the start of a backend server may lie.
const maxClockLead spar.Millis = 3_600_000

// rebindTimeout is the maximum time that the response to a new backend server's first heartbeat waits for the table.
const rebindTimeout spar.Millis = 400

// Heartbeat handles a heartbeat and returns the keys that the backend server may hold. A heartbeat that can't come
// from this node's backend server is an error and changes nothing. Heartbeat returns ErrNotRecorded for that of a
// draining server if its departure may be forgotten.
func (o *Owner) Heartbeat(ctx context.Context, b Heartbeat) (Grant, error) {
	switch {
	case b.Addr != o.cfg.AppAddr:
		return Grant{}, fmt.Errorf("heartbeat of %s names address %s, not %s", b.Incarnation.ID, b.Addr, o.cfg.AppAddr)
	case b.Service != o.cfg.Service:
		return Grant{}, fmt.Errorf("heartbeat of %s names service %s, not %s", b.Incarnation.ID, b.Service, o.cfg.Service)
	case b.Incarnation.StartedMs > o.deps.UnixMillis()+int64(maxClockLead):
		return Grant{}, fmt.Errorf("heartbeat of %s names start %d, in the future", b.Incarnation.ID, b.Incarnation.StartedMs)
	}

	if !o.awaitEarlierDepartures(ctx) {
		o.deps.Log.Info("ignoring heartbeat: earlier departures are not known yet", "id", b.Incarnation.ID)

		return Grant{}, nil
	}

	received := o.deps.Clock.Now()
	changed, current := o.recordHeartbeat(b, received)

	if !current {
		o.deps.Log.Info("ignoring late heartbeat", "id", b.Incarnation.ID, "born", b.Incarnation.StartedMs, "seq", b.Seq)

		return Grant{}, nil
	}

	if changed {
		o.deps.Log.Info("backend server state changed", "id", b.Incarnation.ID, "born", b.Incarnation.StartedMs,
			"slots", b.Slots, "cold_ms", int(b.ColdFor), "draining", b.Draining)
	}

	o.updateGate(b, received)

	if b.Draining {
		if err := o.recordDeparture(ctx); err != nil {
			return Grant{}, fmt.Errorf("heartbeat of %s: %w", b.Incarnation.ID, err)
		}
	}

	if keyed, _ := o.deps.Keyed(o.cfg.Service); !keyed {
		return Grant{}, nil
	}

	if o.updateMoves(b) {
		o.announce(ctx)
	}

	o.rebind(ctx, b.Incarnation)

	if o.usesCommands() {
		o.wakePush()

		return Grant{}, nil
	}

	o.awaitKeys(ctx, b.Incarnation, received)

	return o.buildGrant(b, received), nil
}

// recordHeartbeat records the incarnation and number of a heartbeat. changed is true if the backend server is a new
// incarnation or has begun or ended draining; current is false for a heartbeat that arrived late.
func (o *Owner) recordHeartbeat(b Heartbeat, now spar.Millis) (changed, current bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	switch {
	case b.Incarnation.StartedMs < o.incarnation.StartedMs || b.Incarnation.StartedMs <= o.departed.StartedMs:
		return false, false
	case b.Incarnation == o.incarnation && b.Seq <= o.seq:
		return false, false
	case o.unknownDeparted.ignores(b.Incarnation, now):
		return false, false
	}

	changed = b.Incarnation != o.incarnation || b.Draining != o.draining
	if b.Incarnation != o.incarnation {
		// The previous backend server ran at the same address, so it has ended and holds nothing.
		o.moves = nil
		o.holdsUntil = 0

		// The first incarnation that sends a heartbeat may have grants of an earlier process of this node.
		if !o.incarnation.IsZero() {
			o.tracker.Clear()
		}
	}

	o.incarnation, o.seq, o.draining, o.lastHeartbeat = b.Incarnation, b.Seq, b.Draining, now

	return changed, true
}

func (o *Owner) updateGate(b Heartbeat, now spar.Millis) {
	last := o.deps.Gate.Upstream()
	next := o.deps.Gate.Update(func(u gate.Upstream) gate.Upstream {
		if u.Incarnation != b.Incarnation {
			u = gate.Upstream{Incarnation: b.Incarnation, Service: b.Service}
		}

		u.Slots, u.Ready, u.Down, u.MaybeRestarted = b.Slots, !b.Draining, false, false
		if b.ColdFor > 0 {
			u.ColdUntil = now + b.ColdFor
		}

		return u
	})

	if next.Incarnation != last.Incarnation || next.Ready != last.Ready {
		o.deps.Mesh.Announce()
	}
}

// updateMoves marks the moves whose spans the backend server no longer holds. It reports whether it began to release
// further keys because the server is draining.
func (o *Owner) updateMoves(b Heartbeat) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	for i := range o.moves {
		m := &o.moves[i]
		if o.usesCommands() {
			break
		}

		for _, r := range b.Released {
			if m.Overlaps(r.Span) {
				m.handover = append(m.handover, r)
			}
		}

		held := slices.ContainsFunc(b.Holds, m.Overlaps)
		m.free = m.omitted && !held || o.deps.Flaws.NoReleaseWait
	}

	return b.Draining && o.releaseAllLocked()
}

// releaseAllLocked begins to release all keys of this node, and reports whether any were not being released before.
func (o *Owner) releaseAllLocked() bool {
	n := len(o.moves)

	for _, r := range o.deps.Maps.get(o.cfg.Service).Map.OwnedBy(o.cfg.Node) {
		if !slices.ContainsFunc(o.moves, func(m move) bool { return m.Overlaps(r.Span) }) {
			o.moves = append(o.moves, move{Span: r.Span})
		}
	}

	return len(o.moves) > n
}

// rebind assigns this node's keys to a new incarnation of its backend server, under new epochs. After a restore of the
// table it also issues new epochs for keys that another node may have granted before.
func (o *Owner) rebind(ctx context.Context, incarnation spar.Incarnation) {
	stale := func(m keymap.Map) bool {
		return len(o.withheld(m)) > 0 ||
			slices.ContainsFunc(m.OwnedBy(o.cfg.Node), func(r keymap.Range) bool { return r.Incarnation != incarnation })
	}

	if !o.Leased() || !stale(o.deps.Maps.get(o.cfg.Service).Map) {
		return
	}

	o.clearEarlierGrants(incarnation)

	ctx, cancel := context.WithTimeout(ctx, rebindTimeout.Duration())
	defer cancel()

	o.change(ctx, func(m keymap.Map) (keymap.Map, bool) {
		if !stale(m) {
			return m, false
		}

		return o.withNewEpochs(o.withIncarnation(m, incarnation), incarnation), true
	}, o.leaseCondition)
}

// clearEarlierGrants drops the grants of an earlier process of this node if they went to an earlier incarnation of the
// backend server, which has ended.
func (o *Owner) clearEarlierGrants(incarnation spar.Incarnation) {
	own := o.deps.Maps.get(o.cfg.Service).Map.OwnedBy(o.cfg.Node)
	if slices.ContainsFunc(own, func(r keymap.Range) bool { return r.Incarnation == incarnation }) {
		return
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	if o.incarnation == incarnation {
		o.tracker.Clear()
	}
}

func (o *Owner) withIncarnation(m keymap.Map, incarnation spar.Incarnation) keymap.Map {
	if !o.deps.Flaws.KeepEpochs {
		return m.WithIncarnation(o.cfg.Node, incarnation)
	}

	same := m.WithIncarnation(o.cfg.Node, incarnation)
	for i, r := range same.Ranges {
		if old, ok := m.Find(r.From); ok {
			same.Ranges[i].Epoch = old.Epoch
		}
	}

	return same
}

// buildGrant returns the grant that answers a heartbeat. It ends before the lease does.
func (o *Owner) buildGrant(b Heartbeat, received spar.Millis) Grant {
	o.mu.Lock()
	defer o.mu.Unlock()

	if b.Incarnation != o.incarnation || o.lease.revision == 0 {
		return Grant{}
	}

	duration := o.grantDurationLocked(received)
	if duration < minGrant {
		o.deps.Log.Warn("no grant: lease is about to end", "hold_ms", int(duration))

		return Grant{}
	}

	var ranges []keymap.Range

	m := o.deps.Maps.get(o.cfg.Service).Map
	for _, r := range m.OwnedBy(o.cfg.Node) {
		if r.Incarnation != b.Incarnation || !o.mayGrantLocked(m, r) {
			continue
		}

		ranges = append(ranges, o.grantableLocked(r)...)
	}

	for i := range o.moves {
		o.moves[i].omitted = true
	}

	holds := make([]gate.Hold, 0, len(ranges))
	for _, r := range ranges {
		holds = append(holds, gate.Hold{Span: r.Span, Until: received + duration - grantMargin})
	}

	o.holdsUntil = max(o.holdsUntil, received+duration*(1+clockError))
	o.deps.Gate.Update(func(u gate.Upstream) gate.Upstream {
		if u.Incarnation != b.Incarnation {
			return u
		}

		return u.WithHolds(holds)
	})

	return Grant{Ranges: ranges, TTL: duration}
}

// grantDurationLocked returns how long a grant made at now may last so that it ends before the lease.
func (o *Owner) grantDurationLocked(now spar.Millis) spar.Millis {
	return min(o.cfg.GrantTTL, (o.rightsUntilLocked()-now)/(1+clockError)-grantMargin)
}

// grantableLocked returns the parts of a range that aren't being released.
func (o *Owner) grantableLocked(r keymap.Range) []keymap.Range {
	m := keymap.Map{Ranges: []keymap.Range{r}}

	for _, mv := range o.moves {
		if mv.begun || !o.usesCommands() {
			m = m.Without(mv.Span)
		}
	}

	return m.Ranges
}
