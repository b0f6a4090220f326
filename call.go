package spar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// Call is a caller's request as it is forwarded between nodes. It holds the complete body, so that the
// entry node can send it again if it was not run.
type Call struct {
	ID      string
	Service Service
	Key     string
	Slot    Slot
	Method  string
	URI     string
	Header  http.Header
	Body    []byte
	// Deadline is a time on the local clock.
	Deadline   Millis
	Idempotent bool
	Token      string
	// Trial marks the one further attempt of a call that crashed a backend server.
	Trial bool
}

// Request returns the call as an HTTP request to addr. It sets no GetBody, so that the HTTP transport can't
// resend the request: when a connection breaks, the transport resends requests of safe methods and those with
// the header Idempotency-Key, and the ledger and the quarantine would not see such a second run.
func (c Call) Request(ctx context.Context, addr string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+addr+c.URI, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}

	r.Header = c.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}

	r.ContentLength = int64(len(c.Body))
	r.Body = io.NopCloser(bytes.NewReader(c.Body))

	return r, nil
}

// WithTrial returns a copy of c marked as the one further attempt after a crash.
func (c Call) WithTrial() Call {
	c.Trial = true

	return c
}

// WithID returns a copy of c with the identifier of an attempt.
func (c Call) WithID(id string) Call {
	c.ID = id

	return c
}

// WithDeadline returns a copy of c with a deadline on the local clock.
func (c Call) WithDeadline(d Millis) Call {
	c.Deadline = d

	return c
}

// WithHeader returns a copy of c with one header set.
func (c Call) WithHeader(name, value string) Call {
	c.Header = c.Header.Clone()
	if c.Header == nil {
		c.Header = http.Header{}
	}

	c.Header.Set(name, value)

	return c
}

var idempotentMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete,
}

// IdempotentMethod reports whether a request of this method may run more than once.
func IdempotentMethod(method string) bool {
	return slices.Contains(idempotentMethods, method)
}
