package follow

import (
	"context"
	"time"
)

// question is a question that the table holds open, and a read of the whole table beside it.
type question struct {
	follower *Follower
	held     chan answer
	// read is nil while there is no read, and failed is what became of the question if it has failed.
	read   chan answer
	failed *answer
	// again is nil while a call of Again has to wait, and pause ends that time.
	again <-chan struct{}
	pause *time.Timer
}

// hold asks for changes and lets the table hold the question. If a change is known to be missing, the
// whole table is read beside it: the answer may be on its way over a slow link, and one that is given up
// has to be asked for over a new connection.
func (f *Follower) hold(ctx context.Context, at position) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	q := &question{
		follower: f, held: make(chan answer, 1), again: f.again, pause: f.deps.Clock.Timer(pauseFirst),
	}
	q.pause.Stop()

	go f.runHeld(ctx, at, q.held)

	return q.await(ctx)
}

// await returns the first answer of the question and of the reads beside it.
func (q *question) await(ctx context.Context) answer {
	defer q.pause.Stop()

	for {
		select {
		case a := <-q.held:
			if a.err == nil || q.read == nil {
				return a
			}

			q.failed = &a
		case <-q.again:
			q.again, q.read = nil, make(chan answer, 1)

			go q.follower.runScan(ctx, q.read)
		case a := <-q.read:
			if a.err == nil {
				return a
			}

			if q.failed != nil {
				return *q.failed
			}

			q.follower.deps.Log.Warn("table not read", "table", q.follower.cfg.Name, "cause", a.err)
			q.read = nil
			q.pause.Reset(pauseFirst.Duration())
		case <-q.pause.C:
			q.again = q.follower.again
		}
	}
}

func (f *Follower) runHeld(ctx context.Context, at position, to chan<- answer) {
	to <- f.changes(ctx, at)
}

func (f *Follower) runScan(ctx context.Context, to chan<- answer) {
	to <- f.scan(ctx)
}
