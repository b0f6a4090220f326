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

// Planner assigns unowned slots and those of lost nodes to live nodes, and takes over nodes whose table
// lease has expired. It may run on several nodes at once: every transaction is conditional on the rows
// from which it was planned.
type Planner struct {
	self     spar.NodeID
	replica  *fleet.Replica
	sync     *fleet.Sync
	writer   *table.Writer
	clock    spar.Clock
	record   spar.Recorder
	observed map[spar.NodeID]observation
	backoff  backoff
}

// NewPlanner returns the planner of one node.
func NewPlanner(
	self spar.NodeID, r *fleet.Replica, s *fleet.Sync, t spar.Table, clock spar.Clock, record spar.Recorder,
) *Planner {
	return &Planner{
		self: self, replica: r, sync: s, clock: clock, record: record,
		writer: table.NewWriter(t, clock, self, "plan"), observed: map[spar.NodeID]observation{},
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
		if !p.isActive(v) {
			continue
		}

		for _, s := range v.Services() {
			if txn, ok := AssignTxn(v, s.Name); ok {
				p.commit(ctx, txn, spar.Event{Kind: spar.EventAssigned, Service: s.Name})
			}
		}
	}
}

// isActive reports whether this node is the active planner: the live node with the lowest id.
func (p *Planner) isActive(v *fleet.View) bool {
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
	if c.Verdict != spar.VerdictApplied {
		p.backoff = p.backoff.afterFailure(p.clock.Now())

		return
	}

	p.backoff = backoff{}
	e.Revision = c.Revision
	p.record.Record(e)
	p.sync.Push(ctx, p.self, fleet.RowsOf(txn, c.Revision))
}
