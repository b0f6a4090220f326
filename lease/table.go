// Package lease holds and grants the right to act as an owner for a bounded time.
package lease

import (
	"context"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

const (
	// TableTTL is the lifetime of a table lease.
	TableTTL spar.Millis = 1500
	// TableRenewInterval is the interval between two writes of a table lease.
	TableRenewInterval spar.Millis = 500
)

// TableHolder holds a lease by rewriting the node's row. It is the baseline for witness leases.
type TableHolder struct {
	member *fleet.Member
	clock  spar.Clock
	until  atomic.Int64
}

// NewTableHolder returns a holder that has no lease yet.
func NewTableHolder(m *fleet.Member, clock spar.Clock) *TableHolder {
	return &TableHolder{member: m, clock: clock}
}

// Until returns the time on the local clock at which the lease ends.
func (h *TableHolder) Until() spar.Millis {
	return spar.Millis(h.until.Load())
}

// Run renews the lease until ctx ends or an update of the node's row is rejected, as it is once the node is
// lost.
func (h *TableHolder) Run(ctx context.Context) {
	h.loop(ctx)
}

func (h *TableHolder) loop(ctx context.Context) {
	for {
		sent := h.clock.Now()

		c := h.member.Update(ctx, func(n spar.Node) spar.Node { return n.WithHeartbeat(n.Heartbeat + 1) })
		if c.Verdict == spar.VerdictRejected {
			h.until.Store(0)

			return
		}

		if c.Verdict == spar.VerdictApplied {
			h.until.Store(int64(sent + spar.HolderTTL(TableTTL)))
		}

		if !h.clock.Sleep(ctx, max(0, TableRenewInterval-(h.clock.Now()-sent))) {
			return
		}
	}
}
