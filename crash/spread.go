package crash

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

const (
	// pushParallel bounds the pushes under way at once from one node.
	pushParallel             = 32
	writeAgain   spar.Millis = 1000
	idleWait     spar.Millis = 3_600_000
)

// push tells all peers of an entry and waits for their answers, at most for the push timeout each.
func (q *Quarantine) push(ctx context.Context, e Entry) {
	free := make(chan struct{}, pushParallel)

	var wg sync.WaitGroup

	for _, n := range q.replica.View().Nodes() {
		if n.ID == q.self() {
			continue
		}

		free <- struct{}{}

		wg.Go(func() {
			defer func() { <-free }()

			ctx, cancel := context.WithTimeout(ctx, pushTimeout.Duration())
			defer cancel()

			var result fleet.Empty

			_ = q.calls.Call(ctx, n.PeerAddr, MethodPush, e, &result)
		})
	}

	wg.Wait()
}

// Run pushes lifted entries and writes changed ones to the table until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	q.loop(ctx)
}

func (q *Quarantine) loop(ctx context.Context) {
	for {
		wait := idleWait
		if !q.writeChanged(ctx) {
			wait = writeAgain
		}

		t := q.clock.Timer(wait)
		select {
		case <-ctx.Done():
			t.Stop()

			return
		case <-q.changed:
		case <-t.C:
		}

		t.Stop()
	}
}

// note asks the loop to write an entry, and to push it first if the peers don't know it yet.
func (q *Quarantine) note(fingerprint string, push bool) {
	q.keep(fingerprint, push)

	select {
	case q.changed <- struct{}{}:
	default:
	}
}

func (q *Quarantine) keep(fingerprint string, push bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.unwritten[fingerprint] = push || q.unwritten[fingerprint]
}

// writeChanged reports whether all changed entries are in the table.
func (q *Quarantine) writeChanged(ctx context.Context) bool {
	q.mu.Lock()
	work := q.unwritten
	q.unwritten = map[string]bool{}
	q.mu.Unlock()

	done := true

	for fingerprint, push := range work {
		e, ok := q.all()[fingerprint]
		if !ok || q.wall() >= e.Until {
			continue
		}

		if push {
			q.push(ctx, e)
		}

		if !q.write(ctx, e) {
			q.keep(fingerprint, false)

			done = false
		}
	}

	return done
}

// write reports whether the table holds the entry.
func (q *Quarantine) write(ctx context.Context, e Entry) bool {
	key := Key(e.Fingerprint)

	row, ok, err := q.table.Get(ctx, key)
	if err != nil {
		return false
	}

	if stored, valid := decode(row); ok && valid {
		e = q.merge(stored)
	}

	value := fleet.Encode(e)

	c := q.table.Commit(ctx, spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: row.Revision}},
		Writes:     []spar.Write{{Key: key, Value: value}},
	})
	if c.Verdict != spar.Applied {
		return false
	}

	q.replica.Merge([]spar.Row{{Key: key, Value: value, Revision: c.Revision}}, 0)

	return true
}
