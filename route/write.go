package route

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	spar "sardinespar.example/spar"
)

const (
	// writeTimeout limits each write to a caller, so that a caller that doesn't read can't hold resources for
	// long.
	writeTimeout    = 30 * time.Second
	copyBufferBytes = 32 << 10
)

// copyBuffers pools the buffers for copying bodies. With a new buffer for each answer, the garbage collector
// ran more than once a second at 190 calls/s on a node.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)

	return &buf
}}

// writeAnswer writes an answer with the request's id to the caller. If the body ends early, it aborts the
// caller's connection, so that a truncated answer never looks complete.
func (h *Handler) writeAnswer(w http.ResponseWriter, a spar.Answer, id string, attempts int) {
	defer a.Close()

	header := w.Header()

	if a.Response != nil {
		for name, values := range a.Response.Header {
			header[name] = values
		}

		for _, name := range hopHeaders {
			header.Del(name)
		}
	}

	header.Set(spar.HeaderOutcome, string(a.Outcome))
	header.Set(spar.HeaderAttempts, strconv.Itoa(attempts))
	header.Set(spar.HeaderOwner, string(a.Owner))

	if id != "" {
		header.Set(spar.HeaderRequest, id)
	}

	header.Del(spar.HeaderLoad)

	if a.Load.Limit > 0 {
		header.Set(spar.HeaderLoad, a.Load.String())
	}

	if a.Token != "" {
		header.Set(spar.HeaderToken, a.Token)
	}

	if n, ok := h.replica.View().Node(a.Owner); ok {
		header.Set(spar.HeaderOwnerURL, "http://"+n.Value.HTTPAddr)
	}

	conn := http.NewResponseController(w)
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))

	if a.Response == nil {
		h.writeRefusal(w, a)

		return
	}

	w.WriteHeader(a.Status)

	if err := copyBody(w, conn, a.Response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies a body to the caller and extends the write deadline before each write.
func copyBody(w io.Writer, conn *http.ResponseController, body io.Reader) error {
	pooled, _ := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)

	buf := *pooled

	for {
		n, err := body.Read(buf)
		if n > 0 {
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))

			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}

		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (h *Handler) writeRefusal(w http.ResponseWriter, a spar.Answer) {
	header := w.Header()
	header.Set(spar.HeaderReason, string(a.Reason))
	header.Set("Content-Type", "text/plain; charset=utf-8")

	if a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests {
		header.Set("Retry-After", "1")
	}

	w.WriteHeader(a.Status)
	_, _ = io.WriteString(w, refusalPrefix(a.Outcome)+a.Detail+"\n")
}

// refusalPrefix returns the prefix that states the outcome in the text of a refusal.
func refusalPrefix(o spar.Outcome) string {
	return string(o) + ": "
}
