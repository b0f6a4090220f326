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

// runLog counts the runs of all backend servers by request id and by token.
type runLog struct {
	mu       sync.Mutex
	requests map[string]int
	tokens   map[string]int
	// lastNode is the index of the node that ran the latest request. crashes and canceled count the runs that ended
	// in these ways.
	lastNode int
	crashes  int
	canceled int
}

func (r *runLog) latest() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.lastNode
}

// backend is a backend server whose responses contain the request's method, URI and body. The header X-Fault
// selects a fault to inject.
type backend struct {
	runs  *runLog
	node  int
	crash func()
}

// sleep waits for d and counts the run as canceled if ctx ends first.
func (r *runLog) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		r.mu.Lock()
		defer r.mu.Unlock()
		r.canceled++
	}
}

// workTime is how long a run takes.
const workTime = 100 * time.Millisecond

// responseBody returns a body of at least size bytes that repeats the parts of the request.
func responseBody(method, uri string, body []byte, size int) []byte {
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
	b.runs.lastNode = b.node

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

	data := responseBody(r.Method, r.URL.RequestURI(), body, size)
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
