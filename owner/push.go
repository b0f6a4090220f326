package owner

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/hold"
	"sardinespar.example/spar/keymap"
)

const (
	// pushInterval is the interval between two checks for due commands if nothing changes.
	pushInterval spar.Millis = 150
	// renewAfter is the age of an accepted grant at which it is renewed.
	renewAfter spar.Millis = 2000
	// resendDelay is the delay after an unanswered grant or release, and the minimum time between two reads of the
	// map that outdated grants cause.
	resendDelay spar.Millis = 250
	// grantWindow is how long after the sending of a lease renewal grants may still be sent.
	grantWindow spar.Millis = 2750
	// maxHeartbeatAge is the maximum age of the last heartbeat when a grant is sent. A backend server that has ended
	// takes longer than that to restart, so the new incarnation gets no keys under the epochs of the old one.
	maxHeartbeatAge spar.Millis = 1000
	// grantTimeout is the timeout of a grant command.
	grantTimeout spar.Millis = 400
)

// outgoing is a command that is being sent.
type outgoing struct {
	Command

	grantID hold.GrantID
}

// usesCommands reports whether the backend server receives its grants as commands.
func (o *Owner) usesCommands() bool {
	return o.deps.Commands != nil
}

// wakePush makes loopPush check for due commands at once.
func (o *Owner) wakePush() {
	select {
	case o.pushWake <- struct{}{}:
	default:
	}
}

// loopPush sends due grants, their renewals, and releases until ctx ends.
func (o *Owner) loopPush(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()

	for ctx.Err() == nil {
		changed := o.deps.Maps.Changed()

		for _, p := range o.dueReleases() {
			wg.Go(func() { o.runRelease(ctx, p) })
		}

		for _, p := range o.dueGrants() {
			wg.Go(func() { o.runGrant(ctx, p) })
		}

		o.waitPush(ctx, changed)
	}
}

func (o *Owner) waitPush(ctx context.Context, changed <-chan struct{}) {
	t := o.deps.Clock.Timer(pushInterval)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-changed:
	case <-o.pushWake:
	case <-t.C:
	}
}

// dueGrants registers and returns the grants that are missing or need renewal. It returns none if the backend server
// has sent no recent heartbeat.
func (o *Owner) dueGrants() []outgoing {
	if keyed, _ := o.deps.Keyed(o.cfg.Service); !keyed {
		return nil
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	now := o.deps.Clock.Now()
	if o.incarnation.IsZero() || o.hasDepartedLocked() || o.lease.revision == 0 ||
		now-o.lastHeartbeat > maxHeartbeatAge {
		return nil
	}

	duration, ok := o.pushDurationLocked(now)
	if !ok {
		return nil
	}

	var due []outgoing

	m := o.deps.Maps.get(o.cfg.Service).Map
	for _, r := range m.OwnedBy(o.cfg.Node) {
		if r.Incarnation != o.incarnation || !o.mayGrantLocked(m, r) {
			continue
		}

		for _, part := range o.grantableLocked(r) {
			if !o.dueLocked(part, now, duration) {
				continue
			}

			g := hold.Grant{Span: part.Span, Epoch: part.Epoch, TTL: duration}
			due = append(due, outgoing{
				Command: Command{
					Span: part.Span, Epoch: part.Epoch, TTL: duration, Handover: part.Handover, Incarnation: o.incarnation,
				},
				grantID: o.tracker.Begin(g, now),
			})
		}
	}

	return due
}

// pushDurationLocked returns the duration of a grant that is sent now, and false if a grant carried out late could
// take effect after the end of the lease. While renewals fail, a node extends its last grants to outlast an outage
// of the table.
func (o *Owner) pushDurationLocked(now spar.Millis) (spar.Millis, bool) {
	if !o.deps.Flaws.IgnorePendingGrants && now+o.cfg.MaxCommandDelay*(1+clockError) > o.rightsUntilLocked() {
		return 0, false
	}

	if o.storeUnavailable {
		return o.cfg.MaxGrantTTL, true
	}

	return o.cfg.GrantTTL, true
}

// dueLocked reports whether a grant of a range with the given duration is due now, as its first one or as a renewal.
func (o *Owner) dueLocked(r keymap.Range, now, duration spar.Millis) bool {
	if o.tracker.Pending(r.Span) {
		return false
	}

	if sent := o.tracker.LastSent(r.Span, r.Epoch); sent > 0 && now-sent < resendDelay {
		return false
	}

	return o.tracker.HeldUntil(r.Span, r.Epoch)-now < duration-renewAfter
}

// runGrant sends a grant and records its result.
func (o *Owner) runGrant(ctx context.Context, p outgoing) {
	callCtx, cancel := context.WithTimeout(ctx, grantTimeout.Duration())
	defer cancel()

	reply, err := o.deps.Commands.Grant(callCtx, p.Command)
	o.recordGrant(p, reply)

	switch reply {
	case ReplyDone:
		o.wakePush()
	case ReplyOutdated:
		// The local map is older than the one by which the keys were granted. Only the map in the table shows who
		// owns them, and under which epoch.
		o.deps.Log.Warn("grant outdated; reading the map again", "from", p.From, "to", p.To, "epoch", p.Epoch)
		o.rereadMap(ctx)
	case ReplyUnknown:
		o.deps.Log.Warn("grant not answered", "from", p.From, "to", p.To, "epoch", p.Epoch, "cause", err)
	default:
		o.deps.Log.Warn("grant not accepted", "from", p.From, "to", p.To, "epoch", p.Epoch, "reply", reply, "cause", err)
	}
}

// rereadMap reads the map, at most once per resendDelay.
func (o *Owner) rereadMap(ctx context.Context) {
	o.mu.Lock()
	now := o.deps.Clock.Now()
	recent := o.lastReread != 0 && now-o.lastReread < resendDelay
	o.lastReread = now
	o.mu.Unlock()

	if !recent {
		o.readMap(ctx)
	}
}

// recordGrant records the result of a grant.
func (o *Owner) recordGrant(p outgoing, reply Reply) {
	o.mu.Lock()
	defer o.mu.Unlock()

	switch reply {
	case ReplyDone:
		o.tracker.MarkAccepted(p.grantID, o.deps.Clock.Now())
	case ReplyUnknown:
		o.tracker.MarkUnanswered(p.grantID)
	default:
		o.tracker.Drop(p.grantID)
	}

	o.updateHoldsLocked()
}

// updateHoldsLocked updates the gate with the keys that the backend server holds.
func (o *Owner) updateHoldsLocked() {
	incarnation := o.incarnation

	var holds []gate.Hold

	for _, s := range o.tracker.Held() {
		for _, part := range o.grantableLocked(keymap.Range{Span: s.Span}) {
			holds = append(holds, gate.Hold{Span: part.Span, Until: s.Until - grantMargin})
		}
	}

	o.deps.Gate.Update(func(u gate.Upstream) gate.Upstream {
		if u.Incarnation != incarnation {
			return u
		}

		return u.WithHolds(holds)
	})
}

// newGrantTracker returns a grant tracker. It assumes that an earlier process of this node may have granted keys.
func newGrantTracker(cfg Settings, deps Deps) *hold.Tracker {
	limits := hold.Limits{MaxCommandDelay: cfg.MaxCommandDelay, ClockError: clockError}
	if deps.Flaws.IgnorePendingGrants {
		limits.MaxCommandDelay = 1
	}

	t := hold.New(limits)
	t.AssumeEarlier(deps.Clock.Now(), cfg.MaxGrantTTL)

	return t
}
