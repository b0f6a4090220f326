package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/ledger"
)

// serveOnce runs a non-idempotent call if its token has not been used before, and otherwise answers from the record
// of the earlier run.
func (g *Guard) serveOnce(ctx context.Context, b Backend, c spar.Call, a spar.Assignment) spar.Answer {
	if c.Service.Mode != spar.ModeKeyed {
		return spar.NotRun(http.StatusMethodNotAllowed, spar.ReasonMethod,
			"service %s takes idempotent methods only", c.Service.Name)
	}

	if c.Token == "" {
		return spar.NotRun(http.StatusPreconditionRequired, spar.ReasonNoToken,
			"%s needs the token in %s", c.Method, spar.HeaderToken).WithToken(g.issueToken(c, a))
	}

	t, err := ledger.ParseToken(c.Token)
	if err != nil {
		return spar.NotRun(http.StatusBadRequest, spar.ReasonBadRequest, "%v", err)
	}

	for {
		entry := g.ledger.Begin(c.Service.Name, c.Slot, a, c.Key, t, requestDigest(c))

		switch entry.Verdict {
		case ledger.VerdictRun:
			return g.runOnce(ctx, b, c, a, entry.Run)
		case ledger.VerdictRecorded:
			return g.replay(entry.Result).WithToken(g.issueToken(c, a))
		case ledger.VerdictUnknown:
			return spar.UnknownOutcome(http.StatusConflict, spar.ReasonTokenExpired, "%s", entry.Detail)
		case ledger.VerdictMismatch:
			return spar.NotRun(http.StatusBadRequest, spar.ReasonBadRequest, "%s", entry.Detail)
		case ledger.VerdictStale:
			return notOwner(c)
		case ledger.VerdictInProgress:
			if !g.await(ctx, c, entry.Done) {
				return spar.UnknownOutcome(http.StatusGatewayTimeout, spar.ReasonDeadline, "the run is still in progress")
			}
		}
	}
}

// issueToken returns a new token for the call's key.
func (g *Guard) issueToken(c spar.Call, a spar.Assignment) string {
	return g.ledger.Issue(c.Service.Name, c.Slot, a, c.Key).String()
}

// await waits for the end of another call's run. It returns false at the deadline or when ctx is done.
func (g *Guard) await(ctx context.Context, c spar.Call, done <-chan struct{}) bool {
	t := g.clock.Timer(c.Deadline - g.clock.Now())
	defer t.Stop()

	select {
	case <-done:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// runOnce runs the call to its end, even if the caller disconnects, and records the result.
func (g *Guard) runOnce(
	ctx context.Context, b Backend, c spar.Call, a spar.Assignment, r *ledger.ActiveRun,
) spar.Answer {
	returned := false

	// After a panic the record must be unknown and not in progress.
	defer func() {
		if !returned {
			r.Unknown()
		}
	}()

	answer := g.admit(context.WithoutCancel(ctx), b, c, a)
	returned = true

	switch answer.Outcome {
	case spar.OutcomeNotRun:
		r.Abort()

		return answer
	case spar.OutcomeUnknown:
		r.Unknown()

		return answer
	default:
		return g.recordAnswer(answer, r).WithToken(g.issueToken(c, a))
	}
}

// recordAnswer reads the answer and records it. An answer whose body is too large to keep is passed on, and its
// record stays in progress until the body has ended.
func (g *Guard) recordAnswer(a spar.Answer, r *ledger.ActiveRun) spar.Answer {
	resp := a.Response
	limit := int64(ledger.DefaultLimits().MaxBodyBytes)
	head, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		r.Unknown()
		a.Close()

		return spar.UnknownOutcome(http.StatusBadGateway, spar.ReasonBroken, "answer of backend server was cut: %v", err)
	}

	if int64(len(head)) <= limit {
		r.Complete(ledger.Result{Status: resp.StatusCode, Header: resp.Header, Body: head, Kept: true})
		a.Close()
		resp.Body = io.NopCloser(bytes.NewReader(head))

		return a
	}

	resp.Body = &unrecordedBody{
		Reader: io.MultiReader(bytes.NewReader(head), resp.Body), body: resp.Body, run: r, status: resp.StatusCode,
	}

	return a
}

// unrecordedBody is the body of an answer that is too large to keep. At its end the run is recorded without body.
type unrecordedBody struct {
	io.Reader

	body   io.Closer
	run    *ledger.ActiveRun
	status int
}

func (b *unrecordedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)

	switch {
	case errors.Is(err, io.EOF):
		b.run.Complete(ledger.Result{Status: b.status})
	case err != nil:
		b.run.Unknown()
	}

	return n, err
}

// Close reads the rest of the body if the caller has not, so that the run ends and is recorded.
func (b *unrecordedBody) Close() error {
	_, _ = io.Copy(io.Discard, struct{ io.Reader }{b})
	b.run.Unknown()

	return b.body.Close()
}

// replay returns the recorded answer to a call that was sent again. If the body was not kept, the answer states this
// and the status of the first answer.
func (g *Guard) replay(r ledger.Result) spar.Answer {
	resp := &http.Response{
		StatusCode: r.Status, Header: r.Header, Body: io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}

	if r.Kept {
		return spar.Completed(resp, g.self())
	}

	const text = "completed: the call ran; its answer was too large to be kept\n"

	resp.StatusCode = http.StatusGone
	resp.Header = http.Header{}
	resp.Header.Set("Content-Type", "text/plain; charset=utf-8")
	resp.Header.Set(spar.HeaderReason, string(spar.ReasonNotKept))
	resp.Header.Set(spar.HeaderStatus, strconv.Itoa(r.Status))
	resp.Body = io.NopCloser(bytes.NewReader([]byte(text)))
	resp.ContentLength = int64(len(text))

	return spar.Completed(resp, g.self())
}

// requestDigest returns a digest by which a request differs from other requests with the same token.
func requestDigest(c spar.Call) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(c.Method + " " + c.URI + "\n")
	_, _ = d.Write(c.Body)

	return d.Sum64()
}
