package plan

import (
	"context"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// commit writes the new owner. A rejected transaction is planned again after the conflicting row has been
// re-read. If the move is no longer possible or maxCommitWait has passed, the slots are released and this
// node continues to serve them. If the verdict is unknown, the slots stay held.
func (j *job) commit(ctx context.Context) MoveResult {
	t := j.Clock.Timer(maxCommitWait)
	defer t.Stop()

	select {
	case j.commitSem <- struct{}{}:
		defer func() { <-j.commitSem }()
	case <-t.C:
		j.release()

		return MoveResult{Reason: "another move is in doubt"}
	}

	until := j.Clock.Now() + maxCommitWait

	for {
		txn, reason := j.txn()
		if reason != "" || j.Clock.Now() >= until {
			j.release()

			return MoveResult{Reason: "rejected: " + reason}
		}

		switch c := j.writer.Commit(ctx, txn); c.Verdict {
		case spar.VerdictApplied:
			return j.finish(ctx, fleet.RowsOf(txn, c.Revision))
		case spar.VerdictUnknown:
			return MoveResult{Reason: "in doubt"}
		case spar.VerdictRejected:
			j.refresh(ctx, c.Conflict)
		}
	}
}

// txn returns the transaction of the move, or the reason why the current replica does not allow it.
func (j *job) txn() (spar.Txn, string) {
	n, ok := j.receiver()
	if !ok {
		return spar.Txn{}, "receiver is not live"
	}

	txn := spar.Txn{Conditions: []spar.Condition{{Key: fleet.NodeKey(n.Value.ID), Revision: n.Revision}}}
	v := j.Replica.View()

	for i := range j.service.SegmentCount() {
		g := v.Segment(j.service, i)
		next := g.Value

		for slot := range j.holds {
			if int(slot)/spar.SegmentSize != i {
				continue
			}

			a := g.Value.At(slot)
			if a.Owner != j.self {
				return spar.Txn{}, "slot has another owner"
			}

			next = next.WithAssignment(slot, a.WithMove(n.Value.ID))
		}

		if !slices.Equal(g.Value.Slots, next.Slots) {
			key := fleet.SegmentKey(j.service.Name, i)
			txn.Conditions = append(txn.Conditions, spar.Condition{Key: key, Revision: g.Revision})
			txn.Writes = append(txn.Writes, spar.Write{Key: key, Value: fleet.Encode(next)})
		}
	}

	return txn, ""
}

// finish pushes the new map to the peers, which send the calls to the receiver from then on, and then
// releases the held calls.
func (j *job) finish(ctx context.Context, rows []spar.Row) MoveResult {
	j.Replica.Merge(rows, 0)

	r := MoveResult{Rows: rows}
	pushed := &push{job: j, rows: rows, done: make(chan struct{})}
	j.wg.Go(func() { pushed.run(ctx) })

	t := j.Clock.Timer(maxPushWait)
	defer t.Stop()

	select {
	case <-pushed.done:
	case <-t.C:
	}

	for slot := range j.holds {
		j.Gate.Drop(j.params.Service, slot)
		r.Moved = append(r.Moved, slot)
	}

	j.release()

	return r
}

func (j *job) release() {
	for _, h := range j.holds {
		h.Release()
	}
}

// push sends rows to all peers once, and to the receiver again until it answers.
type push struct {
	*job

	rows []spar.Row
	done chan struct{}
}

func (p *push) run(ctx context.Context) {
	p.Sync.Push(ctx, p.self, p.rows)
	close(p.done)

	for range receiverPushAttempts {
		if p.pushToReceiver(ctx) || !p.Clock.Sleep(ctx, receiverPushInterval) {
			return
		}
	}
}

func (p *push) pushToReceiver(ctx context.Context) bool {
	n, ok := p.receiver()
	if !ok {
		return true
	}

	ctx, cancel := context.WithTimeout(ctx, receiveTimeout.Duration())
	defer cancel()

	var r fleet.Empty

	return p.Caller.Call(ctx, n.Value.PeerAddr, fleet.MethodPush, fleet.PushParams{From: p.self, Rows: p.rows}, &r) == nil
}
