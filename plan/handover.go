package plan

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/guard"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/table"
)

// Methods of planned moves.
const (
	MethodMove    = "slot.move"
	MethodReceive = "slot.receive"
)

const (
	// maxMoveWait bounds the wait for the result of slot.move. A move that has no result by then continues.
	maxMoveWait spar.Millis = 3000
	// probeTimeout bounds the read that checks that the table answers, before any slot is held.
	probeTimeout spar.Millis = 500
	// maxDrainWait bounds the wait for calls in flight. 99 of 100 calls end within 13 ms; a slot with a
	// longer call stays in service here and its move is retried later.
	maxDrainWait spar.Millis = 500
	// maxRefusingDrainWait replaces maxDrainWait while the node refuses new calls: a slot that is released
	// earlier would not serve any.
	maxRefusingDrainWait spar.Millis = 2000
	receiveTimeout       spar.Millis = 500
	// maxCommitWait bounds the time in which a rejected transaction is planned again.
	maxCommitWait spar.Millis = 1000
	// maxPushWait is how long held calls wait for the new map to reach the peers. A peer that does not
	// have it by then sends a call here once more, which costs it a round trip.
	maxPushWait spar.Millis = 20
	// The push to the receiver is repeated until it answers: nobody serves the slots before it has the new
	// map.
	receiverPushAttempts             = 10
	receiverPushInterval spar.Millis = 100
)

// MoveParams are the parameters of slot.move, which asks an owner to move slots.
type MoveParams struct {
	Service  string      `json:"service"`
	Slots    []spar.Slot `json:"slots"`
	Receiver spar.NodeID `json:"receiver"`
}

// MoveResult holds the slots that were moved, the committed rows, and the reason why the other slots did
// not move.
type MoveResult struct {
	Moved  []spar.Slot `json:"moved"`
	Rows   []spar.Row  `json:"rows"`
	Reason string      `json:"reason,omitempty"`
}

// SlotRecords holds the records of one slot and the epoch at which the receiver will own it.
type SlotRecords struct {
	Slot    spar.Slot       `json:"slot"`
	Epoch   spar.Epoch      `json:"epoch"`
	Records json.RawMessage `json:"records"`
}

// ReceiveParams are the parameters of slot.receive, which sends records to the receiver of a move.
type ReceiveParams struct {
	Service  string        `json:"service"`
	From     spar.NodeID   `json:"from"`
	Receiver spar.NodeID   `json:"receiver"`
	Attempt  int64         `json:"attempt"`
	Slots    []SlotRecords `json:"slots"`
}

// ReceiveResult reports whether the records are staged.
type ReceiveResult struct {
	Staged bool `json:"staged"`
}

// MoverDeps are the dependencies of a Mover.
type MoverDeps struct {
	Replica *fleet.Replica
	Sync    *fleet.Sync
	Table   spar.Table
	Caller  peers.Caller
	Gate    *guard.Gate
	Clock   spar.Clock
	Record  spar.Recorder
}

// Mover handles planned moves for one registration of a node, on the owner's side and on the receiver's.
type Mover struct {
	MoverDeps

	self     spar.NodeID
	writer   *table.Writer
	jobs     chan *job
	attempts atomic.Int64
	// commitSem admits one transaction at a time, because the writer waits without bound for one with
	// unknown verdict.
	commitSem chan struct{}
	wg        sync.WaitGroup
}

// NewMover returns the mover of a node.
func NewMover(self spar.NodeID, d MoverDeps) *Mover {
	return &Mover{
		MoverDeps: d, self: self, writer: table.NewWriter(d.Table, d.Clock, self, "move"),
		jobs: make(chan *job), commitSem: make(chan struct{}, 1),
	}
}

// Run moves slots on request until ctx ends. If the verdict of a transaction is unknown at that moment,
// its slots stay held.
func (m *Mover) Run(ctx context.Context) {
	defer m.wg.Wait()

	m.loop(ctx)
}

func (m *Mover) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-m.jobs:
			m.wg.Go(func() { j.run(ctx) })
		}
	}
}

// Move handles slot.move. The move continues when the caller stops waiting for the result.
func (m *Mover) Move(ctx context.Context, p MoveParams) (MoveResult, error) {
	t := m.Clock.Timer(maxMoveWait)
	defer t.Stop()

	j := &job{Mover: m, params: p, done: make(chan MoveResult, 1)}

	select {
	case m.jobs <- j:
	case <-t.C:
		return MoveResult{Reason: "owner has stopped"}, nil
	case <-ctx.Done():
		return MoveResult{}, ctx.Err()
	}

	select {
	case r := <-j.done:
		return r, nil
	case <-t.C:
		return MoveResult{Reason: "in doubt"}, nil
	case <-ctx.Done():
		return MoveResult{}, ctx.Err()
	}
}

