package relay

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/rules"
)

const (
	// feedWait is how long the store holds a question for changes open.
	feedWait spar.Millis = 20_000
	// feedProbe is that time after a failure, so that a store that is silent is asked again soon.
	feedProbe spar.Millis = 50
	// rowsTimeout bounds a read of a whole table.
	rowsTimeout spar.Millis = 1500
	// feedPauseFirst and feedPauseMost are the pauses after failed questions.
	feedPauseFirst spar.Millis = 200
	feedPauseMost  spar.Millis = 1000
)

// operator holds what operators have written: the rules in force and the zones taken out.
type operator struct {
	table   Table
	adapter Adapter
	clock   spar.Clock
	log     *log.Logger

	set   atomic.Pointer[rules.Set]
	again chan struct{}

	mu  sync.Mutex
	out map[string]bool
}

func newOperator(deps Deps) *operator {
	return &operator{
		table: deps.Table, adapter: deps.Adapter, clock: deps.Clock, log: deps.Log,
		out: map[string]bool{}, again: make(chan struct{}, 1),
	}
}

// Rules returns the rules in force, or nil.
func (o *operator) Rules() *rules.Set {
	return o.set.Load()
}

// Keyed reports whether a service is divided by key, and whether that is known.
func (o *operator) Keyed(service string) (keyed, known bool) {
	set := o.Rules()
	if set == nil {
		return false, false
	}

	s, ok := set.Service(service)

	return s.Keyed, ok
}

// version returns the version of the rules in force, or 0.
func (o *operator) version() uint64 {
	if set := o.Rules(); set != nil {
		return set.Version
	}

	return 0
}

// Evacuated reports whether a zone is taken out.
func (o *operator) Evacuated(zone string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.out[zone]
}

// loop follows the operators' table.
func (o *operator) loop(ctx context.Context) {
	f := follower{
		name: o.adapter.OperatorTable(), prefix: o.adapter.OperatorTable() + "//", table: o.table, clock: o.clock, log: o.log,
		all: o.replace, some: o.apply, again: o.again,
	}
	f.loop(ctx)
}

// replace takes the whole table: zones that are not in it are in.
func (o *operator) replace(rows []spar.Row) {
	out := map[string]bool{}

	for _, r := range rows {
		if zone, gone, ok := o.adapter.Evacuated(r); ok && gone {
			out[zone] = true
		}
	}

	o.mu.Lock()
	changed := !maps.Equal(out, o.out)
	o.out = out
	o.mu.Unlock()

	if changed {
		o.log.Info("zones taken out", "count", len(out))
	}

	o.takeRules(rows)
}

// apply takes changed rows.
func (o *operator) apply(rows []spar.Row) {
	for _, r := range rows {
		zone, out, ok := o.adapter.Evacuated(r)
		if !ok {
			continue
		}

		o.mu.Lock()
		o.out[zone] = out
		o.mu.Unlock()
		o.log.Info("zone changes", "zone", zone, "out", out, "revision", r.Revision)
	}

	o.takeRules(rows)
}

// takeRules takes a newer version of the rules. A version never goes back.
func (o *operator) takeRules(rows []spar.Row) {
	for _, r := range rows {
		set, err := o.adapter.Rules(r)
		if err != nil {
			o.log.Error("rules refused", "revision", r.Revision, "cause", err)

			continue
		}

		if last := o.set.Load(); set == nil || last != nil && set.Version <= last.Version {
			continue
		}

		o.set.Store(set)
		o.log.Info("rules in force", "version", set.Version, "revision", r.Revision)
	}
}

// follower follows a table: it reads all rows once, and then the changes.
type follower struct {
	name string
	// prefix is that of the rows that are read at first.
	prefix string
	table  Table
	clock  spar.Clock
	log    *log.Logger
	all    func([]spar.Row)
	some   func([]spar.Row)
	// again is sent to when a change is known to be missing.
	again <-chan struct{}
	// every is the pause between two questions, for a table whose changes may come late; 0 has the store
	// hold the question until there is a change.
	every spar.Millis
}

func (f follower) loop(ctx context.Context) {
	var (
		since spar.Revision
		known bool
		down  bool
		wait  = feedWait
		pause = spar.Backoff{First: feedPauseFirst, Most: feedPauseMost}
	)

	for ctx.Err() == nil {
		next, err := f.interruptible(ctx, func(ctx context.Context) (spar.Revision, error) {
			return f.step(ctx, since, known, wait)
		})
		wait = feedWait

		switch {
		case err == nil:
			if down {
				f.log.Info("store answers again", "table", f.name, "revision", next)
			}

			since, known, down, pause = next, true, false, pause.WithSuccess()
			f.rest(ctx)
		case errors.Is(err, spar.ErrHistoryLost):
			f.log.Warn("history lost; the table is read anew", "table", f.name, "since", since)

			known = false
		case errors.Is(err, errAgain):
			wait = feedProbe
		default:
			if !down && ctx.Err() == nil {
				f.log.Warn("store does not answer", "table", f.name, "cause", err)
			}

			// A store that was silent may never answer a question from before its return, so the next one
			// is short.
			down, wait, pause = true, feedProbe, pause.WithFailure()
			f.clock.Sleep(ctx, pause.Pause())
		}
	}
}

// rest waits until the next question is due.
func (f follower) rest(ctx context.Context) {
	if f.every <= 0 {
		return
	}

	t := f.clock.Timer(f.every)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-f.again:
	case <-t.C:
	}
}

// errAgain says that a question was given up because a change is known to be missing.
var errAgain = errors.New("a change is missing")

// interruptible runs a step until again is sent to. A question that the store does not hold open is
// short and runs to its end.
func (f follower) interruptible(
	ctx context.Context, step func(context.Context) (spar.Revision, error),
) (spar.Revision, error) {
	if f.every > 0 {
		return step(ctx)
	}

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	done := make(chan struct{})
	defer close(done)

	go f.runInterrupt(done, cancel)

	next, err := step(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errAgain) {
		err = errAgain
	}

	return next, err
}

func (f follower) runInterrupt(done <-chan struct{}, cancel context.CancelCauseFunc) {
	select {
	case <-done:
	case <-f.again:
		cancel(errAgain)
	}
}

func (f follower) step(ctx context.Context, since spar.Revision, known bool, wait spar.Millis) (spar.Revision, error) {
	if known {
		if f.every > 0 {
			wait = 0
		}

		rows, next, err := f.table.Changes(ctx, f.name, since, wait)
		if err == nil && len(rows) > 0 {
			f.some(rows)
		}

		return max(since, next), err
	}

	ctx, cancel := context.WithTimeout(ctx, rowsTimeout.Duration())
	defer cancel()

	rows, next, err := f.table.Scan(ctx, f.prefix, 0)
	if err == nil {
		f.all(rows)
	}

	return next, err
}
