package guard

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
)

// errOwnershipLost cancels a run whose slot this node may no longer own. Its text is sent to callers.
var errOwnershipLost = errors.New("lease lapsed or slot was reassigned")

// run sends the call to the backend server. The permit is released when the response's body has been read.
func (g *Guard) run(
	ctx context.Context, b Backend, c spar.Call, a spar.Assignment, done admit.Done,
) spar.Answer {
	began := g.clock.Now()
	elapsed := func() spar.Millis { return g.clock.Now() - began }
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - began).Duration())
	ctx, cancelCause := context.WithCancelCause(ctx)
	finish := sync.OnceFunc(func() { cancelCause(nil); cancel() })
	release := func(elapsed spar.Millis, ok bool) {
		finish()
		done(elapsed, ok)
	}

	if c.Service.Mode == spar.ModeKeyed && !b.ChecksGrants {
		w := &ownershipWatch{guard: g, call: c, assignment: a, cancel: cancelCause}
		go w.loop(ctx)
	}

	var sent atomic.Bool

	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})

	resp, err := g.client.RoundTrip(g.request(tracedCtx, b, c, a, began))
	g.health.record(sent.Load(), err, g.clock.Now())

	if err != nil {
		answer := callFailure(ctx, sent.Load(), err)

		release(elapsed(), false)

		if answer.Reason == spar.ReasonBroken && g.reportCrash(ctx, b, c) {
			answer.Reason = spar.ReasonCrashed
		}

		return answer
	}

	if refusal, ok := checkResponse(resp, c); !ok {
		_ = resp.Body.Close()

		release(elapsed(), false)

		return refusal
	}

	if c.Trial && g.crashes != nil {
		g.crashes.ClearSuspicion(c)
	}

	for name := range resp.Header {
		if strings.HasPrefix(name, "Spar-") && name != spar.HeaderLoad {
			resp.Header.Del(name)
		}
	}

	resp.Header.Set(spar.HeaderRequest, c.ID)

	// The limiter gets the time until the response header. The rest of a long download depends on its size and
	// on the caller.
	latency := elapsed()
	if err := g.detachBody(resp, finish, func(ok bool) { release(latency, ok) }); err != nil {
		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "answer of backend server was cut: %v", err)
	}

	return spar.Completed(resp, g.self())
}

// checkResponse checks that the response belongs to this call, is not a refusal, and has a length or chunks by which
// truncation can be detected.
func checkResponse(resp *http.Response, c spar.Call) (spar.Answer, bool) {
	if resp.Header.Get(spar.HeaderRequest) != c.ID {
		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "backend server answered another request"), false
	}

	if spar.Outcome(resp.Header.Get(spar.HeaderOutcome)) == spar.OutcomeNotRun {
		return backendRefusal(resp.StatusCode), false
	}

	if resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked") && c.Method != http.MethodHead {
		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken,
			"answer of backend server has neither length nor chunks, so a cut can't be seen"), false
	}

	return spar.Answer{}, true
}

// backendRefusal translates a refusal by the backend server. Its status 409 means that the epoch was stale, and must
// not reach callers, for whom 409 means that the outcome is unknown.
func backendRefusal(status int) spar.Answer {
	switch status {
	case http.StatusConflict:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNotOwner, "backend server has seen a newer owner")
	case http.StatusGatewayTimeout:
		return spar.NotRun(status, spar.ReasonDeadline, "deadline passed before the run")
	default:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonShed, "backend server refused the call")
	}
}

// callFailure returns the answer to a call without a response. The outcome is unknown if the request had already been
// sent.
func callFailure(ctx context.Context, sent bool, err error) spar.Answer {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)

	switch {
	case !sent && timedOut:
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run")
	case !sent:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonUnreachable, "connect to backend server: %v", err)
	case timedOut:
		return spar.UnknownOutcome(http.StatusGatewayTimeout, spar.ReasonDeadline, "backend server did not answer in time")
	case errors.Is(context.Cause(ctx), errOwnershipLost):
		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonNoLease, "run was canceled: %v", errOwnershipLost)
	case ctx.Err() != nil:
		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonDeadline, "caller has gone")
	default:
		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "call of backend server: %v", err)
	}
}

// request returns the HTTP request for the backend server.
func (g *Guard) request(
	ctx context.Context, b Backend, c spar.Call, a spar.Assignment, now spar.Millis,
) *http.Request {
	req, err := c.Request(ctx, b.Addr)
	if err != nil {
		panic("guard: build request of a checked call: " + err.Error())
	}

	req.Header.Set(spar.HeaderRequest, c.ID)
	req.Header.Set(spar.HeaderDeadline, strconv.FormatInt(int64(g.deadline(b, c)-now), 10))

	if c.Token != "" {
		req.Header.Set(spar.HeaderToken, c.Token)
	}

	if c.Service.Mode == spar.ModeKeyed {
		req.Header.Set(spar.HeaderKey, c.Key)
		req.Header.Set(spar.HeaderSlot, strconv.Itoa(int(c.Slot)))
		req.Header.Set(spar.HeaderEpoch, strconv.FormatInt(int64(a.Epoch), 10))
	}

	return req
}

// deadline returns the deadline for the backend server. It is at most the end of the lease if the backend server does
// not check grants.
func (g *Guard) deadline(b Backend, c spar.Call) spar.Millis {
	if c.Service.Mode != spar.ModeKeyed || b.ChecksGrants {
		return c.Deadline
	}

	return min(c.Deadline, g.lease.Until())
}

// ownershipWatch cancels a run when the lease expires or the slot is reassigned.
type ownershipWatch struct {
	guard      *Guard
	call       spar.Call
	assignment spar.Assignment
	cancel     context.CancelCauseFunc
}

func (w *ownershipWatch) loop(ctx context.Context) {
	for {
		changed := w.guard.replica.Changed()
		remaining := w.guard.lease.Until() - w.guard.clock.Now()

		if remaining <= 0 || w.guard.replica.View().Assignment(w.call.Service, w.call.Slot) != w.assignment {
			w.cancel(errOwnershipLost)

			return
		}

		if !w.wait(ctx, changed, remaining) {
			return
		}
	}
}

// wait waits until the replica changes or the lease may have expired. It returns false if the run has ended.
func (w *ownershipWatch) wait(ctx context.Context, changed <-chan struct{}, remaining spar.Millis) bool {
	t := w.guard.clock.Timer(remaining)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}

	return true
}

// closer is a body that calls a function once when it is closed.
type closer struct {
	io.ReadCloser

	once func()
}

func onClose(body io.ReadCloser, f func()) io.ReadCloser {
	return closer{ReadCloser: body, once: sync.OnceFunc(f)}
}

func (c closer) Close() error {
	err := c.ReadCloser.Close()
	c.once()

	return err
}
