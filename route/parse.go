// Package route is the entry side of a call: it reads a caller's request, finds the node that
// serves it, sends it there, and gives the caller the whole answer or a true refusal.
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

// MaxBody bounds the body of a request in bytes. It is held whole, to be sent again if not run.
const MaxBody = 1 << 20

const (
	// DeadlineDefault is the deadline of a request that names none.
	DeadlineDefault spar.Millis = 10_000
	// DeadlineMost bounds the deadline that a request may name.
	DeadlineMost spar.Millis = 600_000
)

const (
	maxKeyBytes = 1024
	maxIDBytes  = 64
	// maxHeaderBytes is less than a node's listener takes, so that the headers which a node adds for
	// the next hop never make a request too large there.
	maxHeaderBytes = 48 << 10
	// fieldBytes is what a header field takes beside name and value.
	fieldBytes = 4
)

// hopHeaders are headers of one connection, which are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection", "Expect",
}

// singleHeaders may be given once: with two values, nodes could act on different ones.
var singleHeaders = []string{spar.HeaderKey, spar.HeaderToken, spar.HeaderDeadline}

// Parse makes a call of a request, or the answer that refuses it.
func Parse(v *fleet.View, r *http.Request, now spar.Millis) (spar.Call, spar.Answer, bool) {
	if refusal, ok := checkHead(r); !ok {
		return spar.Call{}, refusal, false
	}

	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")

	service, ok := v.Service(name)
	if !ok {
		return refuse(http.StatusNotFound, spar.ReasonNoService, "unknown service %q", name)
	}

	c := spar.Call{
		ID: rand.Text(), Service: service, Key: key(r, rest), Method: r.Method, URI: r.URL.RequestURI(),
		Header: passed(r.Header), Idempotent: spar.IdempotentMethod(r.Method), Token: r.Header.Get(spar.HeaderToken),
	}

	if r.Header.Get(spar.HeaderHop) != "" {
		c.ID = r.Header.Get(spar.HeaderRequest)
		c.Trial = r.Header.Get(spar.HeaderTrial) != ""
	}

	if refusal, ok := checkCall(r, c); !ok {
		return spar.Call{}, refusal, false
	}

	wait, ok := Deadline(r.Header.Get(spar.HeaderDeadline))
	if !ok {
		return refuse(http.StatusBadRequest, spar.ReasonBadRequest, "%s must be a number from 1 to %.0f",
			spar.HeaderDeadline, float64(DeadlineMost))
	}

	if r.ContentLength > MaxBody {
		r.Body = http.NoBody
	}

	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBody))

	var large *http.MaxBytesError
	if r.ContentLength > MaxBody || errors.As(err, &large) {
		return refuse(http.StatusRequestEntityTooLarge, spar.ReasonTooLarge, "body has more than %d bytes", MaxBody)
	}

	if err != nil {
		return refuse(http.StatusBadRequest, spar.ReasonBadRequest, "body can't be read: %v", err)
	}

	c.Body, c.Deadline = body, now+wait

	if service.Mode == spar.ModeKeyed {
		c.Slot = service.SlotOf(c.Key)
	}

	return c, spar.Answer{}, true
}

func refuse(status int, reason spar.Reason, format string, args ...any) (spar.Call, spar.Answer, bool) {
	return spar.Call{}, spar.NotRun(status, reason, format, args...), false
}

// checkHead refuses a request that could not be sent on as it is.
func checkHead(r *http.Request) (spar.Answer, bool) {
	size := len(r.Method) + len(r.RequestURI)

	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes

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

// printable reports whether text may stand in a header.
func printable(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) < 0
}

func key(r *http.Request, rest string) string {
	if k := r.Header.Get(spar.HeaderKey); k != "" {
		return k
	}

	first, _, _ := strings.Cut(rest, "/")

	return first
}

// Deadline reads the text of the deadline header: milliseconds in plain digits, or nothing.
func Deadline(text string) (spar.Millis, bool) {
	if text == "" {
		return DeadlineDefault, true
	}

	ms, err := strconv.ParseUint(text, 10, 32)

	return spar.Millis(ms), err == nil && ms > 0 && spar.Millis(ms) <= DeadlineMost
}

// passed returns the headers that go on to the backend server.
func passed(h http.Header) http.Header {
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
