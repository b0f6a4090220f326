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

// slowTable responds to each request after the time that its rows take over a slow link.
type slowTable struct {
	// transfer is the time that a response with the newest row takes.
	transfer time.Duration
	// historyLost is true if changes are unavailable.
	historyLost bool
	// changed receives a value when there is a newer row.
	changed chan struct{}
	newest  atomic.Int64
	scans   atomic.Int64
	// unreachable is true if no new connection can be opened, as over a saturated link.
	unreachable atomic.Bool
}

// errUnreachable is the error of a read that needs a new connection.
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

	if t.historyLost {
		return nil, 0, spar.ErrHistoryLost
	}

	return t.send(ctx)
}

// startFollower returns a running follower of a table and the newest revision that it has delivered.
func startFollower(t *testing.T, table *slowTable) (f *follow.Follower, newest *atomic.Int64) {
	t.Helper()

	newest = new(atomic.Int64)
	record := func(rows []spar.Row) {
		for _, r := range rows {
			newest.Store(int64(r.Revision))
		}
	}
	f = follow.New(follow.Settings{Name: "op", Prefix: "op//"}, follow.Deps{
		Clock: spar.RuntimeClock(), Table: table, Log: log.New(io.Discard), Apply: record,
		Replace:    func(rows []spar.Row, _ spar.Revision) { record(rows) },
		Membership: func() follow.Membership { return follow.Membership{Nodes: 14} },
	})

	go f.Run(t.Context())

	time.Sleep(2 * time.Second)

	return f, newest
}

// Guards against a node on a slow link that never receives a long version of the rules: each peer that has the
// version causes a call of Refresh, and each call replaced the read in progress by a new one.
func TestFrequentRefreshDoesNotRestartRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(400 * time.Millisecond)
		f, newest := startFollower(t, table)
		qt.Assert(t, newest.Load(), qt.Equals, int64(4))

		table.newest.Store(8)
		table.changed <- struct{}{}

		for range 100 {
			time.Sleep(25 * time.Millisecond)
			f.Refresh()
		}

		qt.Check(t, newest.Load(), qt.Equals, int64(8))
	})
}

// Guards against a peer's notification canceling a response in flight while the link is too saturated to open
// another connection.
func TestRefreshKeepsResponseInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(400 * time.Millisecond)
		f, newest := startFollower(t, table)
		table.unreachable.Store(true)

		table.newest.Store(8)
		table.changed <- struct{}{}

		for range 20 {
			time.Sleep(25 * time.Millisecond)
			f.Refresh()
		}

		qt.Check(t, newest.Load(), qt.Equals, int64(8))
	})
}

// Guards against a long poll to a store that was unresponsive, which keeps a node on stale rules although a peer
// has newer ones.
func TestRefreshInterruptsLongPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Millisecond)
		f, newest := startFollower(t, table)

		table.newest.Store(8)

		f.Refresh()
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, newest.Load(), qt.Equals, int64(8))
	})
}

// Guards against a follower that requests the same changes forever although they are unavailable.
func TestLostHistoryCausesScan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Millisecond)
		table.historyLost = true
		_, newest := startFollower(t, table)

		table.newest.Store(8)
		table.changed <- struct{}{}
		time.Sleep(100 * time.Millisecond)
		qt.Check(t, newest.Load(), qt.Equals, int64(8))
		qt.Check(t, table.scans.Load(), qt.Equals, int64(2))
	})
}

// Guards against scans of the table of nodes before the node's own row is written, and against several requests
// a minute for a table that seldom changes: at 295 nodes they are most of the store's load.
func TestScanInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable(time.Millisecond)

		var read atomic.Int64

		f := follow.New(follow.Settings{Name: "fleet", Prefix: "fleet//", ScanInterval: 40_000}, follow.Deps{
			Clock: spar.RuntimeClock(), Table: table, Log: log.New(io.Discard),
			Replace: func([]spar.Row, spar.Revision) { read.Add(1) },
		})

		go f.Run(t.Context())

		time.Sleep(10 * time.Second)
		qt.Check(t, read.Load(), qt.Equals, int64(0))
		f.Refresh()
		time.Sleep(90 * time.Second)
		qt.Check(t, read.Load(), qt.Equals, int64(3))
		qt.Check(t, table.scans.Load(), qt.Equals, int64(3))
	})
}
