// Package route is the entry side of a call. It parses a caller's request, finds the node that serves it,
// forwards it there, and returns the complete answer or a refusal that states whether the call ran.
package route

import (
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// MaxBodyBytes limits the size of a request body. The body is kept in memory, so that a call that was not run
// can be sent again.
const MaxBodyBytes = 1 << 20

const (
	// DefaultDeadline applies to a request without a deadline header.
	DefaultDeadline spar.Millis = 10_000
	// MaxDeadline is the longest deadline that a request may set.
	MaxDeadline spar.Millis = 600_000
)

const (
	maxKeyBytes = 1024
	maxIDBytes  = 64
	// maxHeaderBytes is below the header limit of a node's listener, so that the headers which a node adds
	// for the next hop never make a request too large.
	maxHeaderBytes = 48 << 10
	// fieldOverhead is the size of a header field without its name and value: colon, space and line break.
	fieldOverhead = 4
)

// hopHeaders are hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection", "Expect",
}

// singleHeaders may occur only once. With two values, nodes could act on different ones.
var singleHeaders = []string{spar.HeaderKey, spar.HeaderToken, spar.HeaderDeadline}

// Parse converts a request to a call. If it returns false, the answer is the refusal.
func Parse(v *fleet.View, r *http.Request, now spar.Millis) (spar.Call, spar.Answer, bool) {
	if refusal, ok := checkHeader(r); !ok {
		return spar.Call{}, refusal, false
	}

	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")

	service, ok := v.Service(name)
	if !ok {
		return refuse(http.StatusNotFound, spar.ReasonNoService, "unknown service %q", name)
	}

	c := spar.Call{
		ID: rand.Text(), Service: service, Key: requestKey(r, rest), Method: r.Method, URI: r.URL.RequestURI(),
		Header: forwardedHeaders(r.Header), Idempotent: spar.IdempotentMethod(r.Method),
		Token: r.Header.Get(spar.HeaderToken),
	}

	if r.Header.Get(spar.HeaderHop) != "" {
		c.ID = r.Header.Get(spar.HeaderRequest)
		c.Trial = r.Header.Get(spar.HeaderTrial) != ""
	}

	if refusal, ok := checkCall(r, c); !ok {
		return spar.Call{}, refusal, false
	}

	timeout, ok := ParseDeadline(r.Header.Get(spar.HeaderDeadline))
	if !ok {
		return refuse(http.StatusBadRequest, spar.ReasonBadRequest, "%s must be a number from 1 to %.0f",
			spar.HeaderDeadline, float64(MaxDeadline))
	}

	if r.ContentLength > MaxBodyBytes {
		r.Body = http.NoBody
	}

	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBodyBytes))

	var tooLarge *http.MaxBytesError
	if r.ContentLength > MaxBodyBytes || errors.As(err, &tooLarge) {
		return refuse(http.StatusRequestEntityTooLarge, spar.ReasonTooLarge, "body has more than %d bytes", MaxBodyBytes)
	}

	if err != nil {
		return refuse(http.StatusBadRequest, spar.ReasonBadRequest, "body can't be read: %v", err)
	}

	c.Body, c.Deadline = body, now+timeout

	if service.Mode == spar.ModeKeyed {
		c.Slot = service.SlotOf(c.Key)
	}

	return c, spar.Answer{}, true
}

func refuse(status int, reason spar.Reason, format string, args ...any) (spar.Call, spar.Answer, bool) {
	return spar.Call{}, spar.NotRun(status, reason, format, args...), false
}

// checkHeader refuses a request whose header could not be forwarded unchanged.
func checkHeader(r *http.Request) (spar.Answer, bool) {
	size := len(r.Method) + len(r.RequestURI)

	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldOverhead

			if !printable(value) {
				return badRequest("header %s has control characters", name)
			}
		}
	}

	if size > maxHeaderBytes {
		return spar.NotRun(http.StatusRequestHeaderFieldsTooLarge, spar.ReasonTooLarge,
			"request line and headers have more than %d bytes", maxHeaderBytes), false
	}

	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return badRequest("%s is given more than once", name)
		}
	}

	return spar.Answer{}, true
}

// checkCall refuses a call that no node could serve.
func checkCall(r *http.Request, c spar.Call) (spar.Answer, bool) {
	keyed := c.Service.Mode == spar.ModeKeyed

	if keyed && (c.Key == "" || len(c.Key) > maxKeyBytes || !printable(c.Key) || strings.Trim(c.Key, " \t") != c.Key) {
		return badRequest("key must have 1 to %d bytes, no control characters and no space around it", maxKeyBytes)
	}

	if c.ID == "" || len(c.ID) > maxIDBytes {
		return badRequest("forwarded request has no identifier")
	}

	if _, err := c.Request(r.Context(), "0.0.0.0"); err != nil || !strings.HasPrefix(c.URI, "/") {
		return badRequest("method or path can't be sent on")
	}

	if !keyed && !c.Idempotent {
		return spar.NotRun(http.StatusMethodNotAllowed, spar.ReasonMethod,
			"service %s takes idempotent methods only", c.Service.Name), false
	}

	return spar.Answer{}, true
}

func badRequest(format string, args ...any) (spar.Answer, bool) {
	return spar.NotRun(http.StatusBadRequest, spar.ReasonBadRequest, format, args...), false
}

// printable reports whether text is valid in a header value.
func printable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) < 0
}

// requestKey returns the key of a request: the key header, or else the first path segment after the service.
func requestKey(r *http.Request, rest string) string {
	if k := r.Header.Get(spar.HeaderKey); k != "" {
		return k
	}

	first, _, _ := strings.Cut(rest, "/")

	return first
}

// ParseDeadline parses the deadline header: milliseconds in decimal digits, or empty for the default.
func ParseDeadline(text string) (spar.Millis, bool) {
	if text == "" {
		return DefaultDeadline, true
	}

	ms, err := strconv.ParseUint(text, 10, 32)

	return spar.Millis(ms), err == nil && ms > 0 && spar.Millis(ms) <= MaxDeadline
}

// forwardedHeaders returns the headers that are forwarded to the backend server.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()

	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}

	for _, name := range hopHeaders {
		out.Del(name)
	}

	for name := range out {
		if strings.HasPrefix(name, "Spar-") && name != "Spar-Work-Ms" {
			out.Del(name)
		}
	}

	return out
}
