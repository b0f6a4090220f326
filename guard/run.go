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

// errLapsed cancels a run whose slot this node may no longer own.
var errLapsed = errors.New("lease lapsed or slot was reassigned")

// run sends the call to the backend server. The permit is given back when the response's body has
// been read.
func (g *Guard) run(
	ctx context.Context, b Backend, c spar.Call, a spar.Assignment, done admit.Done,
) spar.Answer {
	began := g.clock.Now()
	took := func() spar.Millis { return g.clock.Now() - began }
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - began).Duration())
	ctx, cancelCause := context.WithCancelCause(ctx)
	finish := sync.OnceFunc(func() { cancelCause(nil); cancel() })
	end := func(took spar.Millis, ok bool) {
		finish()
		done(took, ok)
	}

	if c.Service.Mode == spar.ModeKeyed && !b.ChecksGrants {
		w := &watch{guard: g, call: c, assignment: a, cancel: cancelCause}
		go w.loop(ctx)
	}

	var sent atomic.Bool

	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})

	resp, err := g.client.RoundTrip(g.request(traced, b, c, a, began))
	g.health.note(sent.Load(), err, g.clock.Now())

	if err != nil {
		answer := failed(ctx, sent.Load(), err)

		end(took(), false)

		if answer.Reason == spar.ReasonBroken && g.crashed(ctx, b, c) {
			answer.Reason = spar.ReasonCrashed
		}

		return answer
	}

	if refusal, ok := accepted(resp, c); !ok {
		_ = resp.Body.Close()

		end(took(), false)

		return refusal
	}

	if c.Trial && g.crashes != nil {
		g.crashes.Clear(c)
	}

	for name := range resp.Header {
		if strings.HasPrefix(name, "Spar-") && name != spar.HeaderLoad {
			resp.Header.Del(name)
		}
	}

	resp.Header.Set(spar.HeaderRequest, c.ID)

	// The time to the head of the answer is the server's; the rest of a long download depends on
	// its size and on the caller.
	head := took()
	if err := g.unload(resp, finish, func(ok bool) { end(head, ok) }); err != nil {
		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "answer of backend server was cut: %v", err)
	}

	return spar.Completed(resp, g.self())
}

// accepted checks that the response answers this call, can be known to be whole, and is no refusal.
func accepted(resp *http.Response, c spar.Call) (spar.Answer, bool) {
	if resp.Header.Get(spar.HeaderRequest) != c.ID {
		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "backend server answered another request"), false
	}

	if spar.Outcome(resp.Header.Get(spar.HeaderOutcome)) == spar.OutcomeNotRun {
		return refused(resp.StatusCode), false
	}

	if resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked") && c.Method != http.MethodHead {
		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken,
			"answer of backend server has neither length nor chunks, so a cut can't be seen"), false
	}

	return spar.Answer{}, true
}

// refused translates a backend server's own refusal. Its 409 says that the epoch was stale, which
// callers must not take for the 409 of an unknown run.
func refused(status int) spar.Answer {
	switch status {
	case http.StatusConflict:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonNotOwner, "backend server has seen a newer owner")
	case http.StatusGatewayTimeout:
		return spar.NotRun(status, spar.ReasonDeadline, "deadline passed before the run")
	default:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonShed, "backend server refused the call")
	}
}

func failed(ctx context.Context, sent bool, err error) spar.Answer {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)

	switch {
	case !sent && late:
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run")
	case !sent:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonUnreachable, "connect to backend server: %v", err)
	case late:
		return spar.Uncertain(http.StatusGatewayTimeout, spar.ReasonDeadline, "backend server did not answer in time")
	case errors.Is(context.Cause(ctx), errLapsed):
		return spar.Uncertain(http.StatusBadGateway, spar.ReasonNoLease, "run was canceled: %v", errLapsed)
	case ctx.Err() != nil:
		return spar.Uncertain(http.StatusBadGateway, spar.ReasonDeadline, "caller has gone")
	default:
		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "call of backend server: %v", err)
	}
}

func (g *Guard) request(
	ctx context.Context, b Backend, c spar.Call, a spar.Assignment, now spar.Millis,
) *http.Request {
	req, err := c.Request(ctx, b.Addr)
	if err != nil {
		panic("guard: checked call can't be made a request: " + err.Error())
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

// deadline returns the call's deadline, which ends with the lease for a backend server that does
// not check grants.
func (g *Guard) deadline(b Backend, c spar.Call) spar.Millis {
	if c.Service.Mode != spar.ModeKeyed || b.ChecksGrants {
		return c.Deadline
	}

	return min(c.Deadline, g.lease.Until())
}

// watch cancels a run when the lease lapses or the slot is reassigned.
type watch struct {
	guard      *Guard
	call       spar.Call
	assignment spar.Assignment
	cancel     context.CancelCauseFunc
}

func (w *watch) loop(ctx context.Context) {
	for {
		changed := w.guard.replica.Changed()
		left := w.guard.lease.Until() - w.guard.clock.Now()

		if left <= 0 || w.guard.replica.View().Assignment(w.call.Service, w.call.Slot) != w.assignment {
			w.cancel(errLapsed)

			return
		}

		if !w.wait(ctx, changed, left) {
			return
		}
	}
}

func (w *watch) wait(ctx context.Context, changed <-chan struct{}, left spar.Millis) bool {
	t := w.guard.clock.Timer(left)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-t.C:
	}

	return true
}

// closer calls a function once when it is closed.
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
