// Package follow keeps a copy of a table's rows synchronized with the platform's store.
package follow

import (
	"context"
	"errors"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
)

const (
	// probeWait is how long the store may hold a poll after a failure, so that an unresponsive store is queried again
	// soon.
	probeWait spar.Millis = 50
	// scanTimeout bounds a scan of a complete table. It leaves time for long rows over a slow link.
	scanTimeout spar.Millis = 15_000
	// initialBackoff and maxBackoff bound the delays after failed requests. initialBackoff is also the delay
	// after a scan that failed during a long poll.
	initialBackoff spar.Millis = 200
	maxBackoff     spar.Millis = 1000
)

// Table is the part of the store that a Follower reads.
type Table interface {
	Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error)
	spar.Feed
}

// Settings configure a Follower.
type Settings struct {
	// Name is the name of the table, and Prefix the key prefix that a scan reads.
	Name   string
	Prefix string
	// ScanInterval is the time between two scans, for a table whose changes may be noticed late; the first scan
	// then waits for Refresh. With 0, the follower scans once and then receives changes by long polls.
	ScanInterval spar.Millis
}

// Deps are the dependencies of a Follower.
type Deps struct {
	Clock spar.Clock
	Table Table
	Log   *log.Logger
	// Membership returns the place of this node among those that follow the table. It may be nil if Apply is not
	// called.
	Membership func() Membership
	// Replace receives the complete table as of a revision, and Apply changed rows. With a ScanInterval, Apply is
	// not called.
	Replace func(rows []spar.Row, revision spar.Revision)
	Apply   func(rows []spar.Row)
}

// Follower follows a table: it reads all rows once and then their changes, or all rows at intervals.
type Follower struct {
	cfg     Settings
	deps    Deps
	refresh chan struct{}
}

// New returns a Follower; Run starts it.
func New(cfg Settings, deps Deps) *Follower {
	return &Follower{cfg: cfg, deps: deps, refresh: make(chan struct{}, 1)}
}

// Refresh requests that the table is read again soon. It is called when a change is known to be missing.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// position is how far a follower has read.
type position struct {
	revision spar.Revision
	// complete is true if all rows up to the revision are known, so that only later changes are needed.
	complete bool
	// pollWait is how long the store may hold the next long poll. alone is true if the node knew no other node when
	// that was decided.
	pollWait spar.Millis
	alone    bool
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

func (f *Follower) loop(ctx context.Context) {
	var (
		pos         position
		unavailable bool
		backoff     = spar.Backoff{Initial: initialBackoff, Max: maxBackoff}
	)

	if f.cfg.ScanInterval > 0 && !f.awaitRefresh(ctx) {
		return
	}

	for ctx.Err() == nil {
		res := f.read(ctx, pos)

		switch {
		case res.err == nil:
			if unavailable {
				f.deps.Log.Info("store is available again", "table", f.cfg.Name, "revision", res.revision)
			}

			f.deliver(res)
			pos = f.next(pos, res)
			unavailable, backoff = false, backoff.WithSuccess()
			f.awaitInterval(ctx)
		case errors.Is(res.err, spar.ErrHistoryLost):
			f.deps.Log.Warn("changes unavailable; scanning the table again", "table", f.cfg.Name, "since", pos.revision,
				"cause", res.err)

			pos.complete = false
		default:
			if !unavailable && ctx.Err() == nil {
				f.deps.Log.Warn("store is unavailable", "table", f.cfg.Name, "cause", res.err)
			}

			// A store that was unresponsive may never answer a request from before its recovery, so the next
			// long poll is short.
			unavailable, pos.pollWait, backoff = true, probeWait, backoff.WithFailure()
			f.deps.Clock.Sleep(ctx, backoff.Delay())
		}
	}
}

// next returns the position after a successful read.
func (f *Follower) next(pos position, res result) position {
	next := position{revision: max(pos.revision, res.revision), complete: f.cfg.ScanInterval <= 0}

	if next.complete {
		m := f.deps.Membership()
		together := res.complete || len(res.rows) > 0 || pos.pollWait == probeWait || pos.alone
		next.pollWait, next.alone = PollWait(m, together), m.alone()
	}

	return next
}

// result is the result of a scan or of a request for changes.
type result struct {
	rows     []spar.Row
	revision spar.Revision
	// complete is true if the rows are the complete table rather than changes.
	complete bool
	err      error
}

// deliver passes the rows of a result to Replace or Apply.
func (f *Follower) deliver(res result) {
	switch {
	case res.complete:
		f.deps.Replace(res.rows, res.revision)
	case len(res.rows) > 0:
		f.deps.Apply(res.rows)
	}
}

// awaitRefresh waits for a call of Refresh. It returns false if ctx has ended.
func (f *Follower) awaitRefresh(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-f.refresh:
		return true
	}
}

// awaitInterval waits until the next scan is due or Refresh is called. Without a ScanInterval it returns at once.
func (f *Follower) awaitInterval(ctx context.Context) {
	if f.cfg.ScanInterval <= 0 {
		return
	}

	t := f.deps.Clock.Timer(f.cfg.ScanInterval)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-f.refresh:
	case <-t.C:
	}
}

// read requests the changes after the position if the position is complete, and scans the table otherwise.
func (f *Follower) read(ctx context.Context, pos position) result {
	switch {
	case !pos.complete:
		f.dropRefresh()

		return f.scan(ctx)
	case pos.pollWait <= probeWait:
		f.dropRefresh()

		return f.changes(ctx, pos)
	default:
		return f.longPoll(ctx, pos)
	}
}

// dropRefresh discards an earlier call of Refresh, which the next read covers.
func (f *Follower) dropRefresh() {
	select {
	case <-f.refresh:
	default:
	}
}

func (f *Follower) changes(ctx context.Context, pos position) result {
	rows, next, err := f.deps.Table.Changes(ctx, f.cfg.Name, pos.revision, pos.pollWait)

	return result{rows: rows, revision: next, err: err}
}

func (f *Follower) scan(ctx context.Context) result {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout.Duration())
	defer cancel()

	rows, next, err := f.deps.Table.Scan(ctx, f.cfg.Prefix, 0)

	return result{rows: rows, revision: next, complete: true, err: err}
}
