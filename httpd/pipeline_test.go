package httpd_test

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/httpd"
)

// Guards against a slow request that delays the work of those behind it, and against responses out of order.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	started := make(chan string, 8)
	release := make(chan struct{})
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path

		if r.URL.Path == "/0" {
			<-release
		}

		_, _ = io.WriteString(w, r.URL.Path)
	})

	c := dial(t, addr)
	c.get("/0", "/1", "/2", "/3")

	for range 4 {
		<-started
	}

	close(release)

	for i := range 4 {
		resp, body := c.answer("GET")
		qt.Check(t, body, qt.Equals, "/"+strconv.Itoa(i))
		qt.Check(t, resp.Close, qt.IsFalse)
	}
}

// Guards against more requests in flight than the depth allows, and a depth of 1 that still reads ahead.
func TestDepthIsBounded(t *testing.T) {
	for _, depth := range []int{1, 3} {
		var running, most atomic.Int64

		cfg := settings
		cfg.PipelineDepth = depth
		addr := start(t, cfg, func(w http.ResponseWriter, _ *http.Request) {
			n := running.Add(1)
			defer running.Add(-1)

			for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
			}

			time.Sleep(5 * time.Millisecond)
			_, _ = io.WriteString(w, "x")
		})

		c := dial(t, addr)
		for range 5 {
			c.get("/0", "/1", "/2", "/3", "/4", "/5", "/6", "/7")
		}

		for range 40 {
			c.answer("GET")
		}

		qt.Check(t, int(most.Load()), qt.Equals, depth)
	}
}

// Guards against requests in flight that hold more bytes than the limit, and a longer request that is never served.
func TestBytesAreBounded(t *testing.T) {
	cfg := settings
	cfg.PipelineBytes = 1000

	var running atomic.Int64

	addr := start(t, cfg, func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, running.Add(1) <= 2, qt.IsTrue)
		defer running.Add(-1)

		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path[:2])
	})

	c := dial(t, addr)
	long := strings.Repeat("a", 400)
	c.get("/0"+long, "/1"+long, "/2"+long, "/3"+strings.Repeat(long, 5), "/4")

	for i := range 5 {
		_, body := c.answer("GET")
		qt.Check(t, body, qt.Equals, "/"+strconv.Itoa(i))
	}
}

// Guards against a request with a body, or with a method that changes something, that runs beside others.
func TestOtherRequestsRunAlone(t *testing.T) {
	var running atomic.Int64

	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)

		if r.Method != http.MethodGet || r.ContentLength != 0 {
			qt.Check(t, n, qt.Equals, int64(1))
		}

		time.Sleep(5 * time.Millisecond)
		qt.Check(t, running.Load() > 1 && r.Method != http.MethodGet, qt.IsFalse)

		b, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		_, _ = io.WriteString(w, r.URL.Path+string(b))
	})

	c := dial(t, addr)
	c.send("GET /0 HTTP/1.1\nHost: a\n\nPOST /1 HTTP/1.1\nHost: a\nContent-Length: 3\n\nabcGET /2 HTTP/1.1\nHost: a\n\n" +
		"DELETE /3 HTTP/1.1\nHost: a\n\nGET /4 HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n2\nde\n1\nf\n0\n\n" +
		"GET /5 HTTP/1.1\nHost: a\n\n")

	for _, want := range []string{"/0", "/1abc", "/2", "/3", "/4def", "/5"} {
		_, body := c.answer("GET")
		qt.Check(t, body, qt.Equals, want)
	}
}

// Guards against a non-idempotent GET request that runs while an earlier response is outstanding, or although the
// connection closes before it.
func TestSerialize(t *testing.T) {
	var answered atomic.Bool

	result := make(chan error, 1)
	release := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow", "/close":
			<-release

			if r.URL.Path == "/close" {
				w.Header().Set("Connection", "close")
			}

			answered.Store(true)
		default:
			err := httpd.Serialize(r.Context())
			qt.Check(t, answered.Load(), qt.IsTrue)
			result <- err
		}

		_, _ = io.WriteString(w, r.URL.Path)
	}
	addr := start(t, settings, handler)

	for _, first := range []string{"/slow", "/close"} {
		answered.Store(false)

		c := dial(t, addr)
		c.get(first, "/once")
		time.Sleep(10 * time.Millisecond)

		release <- struct{}{}

		_, body := c.answer("GET")
		qt.Check(t, body, qt.Equals, first)

		err := <-result

		if first == "/slow" {
			qt.Check(t, err, qt.IsNil)

			_, body = c.answer("GET")
			qt.Check(t, body, qt.Equals, "/once")
		} else {
			qt.Check(t, err, qt.IsNotNil)
			c.ended()
		}
	}

	qt.Check(t, httpd.Serialize(t.Context()), qt.IsNil)
}

// Guards against taking a client that awaits each response for one that pipelines, and the other way round.
func TestPipelined(t *testing.T) {
	pipelined := make(chan bool, 1)
	release := make(chan struct{})
	addr := start(t, settings, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		} else {
			pipelined <- httpd.Pipelined(r.Context())
		}
	})

	c := dial(t, addr)
	for range 2 {
		c.get("/awaited")
		qt.Check(t, <-pipelined, qt.IsFalse)
		c.answer("GET")
	}

	c.get("/slow", "/ahead")
	qt.Check(t, <-pipelined, qt.IsTrue)
	release <- struct{}{}

	c.answer("GET")
	c.answer("GET")
	c.get("/later")
	qt.Check(t, <-pipelined, qt.IsTrue)
	qt.Check(t, httpd.Pipelined(t.Context()), qt.IsFalse)
}

