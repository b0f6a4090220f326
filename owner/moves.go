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
	// lapseMargin is how long after the end of the last grant the keys of an unresponsive backend server move.
	lapseMargin spar.Millis = 150
	// moveTimeout is the timeout of one change of the map.
	moveTimeout spar.Millis = 5000
)

// loopMoves writes the moves whose keys are free to the map, and releases the keys of a backend server that is
// unresponsive or has departed.
func (o *Owner) loopMoves(ctx context.Context) {
	for o.deps.Clock.Sleep(ctx, moveCheckInterval) {
		if o.releaseUnusable() {
			o.announce(ctx)
		}

		if free := o.freeMoves(); len(free) > 0 && o.Leased() {
			o.writeMoves(ctx, free)
		}
	}
}

// releaseUnusable begins to release all keys if the backend server can't or must not hold them any longer: it is
// unresponsive and its grants have expired, or it has departed, or its availability zone is withdrawn. It reports
// whether it began to release any.
func (o *Owner) releaseUnusable() (begun bool) {
	withdrawn := o.deps.ZoneWithdrawn(o.cfg.Zone)

	o.mu.Lock()
	defer o.mu.Unlock()

	now := o.deps.Clock.Now()
	expired := now > max(o.holdsUntil, o.lastHeartbeat+o.cfg.GrantTTL)+lapseMargin
	departed := !o.departed.IsZero() && o.departed == o.incarnation

	if o.lease.revision == 0 || !expired && !departed && !withdrawn {
		return false
	}

	begun = o.releaseAllLocked()

	if expired && !o.usesCommands() {
		for i := range o.moves {
			o.moves[i].omitted, o.moves[i].free = true, true
		}
	}

	return begun
}

// freeMoves returns the moves whose keys no backend server holds.
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

// writeMoves assigns free spans to other nodes. If there is no other node, the keys stay here.
func (o *Owner) writeMoves(ctx context.Context, free []move) {
	candidates := o.candidates()
	if len(candidates) == 0 {
		o.cancelMoves(ctx, free)

		return
	}

	o.markSent(free)

	ctx, cancel := context.WithTimeout(ctx, moveTimeout.Duration())
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

// handOver assigns the part of a range that a move covers to its receiver or, without one, to all candidates.
func (o *Owner) handOver(m keymap.Map, mv move, r keymap.Range, candidates []mesh.Peer) keymap.Map {
	span := keymap.Span{From: max(r.From, mv.From), To: min(r.To, mv.To)}

	if i := slices.IndexFunc(candidates, func(p mesh.Peer) bool { return p.Node == mv.target }); i >= 0 {
		o.deps.Log.Info("moving keys", "from", span.From, "to", span.To, "node", mv.target,
			"warm", mv.handoverText(span) != "")

		return m.WithOwner(span, mv.target, candidates[i].ServerIncarnation, mv.handoverText(span))
	}

	// Without a chosen receiver the released spans are distributed one by one, so that each handover text reaches
	// the node that receives its span.
	parts := mv.splitByHandover(span)
	if len(parts) == 1 && parts[0].Handover == "" {
		parts = nil
		for _, s := range span.Split(len(candidates)) {
			parts = append(parts, Released{Span: s})
		}
	}

	for i, part := range parts {
		p := candidates[i%len(candidates)]
		o.deps.Log.Info("moving keys", "from", part.From, "to", part.To, "node", p.Node, "warm", part.Handover != "")
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

// splitByHandover splits a span at the boundaries of the released spans within it.
func (mv move) splitByHandover(s keymap.Span) []Released {
	var rows []Released

	next := s.From

	for _, r := range mv.handover {
		from, to := max(r.From, s.From), min(r.To, s.To)
		if from > to || from < next {
			continue
		}

		if from > next {
			rows = append(rows, Released{Span: keymap.Span{From: next, To: from - 1}})
		}

		rows = append(rows, Released{Span: keymap.Span{From: from, To: to}, Handover: r.Handover})
		next = to + 1
	}

	if next <= s.To {
		rows = append(rows, Released{Span: keymap.Span{From: next, To: s.To}})
	}

	return rows
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

// markSent marks moves whose transaction is about to be sent. It may take effect until the map has a new revision.
func (o *Owner) markSent(sent []move) {
	o.mu.Lock()
	defer o.mu.Unlock()

	for i := range o.moves {
		m := &o.moves[i]
		m.outcomeUnknown = m.outcomeUnknown || slices.ContainsFunc(sent, func(d move) bool { return d.Span == m.Span })
	}
}

// cancelMoves cancels moves for which there is no receiver, if the backend server here may still hold the keys. An
// earlier transaction that moves them must not take effect after that, so the map is rewritten first.
func (o *Owner) cancelMoves(ctx context.Context, free []move) {
	o.mu.Lock()
	usable := !o.draining && o.departed != o.incarnation && o.deps.Clock.Now() < o.lastHeartbeat+o.cfg.GrantTTL
	o.mu.Unlock()

	if !usable || o.deps.ZoneWithdrawn(o.cfg.Zone) {
		return
	}

	if slices.ContainsFunc(free, func(m move) bool { return m.outcomeUnknown }) && !o.rewriteMap(ctx) {
		return
	}

	o.removeMoves(free)
}

// rewriteMap writes the unchanged map under a new revision, so that no earlier transaction can still take effect.
func (o *Owner) rewriteMap(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, moveTimeout.Duration())
	defer cancel()

	return o.change(ctx, func(m keymap.Map) (keymap.Map, bool) { return m, true }, o.leaseCondition)
}
