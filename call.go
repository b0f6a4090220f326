package spar

import (
	"net/http"
	"slices"
)

// Call is a caller's request as it travels between nodes. Its body is held whole, so that the
// entry node can send it again when it was not run.
type Call struct {
	ID         string
	Service    Service
	Key        string
	Slot       Slot
	Method     string
	URI        string
	Header     http.Header
	Body       []byte
	Deadline   Millis
	Idempotent bool
	Token      string
}

// WithDeadline returns c with a deadline on the local clock.
func (c Call) WithDeadline(d Millis) Call {
	c.Deadline = d

	return c
}

// WithHeader returns c with one header set.
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
