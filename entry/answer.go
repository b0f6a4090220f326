package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"sardinespar.example/spar/gate"
)

const copyBufferBytes = 16 << 10

// copyBufferPool holds the buffers with which response bodies are copied.
type copyBufferPool struct {
	pool sync.Pool
}

func newCopyBufferPool() *copyBufferPool {
	return &copyBufferPool{pool: sync.Pool{New: func() any {
		b := make([]byte, copyBufferBytes)

		return &b
	}}}
}

// copyResponse passes a backend server's response on. If the body ends early, it aborts the connection, so
// that a truncated response never looks complete.
func (c *copyBufferPool) copyResponse(w http.ResponseWriter, r gate.Result) {
	defer func() { _ = r.Body.Close() }()

	h := w.Header()
	if r.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(r.Length, 10)}
	}

	// A nil value keeps net/http from guessing a content type that the backend server did not send.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}

	w.WriteHeader(r.Status)

	b, _ := c.pool.Get().(*[]byte)
	defer c.pool.Put(b)

	if _, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r.Body}, *b); err != nil {
		panic(http.ErrAbortHandler)
	}
}
