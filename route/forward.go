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

const maxRefusalBytes = 4096

// answerGrace is how much longer than the deadline an entry node waits for another node, which knows
// better whether the call ran.
const answerGrace spar.Millis = 20

// forward sends the call to the node that serves it.
func (h *Handler) forward(ctx context.Context, n spar.Node, c spar.Call) spar.Answer {
	now := h.clock.Now()
	if now >= c.Deadline {
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run")
	}

	ctx, cancelTime := context.WithTimeout(ctx, (c.Deadline + answerGrace - now).Duration())
	ctx, abandon := context.WithCancelCause(ctx)
	watched, stopWatch := context.WithCancel(ctx)
	cancel := func() { stopWatch(); abandon(nil); cancelTime() }

	var sent atomic.Bool

	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})

	req, err := c.Request(traced, n.HTTPAddr)
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

	w := &lossWatch{handler: h, node: n.ID, abandon: abandon}
	go w.loop(watched)

	resp, err := h.client.RoundTrip(req)

	// A node that leaves in order becomes lost while a slow caller may still read its last answer.
	// Only a download that can go on at another upstream is abandoned then.
	if !h.resumes(c) {
		stopWatch()
	}

	if err != nil && errors.Is(context.Cause(ctx), errNodeLost) && sent.Load() {
		cancel()

		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "node %s was lost before it answered", n.ID)
	}

	if err != nil {
		late := errors.Is(ctx.Err(), context.DeadlineExceeded)

		cancel()

		return lost(sent.Load(), late, n, err)
	}

	resp.Body = cancelOnClose{ReadCloser: resp.Body, cancel: cancel}

	load, _ := spar.ParseLoad(resp.Header.Get(spar.HeaderLoad))

	return received(resp, n, c).WithLoad(load)
}

func lost(sent, late bool, n spar.Node, err error) spar.Answer {
	switch {
	case !sent && late:
		return spar.NotRun(http.StatusGatewayTimeout, spar.ReasonDeadline, "deadline passed before the run")
	case !sent:
		return spar.NotRun(http.StatusServiceUnavailable, spar.ReasonUnreachable, "connect to node %s: %v", n.ID, err)
	case late:
		return spar.Uncertain(http.StatusGatewayTimeout, spar.ReasonDeadline, "node %s did not answer in time", n.ID).
			WithOwner(n.ID)
	default:
		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "node %s: %v", n.ID, err).WithOwner(n.ID)
	}
}

// received reads another node's answer.
func received(resp *http.Response, n spar.Node, c spar.Call) spar.Answer {
	if resp.Header.Get(spar.HeaderRequest) != c.ID {
		_ = resp.Body.Close()

		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "node %s answered another request", n.ID).
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

		return spar.Uncertain(http.StatusBadGateway, spar.ReasonBroken, "node %s gave no outcome", n.ID)
	}
}

type cancelOnClose struct {
	io.ReadCloser

	cancel context.CancelFunc
}

func (c cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()

	return err
}
