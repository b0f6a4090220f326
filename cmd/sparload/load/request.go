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

const maxAnswerBytes = 64 << 10

// request is one request of a stream.
type request struct {
	traffic launch.Traffic
	key     string
	number  int
	due     time.Time
}

func (q request) method() string {
	if q.traffic.Kind == launch.KindOnce {
		return http.MethodPost
	}

	return http.MethodGet
}

// path names the request, so that an answer shows which request it belongs to.
func (q request) path() string {
	if q.traffic.Kind == launch.KindDownload {
		return fmt.Sprintf("/%s/template/%s", q.traffic.Service, q.key)
	}

	return fmt.Sprintf("/%s/%s/%s-%d", q.traffic.Service, q.key, q.traffic.Name, q.number)
}

func (q request) url(entry string) string {
	url := "http://" + entry + q.path()
	if q.traffic.Kind == launch.KindDownload {
		url += fmt.Sprintf("?size=%d", q.traffic.Bytes)
	}

	return url
}

// pursue sends the request until it is completed or its time is over. Reads and downloads that
// have not begun are sent again freely; a non-idempotent request always with the same token.
func (r *Runner) pursue(ctx context.Context, q request) Result {
	var result Result

	token := ""
	if q.traffic.Kind == launch.KindOnce {
		token = r.takeToken(q.key)
	}

	sentAt := r.since(time.Now())

	for sends := 1; ; sends++ {
		next := r.send(ctx, q, token)
		next.Sends, next.Token, next.SentMs = sends, token, sentAt

		if next.Error != "" && r.hasFailed(next.Entry) {
			sentAt = r.since(time.Now())
		}

		if next.fresh != "" {
			if next.Completed() {
				r.putToken(q.key, next.fresh)
			} else if next.Status == http.StatusPreconditionRequired {
				token = next.fresh

				continue
			}
		}

		result = merge(result, next.Result)

		if result.Completed() || result.Lost || result.Mixed || result.Cut || settled(next.Result) {
			return result
		}

		select {
		case <-ctx.Done():
			return result
		case <-time.After(resendPause):
		}
	}
}

// settled reports whether sending again is useless: the token was used up without a known result.
func settled(r Result) bool {
	return r.Status == http.StatusConflict && r.Outcome == spar.OutcomeUnknown
}

// merge keeps what earlier sends left in doubt: a request that may have run is not "not run" when
// a later send was refused.
func merge(before, now Result) Result {
	if before.Outcome == spar.OutcomeUnknown && now.Outcome == spar.OutcomeNotRun {
		now.Outcome = spar.OutcomeUnknown
	}

	return now
}

// sent is the result of one send, with the token that its answer brought.
type sent struct {
	Result

	fresh string
}

func (r *Runner) send(ctx context.Context, q request, token string) sent {
	entry := r.entry()

	if q.traffic.Kind != launch.KindDownload {
		var cancel context.CancelFunc

		ctx, cancel = context.WithTimeout(ctx, sendTime)
		defer cancel()
	}

	req, err := http.NewRequestWithContext(ctx, q.method(), q.url(entry), http.NoBody)
	if err != nil {
		panic("load: request can't be made: " + err.Error())
	}

	req.Header.Set(spar.HeaderKey, q.key)

	if token != "" {
		req.Header.Set(spar.HeaderToken, token)
	}

	resp, err := r.client.Do(req)
	if err != nil {
		return sent{Result: Result{Outcome: spar.OutcomeUnknown, Error: err.Error(), Entry: entry}}
	}
	defer func() { _ = resp.Body.Close() }()

	out := sent{
		Result: Result{
			Outcome: spar.Outcome(resp.Header.Get(spar.HeaderOutcome)), Status: resp.StatusCode,
			Reason: resp.Header.Get(spar.HeaderReason), FirstMs: r.since(time.Now()), Entry: entry,
		},
		fresh: resp.Header.Get(spar.HeaderToken),
	}

	if out.Outcome != spar.OutcomeCompleted {
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))

		return out
	}

	if q.traffic.Kind == launch.KindDownload {
		return q.checkDownload(resp.Body, out)
	}

	return q.checkAnswer(resp.Body, out)
}

func (q request) checkAnswer(body io.Reader, out sent) sent {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		out.Outcome, out.Error = spar.OutcomeUnknown, err.Error()

		return out
	}

	want := q.method() + " " + q.path() + " by "
	text := string(data)

	switch {
	case !strings.HasPrefix(text, want) && strings.HasPrefix(want, text):
		out.Cut = true
	case !strings.HasPrefix(text, want):
		out.Mixed = true
	case !strings.HasSuffix(text, "\n"):
		out.Cut = true
	}

	return out
}

// checkDownload compares a template's bytes with what every upstream has.
func (q request) checkDownload(body io.Reader, out sent) sent {
	in := bufio.NewReader(body)

	for offset := int64(0); ; offset++ {
		b, err := in.ReadByte()

		switch {
		case errors.Is(err, io.EOF):
			out.Cut = offset != q.traffic.Bytes

			return out
		case err != nil:
			out.Lost, out.Error = true, err.Error()

			return out
		case offset >= q.traffic.Bytes || b != server.TemplateByte(offset):
			out.Mixed = true

			return out
		}
	}
}
