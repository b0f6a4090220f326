package spar_test

import (
	"errors"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
)

// revision returns a revision that fits.
func revision(t *testing.T, era, version int64) spar.Revision {
	t.Helper()

	r, err := spar.NewRevision(era, version)
	qt.Assert(t, err, qt.IsNil)

	return r
}

// Guards against revisions that change for a table without eras, that are not ordered by era first, or that lose bits
// of a number that doesn't fit.
func TestRevision(t *testing.T) {
	c := qt.New(t)

	c.Check(revision(t, 0, 1203), qt.Equals, spar.Revision(1203))

	later := revision(t, 4, 2)
	c.Check(later > revision(t, 3, 1<<53-1), qt.IsTrue)
	c.Check([]int64{later.Era(), later.Version()}, qt.DeepEquals, []int64{4, 2})

	highest := revision(t, 1023, 1<<53-1)
	c.Check(highest, qt.Equals, spar.Revision(math.MaxInt64))
	c.Check([]int64{highest.Era(), highest.Version()}, qt.DeepEquals, []int64{1023, 1<<53 - 1})

	for _, x := range [][2]int64{{-1, 0}, {1024, 0}, {0, -1}, {0, 1 << 53}, {math.MaxInt64, 1}, {1, math.MaxInt64}} {
		_, err := spar.NewRevision(x[0], x[1])
		c.Check(err, qt.IsNotNil, qt.Commentf("%v", x))
	}
}

// Guards against a late response of an earlier era that counts, and against a first era that is taken for a restore.
func TestErasObserve(t *testing.T) {
	c := qt.New(t)

	var (
		e    spar.Eras
		seen []bool
	)

	e.Watch(func(_ int64, restored bool) { seen = append(seen, restored) })

	c.Assert(e.Observe(3), qt.IsNil)
	c.Assert(e.Observe(3), qt.IsNil)
	c.Assert(e.Observe(5), qt.IsNil)
	c.Assert(errors.Is(e.Observe(4), spar.ErrEarlierEra), qt.IsTrue)
	c.Assert(e.Observe(-1), qt.IsNotNil)
	c.Assert(e.Observe(1024), qt.IsNotNil)
	c.Check(e.Newest(), qt.Equals, int64(5))
	c.Check(seen, qt.DeepEquals, []bool{false, true})

	var plain spar.Eras

	plain.Watch(func(int64, bool) { t.Error("a table without eras changed its era") })
	c.Assert(plain.Observe(0), qt.IsNil)
	c.Assert(plain.Observe(0), qt.IsNil)
}

// Guards against a condition that matches a revision which was issued again after a restore.
func TestErasConditions(t *testing.T) {
	c := qt.New(t)

	var e spar.Eras

	c.Assert(e.Observe(4), qt.IsNil)

	txn := func(r ...spar.Revision) (txn spar.Txn) {
		for i, x := range r {
			txn.Conditions = append(txn.Conditions, spar.Condition{Key: string(rune('a' + i)), Revision: x})
		}

		return txn
	}
	now, before := revision(t, 4, 7), revision(t, 3, 7)

	_, found := e.Conflict(txn(0, now))
	c.Check(found, qt.IsFalse)

	key, found := e.Conflict(txn(0, now, before))
	c.Check([]any{key, found}, qt.DeepEquals, []any{"c", true})

	applied := func(r spar.Revision) spar.Commit { return spar.Commit{Verdict: spar.VerdictApplied, Revision: r} }
	c.Check(e.Confirm(txn(now), applied(now)).Verdict, qt.Equals, spar.VerdictApplied)
	c.Check(e.Confirm(txn(0), applied(now)).Verdict, qt.Equals, spar.VerdictApplied)
	c.Check(e.Confirm(txn(before), applied(now)).Verdict, qt.Equals, spar.VerdictUnknown)
	c.Check(e.Confirm(txn(before), spar.Commit{Verdict: spar.VerdictRejected}).Verdict, qt.Equals, spar.VerdictRejected)
}
