package route_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	spar "sardinespar.example/spar"
)

// runs counts what the backend servers ran.
type runs struct {
	mu       sync.Mutex
	requests map[string]int
	tokens   map[string]int
	// last is the node that ran the latest request, crashes and canceled count runs that ended so.
	last     int
	crashes  int
	canceled int
}

func (r *runs) latest() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.last
}

// backend is a backend server that answers with content which belongs to the request. The header
// X-Fault says what goes wrong.
type backend struct {
	runs  *runs
	node  int
	crash func()
}

// sleep takes time unless the run is canceled.
func (r *runs) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.canceled++
	}
}

const workTime = 100 * time.Millisecond

func content(method, uri string, body []byte, size int) []byte {
	line := fmt.Appendf(nil, "%s %s %s;", method, uri, body)

	return bytes.Repeat(line, size/len(line)+1)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	fault := r.Header.Get("X-Fault")

	if r.URL.Path == "/health" {
		return
	}

	w.Header().Set(spar.HeaderRequest, r.Header.Get(spar.HeaderRequest))

	if fault == "shed" || fault == "lose, shed" && !strings.HasSuffix(r.Header.Get(spar.HeaderRequest), ".1") {
		w.Header().Set(spar.HeaderOutcome, string(spar.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	id, _, _ := strings.Cut(r.Header.Get(spar.HeaderRequest), ".")

	b.runs.mu.Lock()
	b.runs.requests[id]++
	b.runs.tokens[r.Header.Get(spar.HeaderToken)]++
	b.runs.last = b.node

	if fault == "crash" {
		b.runs.crashes++
	}
	b.runs.mu.Unlock()

	if fault == "crash" {
		b.crash()
		panic(http.ErrAbortHandler)
	}

	time.Sleep(workTime)

	size := 100

	switch fault {
	case "cross":
		w.Header().Set(spar.HeaderRequest, "another")

		body = []byte("another")
	case "lose", "lose, shed":
		panic(http.ErrAbortHandler)
	case "late":
		b.runs.sleep(r.Context(), 5*time.Second)
	case "large", "large cut":
		size = 100 << 10
	}

	if strings.HasPrefix(r.URL.Path, "/f/file/") {
		b.serveFile(w, r, fault)

		return
	}

	data := content(r.Method, r.URL.RequestURI(), body, size)
	if fault != "large cut" {
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}

	cut := strings.HasSuffix(fault, "cut")
	if cut {
		data = data[:len(data)/2]
	}

	_, _ = w.Write(data)

	if cut {
		panic(http.ErrAbortHandler)
	}
}
