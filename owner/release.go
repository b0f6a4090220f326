package owner

import (
	"context"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/hold"
)

// releaseTimeout is the timeout of a release command, which is answered once no request for the keys is in progress.
const releaseTimeout spar.Millis = 5000

// dueReleases begins the moves that may begin, marks the moves whose keys are free, and returns the releases to
// send.
func (o *Owner) dueReleases() []outgoing {
	withdrawn := o.deps.ZoneWithdrawn(o.cfg.Zone)

	o.mu.Lock()
	defer o.mu.Unlock()

	now := o.deps.Clock.Now()
	o.tracker.Expire(now)

	urgent := o.draining || o.hasDepartedLocked() || withdrawn || now-o.lastHeartbeat > o.cfg.GrantTTL
	if !urgent {
		o.dropStaleMovesLocked(now)
	}

	var due []outgoing

	begun := false

	for i := range o.moves {
		m := &o.moves[i]

		// The keys stay in use here until no outstanding grant on them can take effect after they have moved.
		if !m.begun && (urgent || o.tracker.Settled(m.Span)) {
			m.begun, begun = true, true
		}

		if !m.begun || m.free || o.tracker.Pending(m.Span) {
			continue
		}

		m.free = o.tracker.Free(m.Span) || o.deps.Flaws.NoReleaseWait
		for _, g := range o.tracker.BeginRelease(m.Span) {
			due = append(due, outgoing{Command: Command{Span: g.Span, Epoch: g.Epoch, Incarnation: o.incarnation}})
		}
	}

	if begun {
		o.updateHoldsLocked()
	}

	return due
}

// dropStaleMovesLocked drops the moves that could not begin before the load figures behind them became outdated.
func (o *Owner) dropStaleMovesLocked(now spar.Millis) {
	o.moves = slices.DeleteFunc(o.moves, func(m move) bool { return !m.begun && now-m.since > expectWindow })
}

// runRelease sends a release and records its result.
func (o *Owner) runRelease(ctx context.Context, p outgoing) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout.Duration())
	defer cancel()

	text, reply, err := o.deps.Commands.Release(callCtx, p.Command)
	if reply != ReplyDone && !o.deps.Flaws.AssumeReleased {
		o.deps.Log.Warn("release not answered", "from", p.From, "to", p.To, "epoch", p.Epoch, "reply", reply, "cause", err)
		o.deps.Clock.Sleep(ctx, resendDelay)
	}

	o.recordRelease(p, text, reply == ReplyDone || o.deps.Flaws.AssumeReleased)
	o.wakePush()
}

// recordRelease records the result of a release.
func (o *Owner) recordRelease(p outgoing, text string, done bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.incarnation != p.Incarnation {
		return
	}

	if !done {
		o.tracker.ReleaseFailed(p.Span)

		return
	}

	o.tracker.Released(hold.Grant{Span: p.Span, Epoch: p.Epoch})

	for i := range o.moves {
		if m := &o.moves[i]; m.Overlaps(p.Span) && text != "" {
			m.handover = append(m.handover, Released{Span: p.Span, Handover: text})
		}
	}
}
