package fleet

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/table"
)

// Member owns a node's own row in the table.
type Member struct {
	spread *Sync
	writer *table.Writer

	// updating makes changes one after the other; a second one from the same revision would be
	// rejected, which looks as if the node had been marked lost.
	updating chan struct{}

	mu       sync.Mutex
	node     spar.Node
	revision spar.Revision
}

// NewMember returns the member for a node that has no row yet.
func NewMember(node spar.Node, s *Sync, t spar.Table, clock spar.Clock) *Member {
	return &Member{
		node: node, spread: s, writer: table.NewWriter(t, clock, node.ID, "member"), updating: make(chan struct{}, 1),
	}
}

// Self returns the node as last committed and its row's revision, 0 before it is registered.
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

// Update commits the row that change makes of the current one and spreads it. A rejection means
// that another node marked this one lost.
func (m *Member) Update(ctx context.Context, change func(spar.Node) spar.Node) spar.Commit {
	select {
	case m.updating <- struct{}{}:
		defer func() { <-m.updating }()
	case <-ctx.Done():
		return spar.Commit{Verdict: spar.Unknown}
	}

	node, revision := m.Self()
	next := change(node)
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: NodeKey(node.ID), Revision: revision}},
		Writes:     []spar.Write{{Key: NodeKey(node.ID), Value: Encode(next)}},
	}

	c := m.writer.Commit(ctx, txn)
	if c.Verdict != spar.Applied {
		return c
	}

	m.mu.Lock()
	m.node, m.revision = next, c.Revision
	m.mu.Unlock()

	rows := RowsOf(txn, c.Revision)
	m.spread.replica.Merge(rows, 0)

	return c
}

// Announce sends the node's row to all peers.
func (m *Member) Announce(ctx context.Context) {
	node, revision := m.Self()
	m.spread.Push(ctx, node.ID, []spar.Row{{Key: NodeKey(node.ID), Value: Encode(node), Revision: revision}})
}
