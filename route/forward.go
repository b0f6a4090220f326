package route

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

// maxRefusalBytes limits how much of another node's refusal text is read.
const maxRefusalBytes = 4096

// answerGrace is how long after the deadline an entry node still waits for another node's answer, because only
// that node knows whether the call ran.
const answerGrace spar.Millis = 20

// forward sends the call to another node and returns that node's answer.
func (h *Handler) forward(ctx context.Context, n spar.Node, c spar.Call) spar.Answer {
	now := h.clock.Now()
	if now >= c.Deadline {
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run")
	}

	ctx, cancelTimeout := context.WithTimeout(ctx, (c.Deadline + answerGrace - now).Duration())
	ctx, cancelCause := context.WithCancelCause(ctx)
	watchCtx, stopWatch := context.WithCancel(ctx)
	cancel := func() { stopWatch(); cancelCause(nil); cancelTimeout() }

	var sent atomic.Bool

	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})

	req, err := c.Request(tracedCtx, n.HTTPAddr)
	if err != nil {
		cancel()

		return spar.NotRun(http.StatusBadRequest, spar.ReasonBadRequest, "request can't be sent on: %v", err)
	}

	req.Header.Set(spar.HeaderHop, "1")
	req.Header.Set(spar.HeaderRequest, c.ID)
	req.Header.Set(spar.HeaderDeadline, strconv.FormatInt(max(1, int64(c.Deadline-now)), 10))

	if c.Key != "" {
		req.Header.Set(spar.HeaderKey, c.Key)
	}

	if c.Token != "" {
		req.Header.Set(spar.HeaderToken, c.Token)
	}

	if c.Trial {
		req.Header.Set(spar.HeaderTrial, "1")
	}

	w := &nodeWatch{handler: h, node: n.ID, cancel: cancelCause}
	go w.loop(watchCtx)

	resp, err := h.client.RoundTrip(req)

	// A node that shuts down gracefully is also marked as lost, while a slow caller may still be reading its last
	// answer. So once the response has arrived, the loss cancels only a download that can resume at another
	// upstream.
	if !h.mayResume(c) {
		stopWatch()
	}

	if err != nil && errors.Is(context.Cause(ctx), errNodeLost) && sent.Load() {
		cancel()

		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "node %s was lost before it answered", n.ID)
	}

	if err != nil {
		timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)

		cancel()

		return failedForward(sent.Load(), timedOut, n, err)
	}

	resp.Body = cancelOnClose{ReadCloser: resp.Body, cancel: cancel}

	load, _ := spar.ParseLoad(resp.Header.Get(spar.HeaderLoad))

	return forwardedAnswer(resp, n, c).WithLoad(load)
}

// failedForward returns the answer to a call that could not be forwarded or got no response. The outcome is
// unknown if the request had already been sent.
func failedForward(sent, timedOut bool, n spar.Node, err error) spar.Answer {
	switch {
	case !sent && timedOut:
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run")
	case !sent:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonUnreachable, "connect to node %s: %v", n.ID, err)
	case timedOut:
		return spar.UnknownOutcome(http.StatusGatewayTimeout, spar.ReasonDeadline, "node %s did not answer in time", n.ID).
			WithOwner(n.ID)
	default:
		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "node %s: %v", n.ID, err).WithOwner(n.ID)
	}
}

// forwardedAnswer converts another node's response to an answer.
func forwardedAnswer(resp *http.Response, n spar.Node, c spar.Call) spar.Answer {
	if resp.Header.Get(spar.HeaderRequest) != c.ID {
		_ = resp.Body.Close()

		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "node %s answered another request", n.ID).
			WithOwner(n.ID)
	}

	outcome := spar.Outcome(resp.Header.Get(spar.HeaderOutcome))

	switch outcome {
	case spar.OutcomeCompleted:
		return spar.Completed(resp, n.ID)
	case spar.OutcomeNotRun, spar.OutcomeUnknown:
		detail, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
		_ = resp.Body.Close()

		return spar.Answer{
			Outcome: outcome, Status: resp.StatusCode, Owner: n.ID,
			Reason: spar.Reason(resp.Header.Get(spar.HeaderReason)),
			Detail: strings.TrimPrefix(string(bytes.TrimSpace(detail)), refusalPrefix(outcome)),
			Token:  resp.Header.Get(spar.HeaderToken),
		}
	default:
		_ = resp.Body.Close()

		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "node %s gave no outcome", n.ID)
	}
}

// cancelOnClose is a response body that cancels its request's context when it is closed.
type cancelOnClose struct {
	io.ReadCloser

	cancel context.CancelFunc
}

func (c cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()

	return err
}
