package fleet

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/table"
)

// Member reads and updates a node's own row in the table.
type Member struct {
	sync      *Sync
	writer    *table.Writer
	updateSem chan struct{}
	lost      chan struct{}

	mu       sync.Mutex
	node     spar.Node
	revision spar.Revision
	// pending is the row in an update whose result is not known yet.
	pending *spar.Node
}

// NewMember returns the member for a node that has no row yet.
func NewMember(node spar.Node, s *Sync, t spar.Table, clock spar.Clock) *Member {
	return &Member{
		node: node, sync: s, writer: table.NewWriter(t, clock, node.ID, "member"),
		updateSem: make(chan struct{}, 1), lost: make(chan struct{}),
	}
}

// Self returns the node as last committed and the revision of its row, which is 0 before the node is
// registered.
func (m *Member) Self() (spar.Node, spar.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.node, m.revision
}

// ID returns the node's id.
func (m *Member) ID() spar.NodeID {
	n, _ := m.Self()

	return n.ID
}

// WitnessSets returns the witness sets in each of which the node needs a majority: that of its committed
// row and, from before an update is sent until its result is known, that of the update. There are none
// before the node is registered or after it is lost.
func (m *Member) WitnessSets() [][]spar.NodeID {
	if m.IsLost() {
		return nil
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.revision == 0 {
		return nil
	}

	sets := [][]spar.NodeID{m.node.Witnesses}
	if m.pending != nil {
		sets = append(sets, m.pending.Witnesses)
	}

	return sets
}

// Lost returns a channel that is closed when another node has marked this one lost. A lost node never
// returns under its id.
func (m *Member) Lost() <-chan struct{} {
	return m.lost
}

// IsLost reports whether this node knows that another one has marked it lost.
func (m *Member) IsLost() bool {
	select {
	case <-m.lost:
		return true
	default:
		return false
	}
}

// MarkLost records that another node has marked this one lost.
func (m *Member) MarkLost() {
	m.mu.Lock()
	defer m.mu.Unlock()

	select {
	case <-m.lost:
	default:
		close(m.lost)
	}
}

// Update commits the row that change returns for the current one. An earlier update with unknown verdict
// is resolved first. A rejection because of the node's own row means that another node has marked this one
// lost.
func (m *Member) Update(ctx context.Context, change func(spar.Node) spar.Node) spar.Commit {
	rejected := spar.Commit{Verdict: spar.VerdictRejected}

	select {
	case m.updateSem <- struct{}{}:
	case <-ctx.Done():
		return rejected
	}
	defer func() { <-m.updateSem }()

	if c, ok := m.writer.ResolvePending(ctx); ok {
		if m.applyResult(c); c.Verdict == spar.VerdictUnknown {
			return rejected
		}
	}

	if m.IsLost() {
		return rejected
	}

	node, revision := m.Self()
	next := change(node)
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: NodeKey(node.ID), Revision: revision}},
		Writes:     []spar.Write{{Key: NodeKey(node.ID), Value: Encode(next)}},
	}

	m.mu.Lock()
	m.pending = &next
	m.mu.Unlock()

	c := m.writer.Commit(ctx, txn)
	m.applyResult(c)

	return c
}

// applyResult applies the result of the update in flight.
func (m *Member) applyResult(c spar.Commit) {
	if c.Verdict == spar.VerdictUnknown {
		return
	}

	m.mu.Lock()
	if c.Verdict == spar.VerdictApplied {
		m.node, m.revision = *m.pending, c.Revision
	}

	m.pending = nil
	node := m.node
	m.mu.Unlock()

	switch {
	case c.Verdict == spar.VerdictApplied:
		m.sync.replica.Merge([]spar.Row{{Key: NodeKey(node.ID), Value: Encode(node), Revision: c.Revision}}, 0)
	case c.Conflict == NodeKey(node.ID):
		m.MarkLost()
	}
}

// Announce sends the node's row to all peers.
func (m *Member) Announce(ctx context.Context) {
	node, revision := m.Self()
	m.sync.Push(ctx, node.ID, []spar.Row{{Key: NodeKey(node.ID), Value: Encode(node), Revision: revision}})
}
