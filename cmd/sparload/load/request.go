package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/backend/server"
	"sardinespar.example/spar/cmd/sparload/launch"
)

const maxResponseBytes = 64 << 10

// request is one request of a stream.
type request struct {
	traffic launch.Traffic
	key     string
	seq     int
	due     time.Time
}

func (q request) method() string {
	if q.traffic.Kind == launch.KindOnce {
		return http.MethodPost
	}

	return http.MethodGet
}

// path returns a path that is unique to the request, since backend servers return it in the
// response. The path of a download contains only its template.
func (q request) path() string {
	if q.traffic.Kind == launch.KindDownload {
		return fmt.Sprintf("/%s/template/%s", q.traffic.Service, q.key)
	}

	return fmt.Sprintf("/%s/%s/%s-%d", q.traffic.Service, q.key, q.traffic.Name, q.seq)
}

func (q request) url(entry string) string {
	url := "http://" + entry + q.path()
	if q.traffic.Kind == launch.KindDownload {
		url += fmt.Sprintf("?size=%d", q.traffic.Bytes)
	}

	return url
}

// sendUntilDone sends the request until it has a final result or ctx is done. A read, or a download whose
// response has not begun, may be resent at any time; a non-idempotent request is always resent with the
// same token.
func (r *Runner) sendUntilDone(ctx context.Context, q request) Result {
	var result Result

	token := ""
	if q.traffic.Kind == launch.KindOnce {
		token = r.takeToken(q.key)
	}

	sentAt := r.msSinceStart(time.Now())

	for attempts := 1; ; attempts++ {
		latest := r.send(ctx, q, token)
		latest.Sends, latest.Token, latest.SentMs = attempts, token, sentAt

		if latest.Error != "" && r.hasFailed(latest.Entry) {
			sentAt = r.msSinceStart(time.Now())
		}

		if latest.nextToken != "" {
			if latest.Completed() {
				r.putToken(q.key, latest.nextToken)
			} else if latest.Status == http.StatusPreconditionRequired {
				token = latest.nextToken

				continue
			}
		}

		result = mergeOutcome(result, latest.Result)

		if result.Completed() || result.Lost || result.Mismatched || result.Truncated || isFinal(latest.Result) {
			return result
		}

		select {
		case <-ctx.Done():
			return result
		case <-time.After(resendDelay):
		}
	}
}

// isFinal reports whether resending is useless because the token has been used with an unknown
// outcome.
func isFinal(r Result) bool {
	return r.Status == http.StatusConflict && r.Outcome == spar.OutcomeUnknown
}

// mergeOutcome returns the latest result but keeps an unknown outcome of earlier attempts: a request
// that may have run does not become "not run" because a later attempt was refused.
func mergeOutcome(earlier, latest Result) Result {
	if earlier.Outcome == spar.OutcomeUnknown && latest.Outcome == spar.OutcomeNotRun {
		latest.Outcome = spar.OutcomeUnknown
	}

	return latest
}

// attempt is the result of one attempt and the token in its response.
type attempt struct {
	Result

	nextToken string
}

// send makes one attempt to send the request to a random node.
func (r *Runner) send(ctx context.Context, q request, token string) attempt {
	entry := r.pickEntry()

	if q.traffic.Kind != launch.KindDownload {
		var cancel context.CancelFunc

		ctx, cancel = context.WithTimeout(ctx, sendTimeout)
		defer cancel()
	}

	req, err := http.NewRequestWithContext(ctx, q.method(), q.url(entry), http.NoBody)
	if err != nil {
		panic("load: create request: " + err.Error())
	}

	req.Header.Set(spar.HeaderKey, q.key)

	if token != "" {
		req.Header.Set(spar.HeaderToken, token)
	}

	resp, err := r.client.Do(req)
	if err != nil {
		return attempt{Result: Result{Outcome: spar.OutcomeUnknown, Error: err.Error(), Entry: entry}}
	}
	defer func() { _ = resp.Body.Close() }()

	out := attempt{
		Result: Result{
			Outcome: spar.Outcome(resp.Header.Get(spar.HeaderOutcome)), Status: resp.StatusCode,
			Reason: resp.Header.Get(spar.HeaderReason), FirstMs: r.msSinceStart(time.Now()), Entry: entry,
		},
		nextToken: resp.Header.Get(spar.HeaderToken),
	}

	if out.Outcome != spar.OutcomeCompleted {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))

		return out
	}

	if q.traffic.Kind == launch.KindDownload {
		return q.checkDownload(resp.Body, out)
	}

	return q.checkResponse(resp.Body, out)
}

// checkResponse checks that the response belongs to the request and is complete.
func (q request) checkResponse(body io.Reader, out attempt) attempt {
	data, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		out.Outcome, out.Error = spar.OutcomeUnknown, err.Error()

		return out
	}

	want := q.method() + " " + q.path() + " by "
	text := string(data)

	switch {
	case !strings.HasPrefix(text, want) && strings.HasPrefix(want, text):
		out.Truncated = true
	case !strings.HasPrefix(text, want):
		out.Mismatched = true
	case !strings.HasSuffix(text, "\n"):
		out.Truncated = true
	}

	return out
}

// checkDownload compares the downloaded bytes with the template, which is the same on all upstreams.
func (q request) checkDownload(body io.Reader, out attempt) attempt {
	in := bufio.NewReader(body)

	for offset := int64(0); ; offset++ {
		b, err := in.ReadByte()

		switch {
		case errors.Is(err, io.EOF):
			out.Truncated = offset != q.traffic.Bytes

			return out
		case err != nil:
			out.Lost, out.Error = true, err.Error()

			return out
		case offset >= q.traffic.Bytes || b != server.TemplateByte(offset):
			out.Mismatched = true

			return out
		}
	}
}
