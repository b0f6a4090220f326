package shell

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"sardinespar.example/spar/change"
	"sardinespar.example/spar/peers"
)

const (
	// callTimeout is above the time that a spard works on a change before it answers "unknown".
	callTimeout = 6 * time.Second
	resendPause = 200 * time.Millisecond
	// decideTime is how long a spard may take to answer a change. No change is sent again with less
	// time left: cut short, it would leave a doubt that was not there before.
	decideTime = 5 * time.Second
)

// client asks the nodes in turn.
type client struct {
	nodes []string
	pool  *peers.Pool
}

// dialError tells that nothing was sent.
type dialError struct {
	err error
}

// Error returns the cause.
func (e *dialError) Error() string {
	return e.err.Error()
}

func newClient(nodes []string, dial peers.Dialer) *client {
	marked := func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, &dialError{err: err}
		}

		return conn, nil
	}

	return &client{nodes: nodes, pool: peers.NewPool(marked, &peers.Traffic{})}
}

func (c *client) call(ctx context.Context, node, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return c.pool.Call(ctx, node, method, params, result)
}

// read asks the first node that answers. An answer that the node gave as an error is final.
func read[R any](ctx context.Context, c *client, method string, params any) (R, error) {
	var failed error

	for _, node := range c.nodes {
		var result R

		err := c.call(ctx, node, method, params, &result)
		if err == nil {
			return result, nil
		}

		var remote *jsonrpc2.Error
		if errors.As(err, &remote) {
			return result, fail(ExitFailed, "%s", remote.Message)
		}

		failed = errors.Join(failed, err)
	}

	var none R

	return none, fail(ExitFailed, "no node answers:\n%v", failed)
}

// send sends a change to the nodes in turn until its result is known or ctx ends. The operation id
// in params makes it safe to send it more than once.
func send[R any](
	ctx context.Context, c *client, op, method string, params any, resultOf func(R) change.Result,
) (R, error) {
	var last R

	// Doubtful is set once some node may have sent the change to the table.
	doubtful := false

	for i := 0; ; i++ {
		var (
			result R
			reason string
		)

		err := c.call(ctx, c.nodes[i%len(c.nodes)], method, params, &result)

		var (
			remote *jsonrpc2.Error
			dialed *dialError
		)

		switch {
		case err == nil:
			r := resultOf(result)
			last, reason = result, r.Detail

			if decided(r) {
				return result, resultError(r)
			}

			doubtful = doubtful || r.Verdict == change.Unknown
		case errors.As(err, &remote):
			return last, fail(ExitUsage, "refused: %s", remote.Message)
		case errors.As(err, &dialed):
			reason = err.Error()
		default:
			doubtful, reason = true, err.Error()
		}

		if !pause(ctx, resendPause) || !enough(ctx) {
			return last, resultError(undecided(op, doubtful, reason))
		}
	}
}

// pause waits and reports false if ctx ended first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func enough(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()

	return !ok || time.Until(deadline) >= decideTime
}

func decided(r change.Result) bool {
	return r.Verdict == change.Accepted || r.Verdict == change.Conflict || r.Verdict == change.Refused
}

func undecided(op string, doubtful bool, reason string) change.Result {
	if doubtful {
		return change.Result{Verdict: change.Unknown, Op: op, Detail: reason}
	}

	return change.Result{Verdict: change.Unavailable, Op: op, Detail: reason}
}
