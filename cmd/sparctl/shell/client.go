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
	// callTimeout exceeds the time that a spard spends on a change before it answers "unknown".
	callTimeout    = 6 * time.Second
	resendInterval = 200 * time.Millisecond
	// minResendTime is how long a spard may take to answer a change. A change is not sent again if less
	// time than this remains, since a call that is aborted could make a known outcome unknown.
	minResendTime = 5 * time.Second
)

// client calls the nodes in turn.
type client struct {
	nodes []string
	pool  *peers.Pool
}

// dialError wraps an error of the dialer. It means that no request was sent.
type dialError struct {
	err error
}

// Error returns the cause.
func (e *dialError) Error() string {
	return e.err.Error()
}

func newClient(nodes []string, dial peers.Dialer) *client {
	dialMarked := func(ctx context.Context, addr string) (net.Conn, error) {
		conn, err := dial(ctx, addr)
		if err != nil {
			return nil, &dialError{err: err}
		}

		return conn, nil
	}

	return &client{nodes: nodes, pool: peers.NewPool(dialMarked, &peers.Traffic{})}
}

func (c *client) call(ctx context.Context, node, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return c.pool.Call(ctx, node, method, params, result)
}

// read calls the nodes in turn until one answers. An error that a node returns as its answer is final.
func read[R any](ctx context.Context, c *client, method string, params any) (R, error) {
	var failures error

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

		failures = errors.Join(failures, err)
	}

	var zero R

	return zero, fail(ExitFailed, "no node answered:\n%v", failures)
}

// send sends a change to the nodes in turn until its result is known or too little time remains. The
// operation id in params makes it safe to send the change more than once.
func send[R any](
	ctx context.Context, c *client, op, method string, params any, resultOf func(R) change.Result,
) (R, error) {
	var last R

	// maybeSent is set once any node may have written the change to the table.
	maybeSent := false

	for i := 0; ; i++ {
		var (
			result R
			reason string
		)

		err := c.call(ctx, c.nodes[i%len(c.nodes)], method, params, &result)

		var (
			remote  *jsonrpc2.Error
			dialErr *dialError
		)

		switch {
		case err == nil:
			r := resultOf(result)
			last, reason = result, r.Detail

			if isFinal(r) {
				return result, resultError(r)
			}

			maybeSent = maybeSent || r.Verdict == change.Unknown
		case errors.As(err, &remote):
			return last, fail(ExitUsage, "refused: %s", remote.Message)
		case errors.As(err, &dialErr):
			reason = err.Error()
		default:
			maybeSent, reason = true, err.Error()
		}

		if !sleep(ctx, resendInterval) || !canResend(ctx) {
			return last, resultError(unresolved(op, maybeSent, reason))
		}
	}
}

// sleep waits for d. It reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// canResend reports whether enough time remains for a node to answer a change.
func canResend(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()

	return !ok || time.Until(deadline) >= minResendTime
}

func isFinal(r change.Result) bool {
	return r.Verdict == change.Accepted || r.Verdict == change.Conflict || r.Verdict == change.Refused
}

// unresolved returns the result of a change without a final answer: Unavailable if no node can have
// written it to the table, and Unknown otherwise.
func unresolved(op string, maybeSent bool, reason string) change.Result {
	if maybeSent {
		return change.Result{Verdict: change.Unknown, Op: op, Detail: reason}
	}

	return change.Result{Verdict: change.Unavailable, Op: op, Detail: reason}
}
