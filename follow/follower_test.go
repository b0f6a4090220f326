package follow_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/follow"
)

// slowTable answers each question after the time that its rows take over a slow link.
type slowTable struct {
	// transfer is the time that an answer with the newest row takes.
	transfer time.Duration
	// tooLong says that the changes can't be had.
	tooLong bool
	// changed is sent to when there is a newer row.
	changed chan struct{}
	newest  atomic.Int64
	scans   atomic.Int64
	// unreachable says that no new connection can be opened, as over a full link.
	unreachable atomic.Bool
}

// errUnreachable is the failure of a read that needs a new connection.
var errUnreachable = errors.New("connect: i/o timeout")

func newTable(transfer time.Duration) *slowTable {
	t := &slowTable{transfer: transfer, changed: make(chan struct{}, 1)}
	t.newest.Store(4)

	return t
}

// revision returns the newest row's revision.
func (t *slowTable) revision() spar.Revision {
	return spar.Revision(t.newest.Load())
}

func (t *slowTable) send(ctx context.Context) ([]spar.Row, spar.Revision, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(t.transfer):
		return []spar.Row{{Key: "op//rules", Revision: t.revision()}}, t.revision(), nil
	}
}

func (t *slowTable) Scan(ctx context.Context, _ string, _ spar.Revision) ([]spar.Row, spar.Revision, error) {
	t.scans.Add(1)

	if t.unreachable.Load() {
		return nil, 0, errUnreachable
	}

	return t.send(ctx)
}

func (t *slowTable) Changes(
	ctx context.Context, _ string, since spar.Revision, wait spar.Millis,
) ([]spar.Row, spar.Revision, error) {
	if t.revision() <= since {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-t.changed:
		case <-time.After(wait.Duration()):
			return nil, since, nil
		}
	}

	if t.tooLong {
		return nil, 0, spar.ErrHistoryLost
	}

	return t.send(ctx)
}

// started returns a follower of a table and the newest revision that it took.
func started(t *testing.T, table *slowTable) (f *follow.Follower, newest *atomic.Int64) {
	t.Helper()

	newest = new(atomic.Int64)
	take := func(rows []spar.Row) {
		for _, r := range rows {
			newest.Store(int64(r.Revision))
		}
	}
	f = follow.New(follow.Settings{Name: "op", Prefix: "op//"}, follow.Deps{
		Clock: spar.RuntimeClock(), Table: table, Log: log.New(io.Discard), All: take, Some: take,
	})

	go f.Run(t.Context())

	time.Sleep(2 * time.Second)

	return f, newest
}

// Guards against a node on a slow link that never gets a long version of the rules: each peer that knows
// the version calls for another read, and each read took the place of the one under way.
func TestReadsEndThoughPeersCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(400 * time.Millisecond)
		f, newest := started(t, table)
		qt.Assert(t, newest.Load(), qt.Equals, int64(4))

		table.newest.Store(8)
		table.changed <- struct{}{}

		for range 100 {
			time.Sleep(25 * time.Millisecond)
			f.Again()
		}

		qt.Check(t, newest.Load(), qt.Equals, int64(8))
	})
}

// Guards against news of a peer breaking off an answer that is on its way, while the link is too full to
// open another connection.
func TestNewsBreakOffAnswerOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(400 * time.Millisecond)
		f, newest := started(t, table)
		table.unreachable.Store(true)

		table.newest.Store(8)
		table.changed <- struct{}{}

		for range 20 {
			time.Sleep(25 * time.Millisecond)
			f.Again()
		}

		qt.Check(t, newest.Load(), qt.Equals, int64(8))
	})
}

// Guards against a held question to a store that was silent, which keeps a node on old rules though a
// peer knows newer ones.
func TestAgainInterruptsHeldQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Millisecond)
		f, newest := started(t, table)

		table.newest.Store(8)

		f.Again()
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, newest.Load(), qt.Equals, int64(8))
	})
}

// Guards against a follower that asks for the same changes for ever though they can't be had.
func TestChangesThatCanNotBeHadAreReadAsRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Millisecond)
		table.tooLong = true
		_, newest := started(t, table)

		table.newest.Store(8)
		table.changed <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, newest.Load(), qt.Equals, int64(8))
		qt.Check(t, table.scans.Load(), qt.Equals, int64(2))
	})
}

// Guards against reads of a table of nodes before the node's own row is written, and against several calls
// a minute for a table that seldom changes: at 295 nodes they are most of the store's load.
func TestTableReadEachWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Millisecond)

		var read atomic.Int64

		f := follow.New(follow.Settings{Name: "fleet", Prefix: "fleet//", Every: 40_000}, follow.Deps{
			Clock: spar.RuntimeClock(), Table: table, Log: log.New(io.Discard), All: func([]spar.Row) { read.Add(1) },
		})

		go f.Run(t.Context())

		time.Sleep(10 * time.Second)
		qt.Check(t, read.Load(), qt.Equals, int64(0))
		f.Again()
		time.Sleep(90 * time.Second)
		qt.Check(t, read.Load(), qt.Equals, int64(3))
		qt.Check(t, table.scans.Load(), qt.Equals, int64(3))
	})
}
