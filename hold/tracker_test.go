package hold_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/hold"
	"sardinespar.example/spar/keymap"
)

const maxDelay spar.Millis = 12_000

func newTracker() *hold.Tracker {
	return hold.New(hold.Limits{MaxCommandDelay: maxDelay, ClockError: 0.02})
}

func span(from, to int) keymap.Span { return keymap.Span{From: from, To: to} }

// Guards against keys being reassigned while a grant without an answer may still take effect. The grant must
// count until the end of a hold that begins at the latest time at which it can take effect.
func TestUnansweredGrantStillCounts(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()

	id := tracker.Begin(hold.Grant{Span: span(0, 99), Epoch: 3, TTL: 1000}, 100)
	c.Check(tracker.Pending(span(50, 60)), qt.IsTrue)
	tracker.MarkUnanswered(id)
	c.Check(tracker.Pending(span(50, 60)), qt.IsFalse)
	c.Check(tracker.Settled(span(99, 200)), qt.IsFalse)
	c.Check(tracker.Settled(span(100, 200)), qt.IsTrue)
	c.Check(tracker.UnansweredUntil(), qt.Equals, 100+maxDelay+1020)

	// An accepted second grant with the same epoch doesn't prevent the first one from taking effect.
	tracker.MarkAccepted(tracker.Begin(hold.Grant{Span: span(0, 99), Epoch: 3, TTL: 1000}, 400), 410)
	tracker.Released(hold.Grant{Span: span(0, 99), Epoch: 3})
	c.Check(tracker.Free(span(0, 0)), qt.IsFalse)

	tracker.Expire(100 + maxDelay + 1020)
	c.Check(tracker.Free(span(0, 0)), qt.IsFalse)
	tracker.Expire(100 + maxDelay + 1021)
	c.Check(tracker.Free(span(0, 99)), qt.IsTrue)
}

// Guards against counting the end of a hold from the time at which its grant was sent: the backend server counts
// it from the grant's arrival, by a clock that may be slow.
func TestHoldCountsFromArrival(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()

	tracker.MarkAccepted(tracker.Begin(hold.Grant{Span: span(0, 99), Epoch: 3, TTL: 1000}, 100), 350)
	c.Check(tracker.HeldUntil(span(0, 99), 3), qt.Equals, spar.Millis(1100))
	c.Check(tracker.LatestEnd(), qt.Equals, spar.Millis(350+1020))
	c.Check(tracker.HeldUntil(span(0, 99), 4), qt.Equals, spar.Millis(0))
}

// Guards against waiting for grants that the backend server now refuses, because it has accepted one with a
// later epoch, and against forgetting the parts that the later grant doesn't cover.
func TestLaterEpochEndsEarlierGrants(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()

	tracker.MarkUnanswered(tracker.Begin(hold.Grant{Span: span(0, 99), Epoch: 3, TTL: 1000}, 100))
	tracker.MarkAccepted(tracker.Begin(hold.Grant{Span: span(20, 39), Epoch: 4, TTL: 1000}, 200), 210)
	c.Check(tracker.Settled(span(20, 39)), qt.IsTrue)
	c.Check(tracker.Settled(span(0, 19)), qt.IsFalse)
	c.Check(tracker.Settled(span(40, 99)), qt.IsFalse)
}

// Guards against the release of a part of a grant affecting the rest, and against treating a release without an
// answer as completed.
func TestReleaseOfPartKeepsRest(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()

	tracker.MarkAccepted(tracker.Begin(hold.Grant{Span: span(0, 99), Epoch: 3, TTL: 1000}, 100), 110)

	part := tracker.BeginRelease(span(10, 19))
	c.Assert(part, qt.DeepEquals, []hold.Grant{{Span: span(10, 19), Epoch: 3, TTL: 1000}})
	c.Check(tracker.BeginRelease(span(10, 19)), qt.HasLen, 0)
	c.Check(tracker.Free(span(10, 19)), qt.IsFalse)
	c.Check(tracker.HeldUntil(span(0, 9), 3), qt.Equals, spar.Millis(1100))
	c.Check(tracker.Held(), qt.HasLen, 2)

	tracker.ReleaseFailed(span(10, 19))
	c.Check(tracker.BeginRelease(span(10, 19)), qt.HasLen, 1)
	tracker.Released(part[0])
	c.Check(tracker.Free(span(10, 19)), qt.IsTrue)
	c.Check(tracker.Free(span(9, 9)), qt.IsFalse)
}

// Guards against a process ignoring grants that its predecessor may have sent, and against keeping grants of a
// backend server that has ended.
func TestAssumeAndClear(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()

	tracker.AssumeEarlier(0, 1000)
	tracker.MarkAccepted(tracker.Begin(hold.Grant{Span: span(0, 99), Epoch: 900, TTL: 1000}, 100), 110)
	c.Check(tracker.Settled(span(0, 99)), qt.IsFalse)

	tracker.Clear()
	c.Check(tracker.Free(span(0, keymap.Keys-1)), qt.IsTrue)

	// The answer to a grant to the ended server has no effect.
	tracker.MarkAccepted(1, 120)
	c.Check(tracker.Held(), qt.HasLen, 0)
}

// Guards against a grant that was refused or never sent blocking its keys.
func TestRefusedGrantDoesNotCount(t *testing.T) {
	c := qt.New(t)
	tracker := newTracker()

	tracker.Drop(tracker.Begin(hold.Grant{Span: span(0, 99), Epoch: 3, TTL: 1000}, 100))
	c.Check(tracker.Free(span(0, 99)), qt.IsTrue)
	c.Check(tracker.LastSent(span(0, 99), 3), qt.Equals, spar.Millis(0))
}
