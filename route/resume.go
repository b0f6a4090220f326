package route

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
)

// maxResumes limits how often one download may resume at another upstream, so that a request that crashes
// its upstreams in the middle of the answer crashes at most two.
const maxResumes = 1

// conditionHeaders are not sent when a download resumes, since an upstream may answer them without a body.
var conditionHeaders = []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"}

var contentRange = regexp.MustCompile(`^bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})$`)

// byteRange is a range of a file; last is the offset of its last byte.
type byteRange struct {
	first int64
	last  int64
	total int64
}

func (r byteRange) length() int64 {
	return r.last - r.first + 1
}

// rangeOf returns the range of the file that a response contains, or false if the response does not state it.
func rangeOf(resp *http.Response) (byteRange, bool) {
	if resp.ContentLength <= 0 {
		return byteRange{}, false
	}

	if resp.StatusCode == http.StatusOK {
		return byteRange{last: resp.ContentLength - 1, total: resp.ContentLength}, true
	}

	match := contentRange.FindStringSubmatch(resp.Header.Get("Content-Range"))
	if resp.StatusCode != http.StatusPartialContent || match == nil {
		return byteRange{}, false
	}

	// Numbers of at most 18 digits always fit in an int64.
	first, _ := strconv.ParseInt(match[1], 10, 64)
	last, _ := strconv.ParseInt(match[2], 10, 64)
	total, _ := strconv.ParseInt(match[3], 10, 64)
	r := byteRange{first: first, last: last, total: total}

	return r, r.length() == resp.ContentLength && last < total
}

// isStrong reports whether an ETag is a strong validator, which guarantees identical bytes.
func isStrong(etag string) bool {
	return len(etag) > 1 && strings.HasPrefix(etag, `"`) && strings.HasSuffix(etag, `"`)
}

// mayResume reports whether an interrupted answer to the call may resume at another upstream.
func (h *Handler) mayResume(c spar.Call) bool {
	if h.resumeEvents == nil || c.Method != http.MethodGet || c.Service.Mode != spar.ModeAny {
		return false
	}

	policy, ok := h.servicePolicy(c.Service.Name)

	return !ok || policy.Resume
}

// makeResumable wraps the body of an answer so that an interrupted download resumes at another upstream. Answers
// without a known range or strong ETag are returned unchanged.
func (h *Handler) makeResumable(ctx context.Context, c spar.Call, a spar.Answer) spar.Answer {
	if a.Response == nil || !h.mayResume(c) {
		return a
	}

	remaining, ok := rangeOf(a.Response)
	etag := a.Response.Header.Get("ETag")

	if !ok || !isStrong(etag) {
		return a
	}

	a.Response.Body = &download{
		handler: h, ctx: ctx, call: c, etag: etag, encoding: a.Response.Header.Get("Content-Encoding"),
		remaining: remaining, body: a.Response.Body, tried: []spar.NodeID{a.Owner},
	}

	return a
}

// download is a response body that resumes at another upstream when its connection breaks.
type download struct {
	handler  *Handler
	ctx      context.Context //nolint:containedctx // A body is read under the context of its request.
	call     spar.Call
	etag     string
	encoding string
	// remaining is the range that has not been read yet.
	remaining   byteRange
	body        io.ReadCloser
	tried       []spar.NodeID
	resumeCount int
}

func (d *download) Read(p []byte) (int, error) {
	for d.remaining.length() > 0 {
		n, err := d.body.Read(p[:min(int64(len(p)), d.remaining.length())])
		d.remaining.first += int64(n)

		if n > 0 || err == nil {
			return n, nil
		}

		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}

		if resumeErr := d.resume(); resumeErr != nil {
			return 0, errors.Join(err, resumeErr)
		}
	}

	return 0, io.EOF
}

func (d *download) Close() error {
	return d.body.Close()
}

// resume requests the remaining range from another upstream, provided that the ETag still matches.
func (d *download) resume() error {
	if d.resumeCount == maxResumes || d.ctx.Err() != nil {
		return errors.New("download can't be resumed: attempts used up or caller disconnected")
	}

	d.resumeCount++
	_ = d.body.Close()
	d.body = http.NoBody

	c := d.call.WithID(fmt.Sprintf("%s.r%d", d.call.ID, d.resumeCount)).
		WithHeader("Range", fmt.Sprintf("bytes=%d-%d", d.remaining.first, d.remaining.last)).
		WithHeader("If-Range", d.etag)
	for _, name := range conditionHeaders {
		c.Header.Del(name)
	}

	a, _ := d.handler.send(d.ctx, c, d.tried)
	if a.Response == nil {
		return fmt.Errorf("resume download: %s", a.Detail)
	}

	r, ok := rangeOf(a.Response)
	if !ok || a.Status != http.StatusPartialContent || r != d.remaining ||
		a.Response.Header.Get("ETag") != d.etag || a.Response.Header.Get("Content-Encoding") != d.encoding {
		a.Close()

		return fmt.Errorf("resume download: node %s returned a different file or range", a.Owner)
	}

	d.body = a.Response.Body
	d.tried = append(d.tried, a.Owner)
	d.handler.resumeEvents.Record(spar.Event{
		Kind: spar.EventResumed, Service: c.Service.Name, Request: c.ID, Peer: a.Owner,
		Detail: fmt.Sprintf("at byte %d of %d", r.first, r.total),
	})

	return nil
}
