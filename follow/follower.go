// Package follow keeps a copy of a table's rows in step with the platform's store.
package follow

import (
	"context"
	"errors"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
)

const (
	// heldWait is how long the store holds a question for changes open.
	heldWait spar.Millis = 20_000
	// probeWait is that time after a failure, so that a store that is silent is asked again soon.
	probeWait spar.Millis = 50
	// scanTimeout bounds a read of a whole table. It leaves time for long rows over a slow link.
	scanTimeout spar.Millis = 15_000
	// pauseFirst and pauseMost are the pauses after failed questions.
	pauseFirst spar.Millis = 200
	pauseMost  spar.Millis = 1000
)

// Table is the part of the store that a follower reads.
type Table interface {
	Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error)
	spar.Feed
}

// Settings are the settings of a follower.
type Settings struct {
	// Name is the table's, and Prefix that of the rows that are read at first.
	Name   string
	Prefix string
	// Every is the pause between two reads of the whole table, for one whose changes may come late; the
	// first read then waits for Again. 0 has the store hold a question until there is a change.
	Every spar.Millis
}

// Deps are what a follower works with.
type Deps struct {
	Clock spar.Clock
	Table Table
	Log   *log.Logger
	// All takes the whole table, and Some changed rows. A table that is read each while has no Some.
	All  func([]spar.Row)
	Some func([]spar.Row)
}

// Follower follows a table: it reads all rows once, and then the changes.
type Follower struct {
	cfg   Settings
	deps  Deps
	again chan struct{}
}

// New returns a follower that has read nothing.
func New(cfg Settings, deps Deps) *Follower {
	return &Follower{cfg: cfg, deps: deps, again: make(chan struct{}, 1)}
}

// Again makes the table be read soon, since a change is known to be missing.
func (f *Follower) Again() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// position is how far a follower has read.
type position struct {
	revision spar.Revision
	// whole says that all rows up to the revision are known, so that the changes after it suffice.
	whole bool
	// wait is how long the store may hold the next question.
	wait spar.Millis
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

func (f *Follower) loop(ctx context.Context) {
	var (
		at    = position{wait: heldWait}
		down  bool
		pause = spar.Backoff{First: pauseFirst, Most: pauseMost}
	)

	if f.cfg.Every > 0 && !f.awaitCall(ctx) {
		return
	}

	for ctx.Err() == nil {
		a := f.ask(ctx, at)
		at.wait = heldWait

		switch {
		case a.err == nil:
			if down {
				f.deps.Log.Info("store answers again", "table", f.cfg.Name, "revision", a.revision)
			}

			f.take(a)
			at.revision, at.whole = max(at.revision, a.revision), f.cfg.Every <= 0
			down, pause = false, pause.WithSuccess()
			f.rest(ctx)
		case errors.Is(a.err, spar.ErrHistoryLost):
			f.deps.Log.Warn("changes can't be had; the table is read anew", "table", f.cfg.Name, "since", at.revision,
				"cause", a.err)

			at.whole = false
		default:
			if !down && ctx.Err() == nil {
				f.deps.Log.Warn("store does not answer", "table", f.cfg.Name, "cause", a.err)
			}

			// A store that was silent may never answer a question from before its return, so the next one
			// is short.
			down, at.wait, pause = true, probeWait, pause.WithFailure()
			f.deps.Clock.Sleep(ctx, pause.Pause())
		}
	}
}

// answer is what a question to the table brought.
type answer struct {
	rows     []spar.Row
	revision spar.Revision
	// whole says that the rows are the whole table, and not changes.
	whole bool
	err   error
}

// take passes the rows of an answer on.
func (f *Follower) take(a answer) {
	switch {
	case a.whole:
		f.deps.All(a.rows)
	case len(a.rows) > 0:
		f.deps.Some(a.rows)
	}
}

// awaitCall waits for the first call of Again.
func (f *Follower) awaitCall(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-f.again:
		return true
	}
}

// rest waits until the next question is due.
func (f *Follower) rest(ctx context.Context) {
	if f.cfg.Every <= 0 {
		return
	}

	t := f.deps.Clock.Timer(f.cfg.Every)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-f.again:
	case <-t.C:
	}
}

// ask reads what is missing.
func (f *Follower) ask(ctx context.Context, at position) answer {
	switch {
	case !at.whole:
		f.forgetCalls()

		return f.scan(ctx)
	case at.wait <= probeWait:
		f.forgetCalls()

		return f.changes(ctx, at)
	default:
		return f.hold(ctx, at)
	}
}

// forgetCalls drops a call of Again that the read to come answers.
func (f *Follower) forgetCalls() {
	select {
	case <-f.again:
	default:
	}
}

func (f *Follower) changes(ctx context.Context, at position) answer {
	rows, next, err := f.deps.Table.Changes(ctx, f.cfg.Name, at.revision, at.wait)

	return answer{rows: rows, revision: next, err: err}
}

func (f *Follower) scan(ctx context.Context) answer {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout.Duration())
	defer cancel()

	rows, next, err := f.deps.Table.Scan(ctx, f.cfg.Prefix, 0)

	return answer{rows: rows, revision: next, whole: true, err: err}
}
