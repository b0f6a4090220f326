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
