package guard

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
)

// run sends the call to the backend server. The permit is given back when the response's body is
// closed.
func (g *Guard) run(ctx context.Context, b Backend, c spar.Call, done admit.Done) spar.Answer {
	began := g.clock.Now()
	took := func() spar.Millis { return g.clock.Now() - began }
	ctx, cancel := context.WithTimeout(ctx, (c.Deadline - began).Duration())
	finish := func(took spar.Millis, ok bool) {
		cancel()
		done(took, ok)
	}

	var sent atomic.Bool

	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})

	resp, err := g.client.RoundTrip(g.request(ctx, b, c, began))
	g.health.note(sent.Load(), err, g.clock.Now())

	if err != nil {
		finish(took(), false)

		return failed(sent.Load(), err)
	}

	if resp.Header.Get(spar.HeaderRequest) != c.ID {
		_ = resp.Body.Close()
		finish(took(), false)

		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "backend server answered another request")
	}

	if spar.Outcome(resp.Header.Get(spar.HeaderOutcome)) == spar.OutcomeNotRun {
		_ = resp.Body.Close()
		finish(took(), false)

		return spar.NotRun(resp.StatusCode, spar.ReasonShed, "backend server refused the call")
	}

	// The time to the head of the answer is the server's; the rest of a long download depends on
	// its size and on the caller.
	head := took()
	resp.Body = onClose(resp.Body, func() { finish(head, true) })

	return spar.Completed(resp, g.self())
}

func failed(sent bool, err error) spar.Answer {
	if !sent {
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonUnreachable, "connect to backend server: %v", err)
	}

	return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "call of backend server: %v", err)
}

func (g *Guard) request(ctx context.Context, b Backend, c spar.Call, now spar.Millis) *http.Request {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+b.Addr+c.URI, bytes.NewReader(c.Body))
	if err != nil {
		panic("guard: checked call can't be made a request: " + err.Error())
	}

	req.Header = c.Header.Clone()
	req.Header.Set(spar.HeaderRequest, c.ID)
	req.Header.Set(spar.HeaderDeadline, strconv.FormatInt(int64(g.deadline(b, c)-now), 10))

	if c.Service.Mode == spar.ModeKeyed {
		a := g.replica.View().Assignment(c.Service, c.Slot)
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
