package owner

import (
	"context"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
	"sardinespar.example/spar/mesh"
)

const (
	// moveCheckInterval is the interval between two checks of the moves in progress.
	moveCheckInterval spar.Millis = 60
	// expiryMargin is the additional time after the grants of an unresponsive backend server have expired before its
	// keys are released. Grants count as expired GrantTTL after the last heartbeat at the earliest.
	expiryMargin spar.Millis = 150
	// mapChangeTimeout is the timeout of one change of the map, or of a rewrite that changes nothing.
	mapChangeTimeout spar.Millis = 5000
)

// loopMoves periodically begins to release all keys if the backend server is unusable, and writes the moves whose keys
// the server no longer holds to the map.
func (o *Owner) loopMoves(ctx context.Context) {
	for o.deps.Clock.Sleep(ctx, moveCheckInterval) {
		if o.releaseAllIfUnusable() {
			o.announce(ctx)
		}

		free := o.freeMoves()
		if _, allowed := o.mayChange(o.deps.Maps.get(o.cfg.Service)); allowed && len(free) > 0 && o.Leased() {
			o.writeMoves(ctx, free)
		}
	}
}

// releaseAllIfUnusable begins to release all keys if the backend server can't or must not hold them any longer: it is
// unresponsive and its grants have expired, or it has departed, or its availability zone is withdrawn. If the server
// gets its grants in heartbeat responses and they have expired, all moves are marked as free, since no heartbeat will
// confirm the release. releaseAllIfUnusable reports whether it added any move.
func (o *Owner) releaseAllIfUnusable() (added bool) {
	withdrawn := o.deps.ZoneWithdrawn(o.cfg.Zone)

	o.mu.Lock()
	defer o.mu.Unlock()

	now := o.deps.Clock.Now()
	expired := now > max(o.holdsUntil, o.lastHeartbeat+o.cfg.GrantTTL)+expiryMargin
	departed := o.hasDepartedLocked()

	// Without a lease this node can't move keys.
	if o.lease.revision == 0 || !expired && !departed && !withdrawn {
		return false
	}

	added = o.releaseAllLocked()

	if expired && !o.usesCommands() {
		for i := range o.moves {
			o.moves[i].omitted, o.moves[i].free = true, true
		}
	}

	return added
}

// freeMoves returns the moves whose keys the backend server of this node no longer holds.
func (o *Owner) freeMoves() []move {
	o.mu.Lock()
	defer o.mu.Unlock()

	var free []move

	for _, m := range o.moves {
		if m.free {
			free = append(free, m)
		}
	}

	return free
}

// writeMoves assigns free spans to other nodes. If no node can receive them, it cancels the moves, or leaves them
// pending if the backend server here can't keep the keys.
func (o *Owner) writeMoves(ctx context.Context, free []move) {
	candidates := o.candidates()
	if len(candidates) == 0 {
		o.cancelMoves(ctx, free)

		return
	}

	o.markOutcomeUnknown(free)

	ctx, cancel := context.WithTimeout(ctx, mapChangeTimeout.Duration())
	defer cancel()

	done := o.change(ctx, func(m keymap.Map) (keymap.Map, bool) {
		changed := false

		for _, mv := range free {
			for _, r := range m.OwnedBy(o.cfg.Node) {
				if !r.Overlaps(mv.Span) {
					continue
				}

				m, changed = o.handOver(m, mv, r, candidates), true
			}
		}

		return m, changed
	}, o.leaseCondition)

	if done {
		o.removeMoves(free)
	}
}

// handOver assigns the part of r that mv covers to the move's target or, if that isn't a candidate, distributes it over
// all candidates. It is called before the transaction is sent, and again on each retry.
func (o *Owner) handOver(m keymap.Map, mv move, r keymap.Range, candidates []mesh.Peer) keymap.Map {
	span := keymap.Span{From: max(r.From, mv.From), To: min(r.To, mv.To)}

	if i := slices.IndexFunc(candidates, func(p mesh.Peer) bool { return p.Node == mv.target }); i >= 0 {
		o.deps.Log.Info("trying to move keys", "from", span.From, "to", span.To, "node", mv.target,
			"warm", mv.handoverText(span) != "")

		return m.WithOwner(span, mv.target, candidates[i].ServerIncarnation, mv.handoverText(span))
	}

	// Without a usable target the released spans are distributed one by one, so that each handover text reaches
	// the node that receives its span. Without any handover text, split the span evenly.
	parts := mv.splitByHandover(span)
	if len(parts) == 1 && parts[0].Handover == "" {
		parts = nil
		for _, s := range span.Split(len(candidates)) {
			parts = append(parts, Released{Span: s})
		}
	}

	for i, part := range parts {
		p := candidates[i%len(candidates)]
		o.deps.Log.Info("trying to move keys", "from", part.From, "to", part.To, "node", p.Node,
			"warm", part.Handover != "")
		m = m.WithOwner(part.Span, p.Node, p.ServerIncarnation, part.Handover)
	}

	return m
}

