package plan

import (
	"context"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
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

		p.takeOverStale(ctx)

		v := p.replica.View()
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
