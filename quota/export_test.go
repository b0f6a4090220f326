package quota

import (
	"context"
	"encoding/json"
	"errors"
)

// Serve handles an encoded call as a peer's mux does.
func (q *Quota) Serve(ctx context.Context, method string, params []byte) (any, error) {
	switch method {
	case methodTake:
		var req takeRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}

		return q.serveTake(ctx, req)
	case methodHandover:
		var req handoverRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, err
		}

		return q.serveHandover(ctx, req)
	default:
		return nil, errors.New("unknown method")
	}
}

// Share returns the sum of the shares of a tenant that are lent to this node.
func (q *Quota) Share(tenant string) float64 {
	q.coordinatorMu.Lock()
	defer q.coordinatorMu.Unlock()

	return q.coordinator.Share(q.deps.Clock.Now(), tenant)
}

// Remembered returns the number of tenants for which this node keeps an account, a bucket or the role of coordinator.
func (q *Quota) Remembered() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.coordinatorMu.Lock()
	defer q.coordinatorMu.Unlock()

	return len(q.accounts) + len(q.acting) + len(q.coordinator.pools)
}