// handoverText returns the handover text for a span, if a single released span covers it.
func (mv move) handoverText(s keymap.Span) string {
	for _, r := range mv.handover {
		if r.Covers(s) {
			return r.Handover
		}
	}

	return ""
}

// splitByHandover splits a span at the boundaries of the released spans, which must be sorted and disjoint: one that
// begins before the end of an earlier one is skipped. Released spans that only partly overlap s are clipped to it.
func (mv move) splitByHandover(s keymap.Span) []Released {
	var parts []Released

	next := s.From

	for _, r := range mv.handover {
		from, to := max(r.From, s.From), min(r.To, s.To)
		if from > to || from < next {
			continue
		}

		if from > next {
			parts = append(parts, Released{Span: keymap.Span{From: next, To: from - 1}})
		}

		parts = append(parts, Released{Span: keymap.Span{From: from, To: to}, Handover: r.Handover})
		next = to + 1
	}

	if next <= s.To {
		parts = append(parts, Released{Span: keymap.Span{From: next, To: s.To}})
	}

	return parts
}

// candidates returns the other nodes that may receive keys, the least utilized first.
func (o *Owner) candidates() []mesh.Peer {
	now := o.deps.Clock.Now()
	timeout := o.deps.Mesh.LivenessTimeout()

	var candidates []mesh.Peer

	for _, p := range o.deps.Mesh.Peers() {
		if p.Service == o.cfg.Service && p.Ready && !p.Leaving && p.Alive(now, timeout) && !o.deps.ZoneWithdrawn(p.Zone) {
			candidates = append(candidates, p)
		}
	}

	slices.SortStableFunc(candidates, func(a, b mesh.Peer) int {
		switch {
		case a.Utilization < b.Utilization:
			return -1
		case a.Utilization > b.Utilization:
			return 1
		}

		return 0
	})

	return candidates
}

// removeMoves removes moves that have been written or canceled.
func (o *Owner) removeMoves(done []move) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.moves = slices.DeleteFunc(o.moves, func(m move) bool {
		return slices.ContainsFunc(done, func(d move) bool { return d.Span == m.Span })
	})
}

// markOutcomeUnknown records that a transaction that moves these spans may have been sent. Until the map has a new
// revision, that transaction may still be applied.
func (o *Owner) markOutcomeUnknown(sent []move) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for i := range o.moves {
		m := &o.moves[i]
		m.outcomeUnknown = m.outcomeUnknown || slices.ContainsFunc(sent, func(d move) bool { return d.Span == m.Span })
	}
}

// cancelMoves cancels moves for which there is no candidate, if the backend server of this node is still allowed to
// hold the keys. If the outcome of an earlier transaction is unknown, the map is first rewritten so that the
// transaction can't apply later; if that fails, the moves stay.
func (o *Owner) cancelMoves(ctx context.Context, free []move) {
	o.mu.Lock()
	canKeepKeys := !o.draining && !o.hasDepartedLocked() && o.deps.Clock.Now() < o.lastHeartbeat+o.cfg.GrantTTL
	o.mu.Unlock()

	if !canKeepKeys || o.deps.ZoneWithdrawn(o.cfg.Zone) {
		return
	}

	if slices.ContainsFunc(free, func(m move) bool { return m.outcomeUnknown }) && !o.rewriteMap(ctx) {
		return
	}

	o.removeMoves(free)
}

// rewriteMap writes the unchanged map under a new revision, so that no earlier transaction can still take effect.
func (o *Owner) rewriteMap(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, mapChangeTimeout.Duration())
	defer cancel()

	return o.change(ctx, func(m keymap.Map) (keymap.Map, bool) { return m, true }, o.leaseCondition)
}
