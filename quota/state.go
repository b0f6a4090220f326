package quota

import spar "sardinespar.example/spar"

// State is what a node knows of the quota of a tenant.
type State struct {
	Rate, Burst float64
	Limited     bool
	// Credits are the valid ones in stock, and Waiting the requests that wait for one.
	Credits, Waiting int
	// Coordinator is the node from which credits are requested; empty if there is none.
	Coordinator string
	// NextRequest is the time until credits may be requested again.
	NextRequest spar.Millis
}

// State returns the state of a tenant's quota. It takes and requests no credit.
func (q *Quota) State(tenant string) State {
	var s State

	s.Rate, s.Burst, s.Limited = q.deps.Limits(tenant)
	if !s.Limited {
		return s
	}

	now := q.deps.Clock.Now()

	q.mu.Lock()
	defer q.mu.Unlock()

	a := account{name: tenant}
	if known, ok := q.accounts[tenant]; ok {
		a = *known
	}

	s.Credits, s.Waiting, s.NextRequest = a.stock.Len(now), a.waiting, max(0, a.nextAsk-now)

	if m, ok := q.pick(&a, now); ok {
		s.Coordinator = m.Node
	}

	return s
}
