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

const maxKeyBytes = 1024

// hopHeaders are headers of one connection, which are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Connection",
}

// Parse makes a call of a request, or the answer that refuses it.
func Parse(v *fleet.View, r *http.Request, now spar.Millis) (spar.Call, spar.Answer, bool) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")

	service, ok := v.Service(name)
	if !ok {
		return refuse(http.StatusNotFound, spar.ReasonNoService, "unknown service %q", name)
	}

	key := r.Header.Get(spar.HeaderKey)
	if key == "" {
		key, _, _ = strings.Cut(rest, "/")
	}

	if service.Mode == spar.ModeKeyed && (key == "" || len(key) > maxKeyBytes) {
		return refuse(http.StatusBadRequest, spar.ReasonBadRequest, "key must have 1 to %d bytes", maxKeyBytes)
	}

	wait, ok := deadline(r)
	if !ok {
		return refuse(http.StatusBadRequest, spar.ReasonBadRequest, "%s must be a number from 1 to %.0f",
			spar.HeaderDeadline, float64(DeadlineMost))
	}

	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBody))

	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return refuse(http.StatusRequestEntityTooLarge, spar.ReasonTooLarge, "body has more than %d bytes", MaxBody)
	}

	if err != nil {
		return refuse(http.StatusBadRequest, spar.ReasonBadRequest, "body can't be read: %v", err)
	}

	c := spar.Call{
		ID: r.Header.Get(spar.HeaderRequest), Service: service, Key: key, Method: r.Method,
		URI: r.URL.RequestURI(), Header: passed(r.Header), Body: body, Deadline: now + wait,
		Idempotent: spar.IdempotentMethod(r.Method), Token: r.Header.Get(spar.HeaderToken),
	}

	if service.Mode == spar.ModeKeyed {
		c.Slot = service.SlotOf(key)
	}

	if r.Header.Get(spar.HeaderHop) == "" {
		c.ID = rand.Text()
	}

	return c, spar.Answer{}, true
}

func refuse(status int, reason spar.Reason, format string, args ...any) (spar.Call, spar.Answer, bool) {
	return spar.Call{}, spar.NotRun(status, reason, format, args...), false
}

func deadline(r *http.Request) (spar.Millis, bool) {
	text := r.Header.Get(spar.HeaderDeadline)
	if text == "" {
		return DeadlineDefault, true
	}

	ms, err := strconv.ParseInt(text, 10, 64)

	return spar.Millis(ms), err == nil && ms > 0 && spar.Millis(ms) <= DeadlineMost
}

// passed returns the headers that go on to the backend server.
func passed(h http.Header) http.Header {
	out := h.Clone()
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
