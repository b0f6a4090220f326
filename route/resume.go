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

// maxResumes bounds the further upstreams that one download may use after a cut: a request that
// crashes its upstreams in the middle of the answer must not cost more than two.
const maxResumes = 1

// conditionHeaders make an upstream answer without the body that a resumed download needs.
var conditionHeaders = []string{"If-Match", "If-None-Match", "If-Modified-Since", "If-Unmodified-Since"}

var contentRange = regexp.MustCompile(`^bytes ([0-9]{1,18})-([0-9]{1,18})/([0-9]{1,18})$`)

// span is a part of a file; last is the offset of its last byte.
type span struct {
	first int64
	last  int64
	total int64
}

func (s span) length() int64 {
	return s.last - s.first + 1
}

// spanOf returns the part of the file that a response carries, if the response tells.
func spanOf(resp *http.Response) (span, bool) {
	if resp.ContentLength <= 0 {
		return span{}, false
	}

	if resp.StatusCode == http.StatusOK {
		return span{last: resp.ContentLength - 1, total: resp.ContentLength}, true
	}

	found := contentRange.FindStringSubmatch(resp.Header.Get("Content-Range"))
	if resp.StatusCode != http.StatusPartialContent || found == nil {
		return span{}, false
	}

	// At most 18 digits always fit.
	first, _ := strconv.ParseInt(found[1], 10, 64)
	last, _ := strconv.ParseInt(found[2], 10, 64)
	total, _ := strconv.ParseInt(found[3], 10, 64)
	s := span{first: first, last: last, total: total}

	return s, s.length() == resp.ContentLength && last < total
}

// strong reports whether an ETag promises the same bytes.
func strong(etag string) bool {
	return len(etag) > 1 && strings.HasPrefix(etag, `"`) && strings.HasSuffix(etag, `"`)
}

// resumes reports whether a cut answer to the call may go on at another upstream.
func (h *Handler) resumes(c spar.Call) bool {
	if h.resumeEvents == nil || c.Method != http.MethodGet || c.Service.Mode != spar.ModeAny {
		return false
	}

	choices, ok := h.choices(c.Service.Name)

	return !ok || choices.Resume
}

// resumable lets a download go on at another upstream after a cut.
func (h *Handler) resumable(ctx context.Context, c spar.Call, a spar.Answer) spar.Answer {
	if a.Response == nil || !h.resumes(c) {
		return a
	}

	s, ok := spanOf(a.Response)
	etag := a.Response.Header.Get("ETag")

	if !ok || !strong(etag) {
		return a
	}

	a.Response.Body = &download{
		handler: h, ctx: ctx, call: c, etag: etag, encoding: a.Response.Header.Get("Content-Encoding"), rest: s,
		body: a.Response.Body, tried: []spar.NodeID{a.Owner},
	}

	return a
}

// download is a body that survives the loss of an upstream.
type download struct {
	handler  *Handler
	ctx      context.Context //nolint:containedctx // A body is read under the context of its request.
	call     spar.Call
	etag     string
	encoding string
	// rest is what the caller has not got yet.
	rest    span
	body    io.ReadCloser
	tried   []spar.NodeID
	resumes int
}

func (d *download) Read(p []byte) (int, error) {
	for d.rest.length() > 0 {
		n, err := d.body.Read(p[:min(int64(len(p)), d.rest.length())])
		d.rest.first += int64(n)

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

// resume asks another upstream for the rest under the same validator.
func (d *download) resume() error {
	if d.resumes == maxResumes || d.ctx.Err() != nil {
		return errors.New("download can't be resumed again")
	}

	d.resumes++
	_ = d.body.Close()
	d.body = http.NoBody

	c := d.call.WithID(fmt.Sprintf("%s.r%d", d.call.ID, d.resumes)).
		WithHeader("Range", fmt.Sprintf("bytes=%d-%d", d.rest.first, d.rest.last)).
		WithHeader("If-Range", d.etag)
	for _, name := range conditionHeaders {
		c.Header.Del(name)
	}

	a, _ := d.handler.send(d.ctx, c, d.tried)
	if a.Response == nil {
		return fmt.Errorf("resume download: %s", a.Detail)
	}

	s, ok := spanOf(a.Response)
	if !ok || a.Status != http.StatusPartialContent || s != d.rest ||
		a.Response.Header.Get("ETag") != d.etag || a.Response.Header.Get("Content-Encoding") != d.encoding {
		a.Close()

		return fmt.Errorf("resume download: node %s has another file", a.Owner)
	}

	d.body = a.Response.Body
	d.tried = append(d.tried, a.Owner)
	d.handler.resumeEvents.Record(spar.Event{
		Kind: spar.EventResumed, Service: c.Service.Name, Request: c.ID, Peer: a.Owner,
		Detail: fmt.Sprintf("at byte %d of %d", s.first, s.total),
	})

	return nil
}
