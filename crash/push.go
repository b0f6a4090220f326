package crash

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

const (
	// maxParallelPushes is the largest number of simultaneous pushes of one entry.
	maxParallelPushes             = 32
	writeRetryDelay   spar.Millis = 1000
	// idleInterval is the time between two passes of the loop if nothing changes.
	idleInterval spar.Millis = 3_600_000
)

// push sends an entry to all peers and waits for each answer, but no longer than the push timeout.
func (q *Quarantine) push(ctx context.Context, e Record) {
	sem := make(chan struct{}, maxParallelPushes)

	var wg sync.WaitGroup

	for _, n := range q.replica.View().Nodes() {
		if n.ID == q.self() {
			continue
		}

		sem <- struct{}{}

		wg.Go(func() {
			defer func() { <-sem }()

			ctx, cancel := context.WithTimeout(ctx, pushTimeout.Duration())
			defer cancel()

			var result fleet.Empty

			_ = q.caller.Call(ctx, n.PeerAddr, MethodPush, e, &result)
		})
	}

	wg.Wait()
}

// Run writes changed entries to the table, and pushes lifted ones to the peers first, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	q.loop(ctx)
}

func (q *Quarantine) loop(ctx context.Context) {
	for {
		wait := idleInterval
		if !q.writePending(ctx) {
			wait = writeRetryDelay
		}

		t := q.clock.Timer(wait)
		select {
		case <-ctx.Done():
			t.Stop()

			return
		case <-q.wake:
		case <-t.C:
		}

		t.Stop()
	}
}

// enqueue makes the loop write an entry. If push is set, the loop first pushes it to the peers.
func (q *Quarantine) enqueue(fingerprint string, push bool) {
	q.addPending(fingerprint, push)

	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// addPending marks an entry for the next write, and keeps an earlier request to push it.
func (q *Quarantine) addPending(fingerprint string, push bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.pending[fingerprint] = push || q.pending[fingerprint]
}

// writePending writes the pending entries and reports whether all of them are in the table now.
func (q *Quarantine) writePending(ctx context.Context) bool {
	q.mu.Lock()
	pending := q.pending
	q.pending = map[string]bool{}
	q.mu.Unlock()

	done := true

	for fingerprint, push := range pending {
		e, ok := q.allEntries()[fingerprint]
		if !ok || q.unixMillis() >= e.UntilMs {
			continue
		}

		if push {
			q.push(ctx, e)
		}

		if !q.write(ctx, e) {
			q.addPending(fingerprint, false)

			done = false
		}
	}

	return done
}

// write merges the entry with the table's row and writes the result. It reports whether that was applied.
func (q *Quarantine) write(ctx context.Context, e Record) bool {
	key := Key(e.Fingerprint)

	row, ok, err := q.table.Get(ctx, key)
	if err != nil {
		return false
	}

	if stored, valid := decode(row); ok && valid {
		e = q.registry.Merge(stored)
	}

	value := fleet.Encode(e)

	c := q.table.Commit(ctx, spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: row.Revision}},
		Writes:     []spar.Write{{Key: key, Value: value}},
	})
	if c.Verdict != spar.VerdictApplied {
		return false
	}

	q.replica.Merge([]spar.Row{{Key: key, Value: value, Revision: c.Revision}}, 0)

	return true
}