// Receive handles slot.receive.
func (m *Mover) Receive(_ context.Context, p ReceiveParams) (ReceiveResult, error) {
	n, ok := m.Replica.View().Node(m.self)
	if p.Receiver != m.self || !ok || n.Value.State != spar.NodeLive {
		return ReceiveResult{}, nil
	}

	for _, s := range p.Slots {
		m.Gate.Stage(guard.StagedRecords{
			Service: p.Service, Slot: s.Slot, Epoch: s.Epoch, From: p.From, Attempt: p.Attempt, Data: s.Records,
		})
	}

	return ReceiveResult{Staged: true}, nil
}

// job is one request to move slots.
type job struct {
	*Mover

	params  MoveParams
	service spar.Service
	holds   map[spar.Slot]*guard.Hold
	done    chan MoveResult
}

func (j *job) run(ctx context.Context) {
	r := j.move(ctx)

	for _, slot := range j.params.Slots {
		kind, detail := spar.EventMoved, ""
		if !slices.Contains(r.Moved, slot) {
			kind, detail = spar.EventMoveFailed, r.Reason
		}

		epoch := j.Replica.View().Assignment(j.service, slot).Epoch
		j.Record.Record(spar.Event{Kind: kind, Peer: j.params.Receiver, Detail: detail}.
			WithSlot(j.params.Service, slot, epoch))
	}

	j.done <- r
}

// move holds the slots, sends their records to the receiver and commits the new owner.
func (j *job) move(ctx context.Context) MoveResult {
	service, ok := j.Replica.View().Service(j.params.Service)
	if !ok || service.Mode != spar.ModeKeyed || slices.ContainsFunc(j.params.Slots, func(s spar.Slot) bool {
		return s < 0 || int(s) >= service.Slots
	}) {
		j.params.Slots = nil

		return MoveResult{Reason: "no such service or slot"}
	}

	j.service = service

	if reason := j.probe(ctx); reason != "" {
		return MoveResult{Reason: reason}
	}

	j.hold()
	j.drain(ctx)

	if len(j.holds) == 0 {
		return MoveResult{Reason: "not owned, being moved, or busy"}
	}

	if !j.sendRecords(ctx) {
		j.release()

		return MoveResult{Reason: "receiver does not take the records"}
	}

	return j.commit(ctx)
}

// probe reads the receiver's row. This also shows that the table answers: if it did not, slots would be
// held for a transaction with unknown verdict.
func (j *job) probe(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()

	if !j.refresh(ctx, fleet.NodeKey(j.params.Receiver)) {
		return "table does not answer"
	}

	if _, ok := j.receiver(); !ok {
		return "receiver is not live"
	}

	return ""
}

func (j *job) refresh(ctx context.Context, key string) bool {
	row, ok, err := j.Table.Get(ctx, key)
	if ok && err == nil {
		j.Replica.Merge([]spar.Row{row}, 0)
	}

	return err == nil
}

func (j *job) receiver() (fleet.Versioned[spar.Node], bool) {
	v := j.Replica.View()
	n, ok := v.Node(j.params.Receiver)

	return n, ok && n.Value.State == spar.NodeLive && n.Value.ID != j.self && !v.Withdrawn(n.Value)
}

// hold stops admission to those slots that this node owns and that are not being moved already.
func (j *job) hold() {
	j.holds = map[spar.Slot]*guard.Hold{}

	for _, slot := range j.params.Slots {
		h, ok := j.Gate.Hold(j.params.Service, slot)
		if !ok {
			continue
		}

		a := j.Replica.View().Assignment(j.service, slot)
		if a.Owner != j.self {
			h.Release()

			continue
		}

		j.holds[slot] = h
		j.Record.Record(spar.Event{Kind: spar.EventMoveBegun, Peer: j.params.Receiver}.
			WithSlot(j.params.Service, slot, a.Epoch))
	}
}

// drain waits for the calls in flight, and releases the slots on which they take too long.
func (j *job) drain(ctx context.Context) {
	limit := maxDrainWait
	if j.Gate.Refusing() {
		limit = maxRefusingDrainWait
	}

	t := j.Clock.Timer(limit)
	defer t.Stop()

	expired := false

	for slot, h := range j.holds {
		if !expired {
			select {
			case <-h.Idle():
			case <-ctx.Done():
				expired = true
			case <-t.C:
				expired = true
			}
		}

		select {
		case <-h.Idle():
		default:
			h.Release()
			delete(j.holds, slot)
		}
	}
}

// sendRecords sends the records of the held slots to the receiver.
func (j *job) sendRecords(ctx context.Context) bool {
	n, _ := j.receiver()
	p := ReceiveParams{
		Service: j.params.Service, From: j.self, Receiver: j.params.Receiver, Attempt: j.attempts.Add(1),
	}

	for slot := range j.holds {
		a := j.Replica.View().Assignment(j.service, slot)

		data, ok := j.Gate.Export(j.params.Service, slot, a)
		if !ok {
			return false
		}

		p.Slots = append(p.Slots, SlotRecords{Slot: slot, Epoch: a.Epoch + 1, Records: data})
	}

	ctx, cancel := context.WithTimeout(ctx, receiveTimeout.Duration())
	defer cancel()

	var r ReceiveResult

	return j.Caller.Call(ctx, n.Value.PeerAddr, MethodReceive, p, &r) == nil && r.Staged
}