// Guards against requests behind a closing response that still run or are answered.
func TestClosingResponseCancelsRequestsBehind(t *testing.T) {
	for _, abort := range []bool{false, true} {
		var wg sync.WaitGroup

		wg.Add(3)

		addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/0":
				time.Sleep(30 * time.Millisecond)
			case "/1":
				wg.Wait()

				if abort {
					_, _ = io.WriteString(w, "part")

					panic(http.ErrAbortHandler)
				}

				w.Header().Set("Connection", "close")
			default:
				wg.Done()
				<-r.Context().Done()
			}

			_, _ = io.WriteString(w, r.URL.Path)
		})

		c := dial(t, addr)
		c.get("/0", "/1", "/2", "/3", "/4")

		resp, body := c.answer("GET")
		qt.Check(t, body, qt.Equals, "/0")
		qt.Check(t, resp.Close, qt.IsFalse)

		if !abort {
			resp, body = c.answer("GET")
			qt.Check(t, body, qt.Equals, "/1")
			qt.Check(t, resp.Close, qt.IsTrue)
		}

		c.ended()
	}
}

// Guards against a request behind a closing response that starts after the decision to close.
func TestNothingStartsAfterClosing(t *testing.T) {
	var later atomic.Int64

	decided := make(chan struct{})
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/0" {
			if r.Context().Err() == nil {
				later.Add(1)
			}

			return
		}

		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusOK)
		close(decided)
		time.Sleep(30 * time.Millisecond)
		_, _ = io.WriteString(w, "x")
	})

	c := dial(t, addr)
	c.get("/0")
	<-decided
	c.get("/1", "/2")

	_, body := c.answer("GET")
	qt.Check(t, body, qt.Equals, "x")
	c.ended()
	qt.Check(t, later.Load(), qt.Equals, int64(0))
}

// Guards against requests that go on for a client that has left: while the server reads, while it has as many
// requests as it may read, and while a request runs alone with others behind it.
func TestClientThatLeavesCancelsItsRequests(t *testing.T) {
	get := "GET / HTTP/1.1\nHost: a\n\n"

	for _, test := range []struct {
		name, text string
		started    int
	}{
		{"one", get, 1},
		{"pipelined", strings.Repeat(get, 3), 3},
		{"full", strings.Repeat(get, 40), 16},
		{"alone", "POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nx", 1},
		{"behind alone", "POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nx" + strings.Repeat(get, 300), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			started, canceled := make(chan struct{}, 64), make(chan struct{}, 64)
			addr := start(t, settings, func(_ http.ResponseWriter, r *http.Request) {
				if conns.CallerClosed(r.Context()) {
					panic(http.ErrAbortHandler)
				}

				_, _ = io.ReadAll(r.Body)

				started <- struct{}{}

				<-r.Context().Done()

				canceled <- struct{}{}
			})

			c := dial(t, addr)
			c.send("%s", strings.ReplaceAll(test.text, "\n", "\r\n"))

			for range test.started {
				<-started
			}

			time.Sleep(10 * time.Millisecond)
			qt.Assert(t, c.Close(), qt.IsNil)

			for range test.started {
				<-canceled
			}

			time.Sleep(10 * time.Millisecond)
			qt.Check(t, started, qt.HasLen, 0)
		})
	}
}

// Guards against a response that holds more memory than allowed while it waits for its turn, or is then sent with
// bytes missing.
func TestWaitingResponseBlocksItsHandler(t *testing.T) {
	var sent atomic.Int64

	release := make(chan struct{})
	piece := strings.Repeat("0123456789abcdef", 64)
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-release

			return
		}

		for range 100 {
			n, err := io.WriteString(w, piece)
			qt.Check(t, err, qt.IsNil)
			sent.Add(int64(n))
		}
	})

	c := dial(t, addr)
	c.get("/0", "/1")
	time.Sleep(50 * time.Millisecond)
	qt.Check(t, sent.Load() <= 16<<10, qt.IsTrue)
	qt.Check(t, sent.Load() >= 8<<10, qt.IsTrue)
	close(release)
	c.answer("GET")

	_, body := c.answer("GET")
	qt.Check(t, body, qt.Equals, strings.Repeat(piece, 100))
}

// Guards against requests that are read without bound while their client reads no responses.
func TestClientThatDoesNotRead(t *testing.T) {
	var started atomic.Int64

	body := strings.Repeat("x", 1<<20)
	addr := start(t, settings, func(w http.ResponseWriter, _ *http.Request) {
		started.Add(1)
		_, _ = io.WriteString(w, body)
	})

	c := dial(t, addr)
	for range 100 {
		c.get("/")
	}

	time.Sleep(100 * time.Millisecond)
	qt.Check(t, started.Load() < 100, qt.IsTrue)

	for range 100 {
		_, got := c.answer("GET")
		qt.Assert(t, got == body, qt.IsTrue)
	}
}

// Guards against a context of a request that outlives its handler.
func TestContextEndsWithHandler(t *testing.T) {
	ctxs := make(chan context.Context, 1)
	addr := start(t, settings, func(_ http.ResponseWriter, r *http.Request) { ctxs <- r.Context() })
	c := dial(t, addr)
	c.get("/")
	c.answer("GET")
	<-(<-ctxs).Done()
}
