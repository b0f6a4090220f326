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
	turn   chan struct{}
	lost   chan struct{}

	mu       sync.Mutex
	node     spar.Node
	revision spar.Revision
	next     *spar.Node
}

// NewMember returns the member for a node that has no row yet.
func NewMember(node spar.Node, s *Sync, t spar.Table, clock spar.Clock) *Member {
	return &Member{
		node: node, spread: s, writer: table.NewWriter(t, clock, node.ID, "member"),
		turn: make(chan struct{}, 1), lost: make(chan struct{}),
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

// Sets returns the witness sets in each of which the node needs a majority: that of its committed
// row, and that of an update from before it is sent until its result is known. There are none
// before the node is registered and once it is lost.
func (m *Member) Sets() [][]spar.NodeID {
	if m.IsLost() {
		return nil
	}

	m.mu.Lock()
	defer m.mu.Unlock()

	if m.revision == 0 {
		return nil
	}

	sets := [][]spar.NodeID{m.node.Witnesses}
	if m.next != nil {
		sets = append(sets, m.next.Witnesses)
	}

	return sets
}

// Lost returns a channel that is closed when another node has marked this one lost. A lost node
// never comes back under its id.
func (m *Member) Lost() <-chan struct{} {
	return m.lost
}

// IsLost reports whether another node has marked this one lost, as far as is known here.
func (m *Member) IsLost() bool {
	select {
	case <-m.lost:
		return true
	default:
		return false
	}
}

// MarkLost notes that another node has marked this one lost.
func (m *Member) MarkLost() {
	m.mu.Lock()
	defer m.mu.Unlock()

	select {
	case <-m.lost:
	default:
		close(m.lost)
	}
}

// Update commits the row that change makes of the current one. An earlier update in doubt is
// settled first. A rejection for the node's own row means that another node marked this one lost.
func (m *Member) Update(ctx context.Context, change func(spar.Node) spar.Node) spar.Commit {
	refused := spar.Commit{Verdict: spar.Rejected}

	select {
	case m.turn <- struct{}{}:
	case <-ctx.Done():
		return refused
	}
	defer func() { <-m.turn }()

	if c, ok := m.writer.Settle(ctx); ok {
		if m.settle(c); c.Verdict == spar.Unknown {
			return refused
		}
	}

	if m.IsLost() {
		return refused
	}

	node, revision := m.Self()
	next := change(node)
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: NodeKey(node.ID), Revision: revision}},
		Writes:     []spar.Write{{Key: NodeKey(node.ID), Value: Encode(next)}},
	}

	m.mu.Lock()
	m.next = &next
	m.mu.Unlock()

	c := m.writer.Commit(ctx, txn)
	m.settle(c)

	return c
}

// settle takes over the result of the update under way.
func (m *Member) settle(c spar.Commit) {
	if c.Verdict == spar.Unknown {
		return
	}

	m.mu.Lock()
	if c.Verdict == spar.Applied {
		m.node, m.revision = *m.next, c.Revision
	}

	m.next = nil
	node := m.node
	m.mu.Unlock()

	switch {
	case c.Verdict == spar.Applied:
		m.spread.replica.Merge([]spar.Row{{Key: NodeKey(node.ID), Value: Encode(node), Revision: c.Revision}}, 0)
	case c.Conflict == NodeKey(node.ID):
		m.MarkLost()
	}
}

// Announce sends the node's row to all peers.
func (m *Member) Announce(ctx context.Context) {
	node, revision := m.Self()
	m.spread.Push(ctx, node.ID, []spar.Row{{Key: NodeKey(node.ID), Value: Encode(node), Revision: revision}})
}
