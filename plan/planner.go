package plan

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/lease"
	"sardinespar.example/spar/table"
)

const (
	planInterval  spar.Millis = 100
	commitTimeout spar.Millis = 2000
)

// Planner gives unowned slots to live nodes and takes over the slots of lost ones. It may run on
// several nodes at once: every transaction is conditional on what it was planned from.
type Planner struct {
	self    spar.NodeID
	replica *fleet.Replica
	spread  *fleet.Sync
	writer  *table.Writer
	clock   spar.Clock
	record  spar.Recorder
	seen    map[spar.NodeID]sighting
	pause   backoff
}

// sighting is the revision of a node's row and when it was first seen.
type sighting struct {
	revision spar.Revision
	at       spar.Millis
}

// NewPlanner returns the planner of one node.
func NewPlanner(
	self spar.NodeID, r *fleet.Replica, s *fleet.Sync, t spar.Table, clock spar.Clock, record spar.Recorder,
) *Planner {
	return &Planner{
		self: self, replica: r, spread: s, clock: clock, record: record,
		writer: table.NewWriter(t, clock, self, "plan"), seen: map[spar.NodeID]sighting{},
	}
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	p.loop(ctx)
}

func (p *Planner) loop(ctx context.Context) {
	for p.clock.Sleep(ctx, planInterval) {
		if !p.ready(ctx) {
			continue
		}

		v := p.replica.View()
		p.takeOverStale(ctx, v)

		if !p.onDuty(v) {
			continue
		}

		for _, s := range v.Services() {
			if txn, ok := AssignTxn(v, s.Name); ok {
				p.commit(ctx, txn, spar.Event{Kind: spar.EventAssigned, Service: s.Name})
			}
		}
	}
}

// onDuty reports whether this node has the lowest id of the live ones.
func (p *Planner) onDuty(v *fleet.View) bool {
	for _, n := range v.Nodes() {
		if n.State == spar.NodeLive {
			return n.ID == p.self
		}
	}

	return false
}

// takeOverStale takes over nodes whose table lease has ended: their row did not change for the
// lease's lifetime on this node's clock.
func (p *Planner) takeOverStale(ctx context.Context, v *fleet.View) {
	now := p.clock.Now()

	for _, n := range v.Nodes() {
		row, _ := v.Node(n.ID)
		if n.Beat == 0 || n.ID == p.self {
			continue
		}

		if p.seen[n.ID].revision != row.Revision {
			p.seen[n.ID] = sighting{revision: row.Revision, at: now}

			continue
		}

		if now-p.seen[n.ID].at > spar.WaitFor(lease.TableTTL) {
			p.commit(ctx, TakeoverTxn(v, row), spar.Event{Kind: spar.EventTakeover, Peer: n.ID, Service: n.Service})
		}
	}
}

func (p *Planner) commit(ctx context.Context, txn spar.Txn, e spar.Event) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout.Duration())
	defer cancel()

	c := p.writer.Commit(ctx, txn)
	if c.Verdict != spar.Applied {
		p.pause = p.pause.failed(p.clock.Now())

		return
	}

	p.pause = backoff{}
	e.Revision = c.Revision
	p.record.Record(e)
	p.spread.Push(ctx, p.self, fleet.RowsOf(txn, c.Revision))
}
