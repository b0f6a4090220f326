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
