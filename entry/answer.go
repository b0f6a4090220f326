package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"sardinespar.example/spar/gate"
)

const copyBytes = 16 << 10

// copyBuffers are reused between answers.
type copyBuffers struct {
	pool sync.Pool
}

func newCopyBuffers() *copyBuffers {
	return &copyBuffers{pool: sync.Pool{New: func() any {
		b := make([]byte, copyBytes)

		return &b
	}}}
}

// copyAnswer passes a backend server's answer on. If the answer breaks off, so does the connection, so
// that a cut answer never looks whole.
func (c *copyBuffers) copyAnswer(w http.ResponseWriter, r gate.Result) {
	defer func() { _ = r.Body.Close() }()

	h := w.Header()
	if r.Length >= 0 {
		h["Content-Length"] = []string{strconv.FormatInt(r.Length, 10)}
	}

	// The library must not guess a type that the backend server did not name.
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
