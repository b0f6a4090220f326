package follow

import (
	"context"
	"time"
)

// poll is a long poll for changes, with a concurrent scan of the table after a call of Refresh.
type poll struct {
	follower *Follower
	changes  chan result
	// scan is nil while no scan is in progress. failure is the result of the long poll if that has failed.
	scan    chan result
	failure *result
	// refresh is nil while no further scan may start: during a scan, and after a failed one until scanDelay fires.
	refresh   <-chan struct{}
	scanDelay *time.Timer
}

// longPoll waits for changes by a long poll. If Refresh reports a missing change, it scans the table meanwhile
// and keeps the long poll: its response may be in flight over a slow link, and after a cancellation the next
// request would need a new connection.
func (f *Follower) longPoll(ctx context.Context, pos position) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	p := &poll{
		follower: f, changes: make(chan result, 1), refresh: f.refresh, scanDelay: f.deps.Clock.Timer(initialBackoff),
	}
	p.scanDelay.Stop()

	go f.runChanges(ctx, pos, p.changes)

	return p.await(ctx)
}

// await returns the first successful result of the long poll and the scans. It returns the failure of the long
// poll once no scan is in progress.
func (p *poll) await(ctx context.Context) result {
	defer p.scanDelay.Stop()

	for {
		select {
		case res := <-p.changes:
			if res.err == nil || p.scan == nil {
				return res
			}

			p.failure = &res
		case <-p.refresh:
			p.refresh, p.scan = nil, make(chan result, 1)

			go p.follower.runScan(ctx, p.scan)
		case res := <-p.scan:
			if res.err == nil {
				return res
			}

			if p.failure != nil {
				return *p.failure
			}

			p.follower.deps.Log.Warn("cannot scan table", "table", p.follower.cfg.Name, "cause", res.err)
			p.scan = nil
			p.scanDelay.Reset(initialBackoff.Duration())
		case <-p.scanDelay.C:
			p.refresh = p.follower.refresh
		}
	}
}

func (f *Follower) runChanges(ctx context.Context, pos position, to chan<- result) {
	to <- f.changes(ctx, pos)
}

func (f *Follower) runScan(ctx context.Context, to chan<- result) {
	to <- f.scan(ctx)
}
