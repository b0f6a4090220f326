// Package hold tracks the grants that were sent to a backend server, and so the keys that it may hold. A grant
// without an answer may still take effect long after it was sent, and counts until it no longer can.
package hold

import (
	"math"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Grant permits the backend server to hold a span of keys for a time.
type Grant struct {
	keymap.Span

	Epoch int64
	// TTL is the duration of the hold, which the backend server counts from the arrival of the grant.
	TTL spar.Millis
}

// HeldSpan is a span that the backend server holds at least until a time.
type HeldSpan struct {
	keymap.Span

	Until spar.Millis
}

// GrantID identifies a grant that has no answer yet.
type GrantID int64

// state is the state of a grant.
type state int

const (
	// pending is a grant that has no answer yet.
	pending state = iota
	// accepted is a grant that the backend server has accepted.
	accepted
	// unanswered is a grant that will have no answer, but may still take effect.
	unanswered
)

// entry is a grant, or a part of one that still counts.
type entry struct {
	Grant

	id    GrantID
	state state
	sent  spar.Millis
	// earliest and latest bound the end of the hold.
	earliest spar.Millis
	latest   spar.Millis
	// releasing reports whether a release of the span is in progress.
	releasing bool
}

// Limits are the assumed bounds on the timing of a backend server.
type Limits struct {
	// MaxCommandDelay is how long after it was sent a grant without an answer may still take effect.
	MaxCommandDelay spar.Millis
	// ClockError is the fraction by which a hold may last longer, because of the backend server's clock.
	ClockError float64
}

// Tracker tracks the grants sent to one incarnation of a backend server. Times are those of the granting node's
// clock. It is not safe for concurrent use.
type Tracker struct {
	limits  Limits
	lastID  GrantID
	entries []entry
}

// New returns a grant tracker without grants.
func New(l Limits) *Tracker {
	return &Tracker{limits: l}
}

// Clear removes all grants, because the backend server that they were sent to has ended.
func (t *Tracker) Clear() {
	t.entries = nil
}

// AssumeEarlier adds an unanswered grant of all keys in place of those that an earlier process may have sent until
// now, with a duration of at most maxTTL. Accepted grants of this process never replace it, since they don't
// prove that the earlier ones can no longer take effect.
func (t *Tracker) AssumeEarlier(now, maxTTL spar.Millis) {
	g := Grant{Span: keymap.Span{To: keymap.Keys - 1}, Epoch: math.MaxInt64, TTL: maxTTL}
	t.entries = append(t.entries, entry{Grant: g, state: unanswered, sent: now, latest: t.latestEnd(now, maxTTL)})
}

// Begin adds a grant that is about to be sent, and returns its id.
func (t *Tracker) Begin(g Grant, now spar.Millis) GrantID {
	t.lastID++
	t.entries = append(t.entries, entry{Grant: g, id: t.lastID, sent: now, latest: t.latestEnd(now, g.TTL)})

	return t.lastID
}

// latestEnd returns the latest end of a hold whose grant takes effect as late as an unanswered one can.
func (t *Tracker) latestEnd(sent, ttl spar.Millis) spar.Millis {
	return sent + t.limits.MaxCommandDelay + t.maxHold(ttl)
}

// maxHold returns the maximum duration of a hold, by the granting node's clock.
func (t *Tracker) maxHold(ttl spar.Millis) spar.Millis {
	return ttl * spar.Millis(1+t.limits.ClockError)
}

// find returns the entry of a pending grant.
func (t *Tracker) find(id GrantID) (entry, bool) {
	i := slices.IndexFunc(t.entries, func(e entry) bool { return e.id == id && e.state == pending })
	if i < 0 {
		return entry{}, false
	}

	return t.entries[i], true
}

// MarkAccepted records that a grant was accepted at now. From then on the backend server refuses grants of earlier
// epochs, so those without an answer no longer count.
func (t *Tracker) MarkAccepted(id GrantID, now spar.Millis) {
	e, ok := t.find(id)
	if !ok {
		return
	}

	t.Drop(id)
	t.remove(e.Span, func(old entry) bool {
		return old.state == accepted && old.Epoch <= e.Epoch || old.Epoch < e.Epoch
	})

	e.state = accepted
	e.earliest = e.sent + e.TTL
	e.latest = now + t.maxHold(e.TTL)
	t.entries = append(t.entries, e)
}

// Drop removes a pending grant that can't take effect, because it was refused or never sent.
func (t *Tracker) Drop(id GrantID) {
	t.entries = slices.DeleteFunc(t.entries, func(e entry) bool { return e.id == id && e.state == pending })
}

// MarkUnanswered records that a pending grant will have no answer, but may still take effect.
func (t *Tracker) MarkUnanswered(id GrantID) {
	for i := range t.entries {
		if e := &t.entries[i]; e.id == id && e.state == pending {
			e.state = unanswered
		}
	}
}

// BeginRelease marks the accepted grants on a span as being released, and returns those that were not yet marked,
// for which a release must be sent.
func (t *Tracker) BeginRelease(s keymap.Span) []Grant {
	var grants []Grant

	for i := range t.entries {
		e := &t.entries[i]
		if e.state != accepted || e.releasing || !e.Overlaps(s) {
			continue
		}

		if !s.Covers(e.Span) {
			// The rest of the grant is kept, so the entry is split before a part of it is marked.
			t.split(i, s)

			return append(grants, t.BeginRelease(s)...)
		}

		e.releasing = true

		grants = append(grants, e.Grant)
	}

	return grants
}

// split splits an entry at the ends of a span.
func (t *Tracker) split(i int, s keymap.Span) {
	e := t.entries[i]
	inner := e
	inner.Span = keymap.Span{From: max(e.From, s.From), To: min(e.To, s.To)}
	rest := remainders(e, s)
	t.entries = slices.Replace(t.entries, i, i+1, append(rest, inner)...)
}

// Released records that the backend server has finished its work on the span of g and no longer holds it. It
// removes accepted grants up to the epoch of g.
func (t *Tracker) Released(g Grant) {
	t.remove(g.Span, func(e entry) bool { return e.state == accepted && e.Epoch <= g.Epoch })
}

// ReleaseFailed records that a release of a span had no answer, so that it will be sent again.
func (t *Tracker) ReleaseFailed(s keymap.Span) {
	for i := range t.entries {
		if t.entries[i].Overlaps(s) {
			t.entries[i].releasing = false
		}
	}
}

// remove removes a span from the matching entries.
func (t *Tracker) remove(s keymap.Span, match func(entry) bool) {
	kept := make([]entry, 0, len(t.entries)+1)

	for _, e := range t.entries {
		if !e.Overlaps(s) || !match(e) {
			kept = append(kept, e)

			continue
		}

		kept = append(kept, remainders(e, s)...)
	}

	t.entries = kept
}

// remainders returns the parts of an entry outside a span.
func remainders(e entry, s keymap.Span) []entry {
	var parts []entry

	if e.From < s.From {
		left := e
		left.To = s.From - 1
		parts = append(parts, left)
	}

	if e.To > s.To {
		right := e
		right.From = s.To + 1
		parts = append(parts, right)
	}

	return parts
}

// Expire removes the grants that have expired at now. Pending grants stay, whatever their age.
func (t *Tracker) Expire(now spar.Millis) {
	t.entries = slices.DeleteFunc(t.entries, func(e entry) bool { return e.state != pending && now > e.latest })
}

// Free reports whether the backend server cannot hold any key of a span, now or later.
func (t *Tracker) Free(s keymap.Span) bool {
	return !slices.ContainsFunc(t.entries, func(e entry) bool { return e.Overlaps(s) })
}

// Settled reports whether all grants on a span have been accepted, so that no other one may still take effect.
func (t *Tracker) Settled(s keymap.Span) bool {
	return !slices.ContainsFunc(t.entries, func(e entry) bool { return e.state != accepted && e.Overlaps(s) })
}

// Pending reports whether a grant on a span has no answer yet.
func (t *Tracker) Pending(s keymap.Span) bool {
	return slices.ContainsFunc(t.entries, func(e entry) bool { return e.state == pending && e.Overlaps(s) })
}

// LatestEnd returns the latest end of all holds, or 0 if there are none.
func (t *Tracker) LatestEnd() spar.Millis {
	var until spar.Millis
	for _, e := range t.entries {
		until = max(until, e.latest)
	}

	return until
}

// UnansweredUntil returns the latest end of the holds of unanswered grants, or 0 if there are none.
func (t *Tracker) UnansweredUntil() spar.Millis {
	var until spar.Millis

	for _, e := range t.entries {
		if e.state == unanswered {
			until = max(until, e.latest)
		}
	}

	return until
}

// LastSent returns when a grant that has the epoch and covers the span was last sent, or 0 if there is none.
func (t *Tracker) LastSent(s keymap.Span, epoch int64) spar.Millis {
	var sent spar.Millis

	for _, e := range t.entries {
		if e.Epoch == epoch && e.Covers(s) {
			sent = max(sent, e.sent)
		}
	}

	return sent
}

// HeldUntil returns the earliest end of the hold of a span, or 0 if no accepted grant of the epoch that isn't being
// released covers the span.
func (t *Tracker) HeldUntil(s keymap.Span, epoch int64) spar.Millis {
	for _, e := range t.entries {
		if e.state == accepted && !e.releasing && e.Epoch == epoch && e.Covers(s) {
			return e.earliest
		}
	}

	return 0
}

// Held returns the spans that are held and not being released, with the earliest ends of their holds.
func (t *Tracker) Held() []HeldSpan {
	var spans []HeldSpan

	for _, e := range t.entries {
		if e.state == accepted && !e.releasing {
			spans = append(spans, HeldSpan{Span: e.Span, Until: e.earliest})
		}
	}

	return spans
}
