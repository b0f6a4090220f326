package httpd_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/httpd"
)

// inBubble runs a test in virtual time with a connection to a server.
func inBubble(t *testing.T, h http.HandlerFunc, test func(t *testing.T, c *client)) {
	t.Helper()

	synctest.Test(t, func(t *testing.T) {
		pipes := fault.NewPipeNet()
		s := httpd.New(settings, httpd.Deps{Clock: spar.RuntimeClock(), Handler: h, Log: log.New(io.Discard)})
		ln := pipes.Listen("a")
		done := make(chan error, 1)

		go func() { done <- s.Serve(ln) }()

		nc, err := pipes.Dial(t.Context(), "a")
		qt.Assert(t, err, qt.IsNil)

		test(t, newClient(t, nc))

		_ = nc.Close()

		qt.Check(t, s.Close(), qt.IsNil)
		qt.Check(t, <-done, qt.Equals, http.ErrServerClosed)
	})
}

func answerOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }

// Guards against heads that arrive without end: the client is answered with 408 at the limit. A head may use the
// limit, and it counts from the first byte.
func TestSlowHead(t *testing.T) {
	inBubble(t, answerOK, func(t *testing.T, c *client) {
		for range 3 {
			time.Sleep(30 * time.Second)
			c.send("GET / HTTP/1.1\n")
			time.Sleep(9900 * time.Millisecond)
			c.send("Host: a\n\n")

			_, body := c.answer("GET")
			qt.Check(t, body, qt.Equals, "x")
		}

		start := time.Now()

		c.send("GET / HTTP/1.1\n")
		time.Sleep(9 * time.Second)
		c.send("X: y\n")

		resp, _ := c.answer("GET")
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
		qt.Check(t, time.Since(start), qt.Equals, 10*time.Second)
		c.ended()
	})
}

// Guards against an idle connection that is closed too early or never, and one that is closed while a request runs.
func TestIdleConnection(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Second)
		qt.Check(t, r.Context().Err(), qt.IsNil)
		answerOK(w, r)
	}
	inBubble(t, handler, func(t *testing.T, c *client) {
		for range 2 {
			time.Sleep(59 * time.Second)
			c.get("/")

			_, body := c.answer("GET")
			qt.Check(t, body, qt.Equals, "x")
		}

		start := time.Now()

		c.ended()

		kept := time.Since(start)
		qt.Check(t, kept >= time.Minute && kept <= 66*time.Second, qt.IsTrue, qt.Commentf("%v", kept))
	})
}

// Guards against bodies that are sent so slowly that they hold their memory for as long as the client likes.
func TestSlowBody(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); errors.Is(err, os.ErrDeadlineExceeded) {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	}
	inBubble(t, handler, func(t *testing.T, c *client) {
		// 2 KiB/s is enough.
		c.send("POST / HTTP/1.1\nHost: a\nContent-Length: 61440\n\n")

		for range 30 {
			time.Sleep(time.Second)
			c.send("%s", strings.Repeat("b", 2048))
		}

		resp, _ := c.answer("POST")
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)

		start := time.Now()

		c.send("POST / HTTP/1.1\nHost: a\nContent-Length: 61440\n\n")

		var wg sync.WaitGroup
		defer wg.Wait()

		wg.Go(func() {
			for range 60 {
				time.Sleep(time.Second)

				if _, err := io.WriteString(c, strings.Repeat("b", 512)); err != nil {
					return
				}
			}
		})

		resp, _ = c.answer("POST")
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusRequestTimeout)
		qt.Check(t, resp.Close, qt.IsTrue)
		qt.Check(t, time.Since(start) < 21*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))

		_ = c.Close()
	})
}

// Guards against a closed server whose connections and handlers go on.
func TestCloseCancelsRequests(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	s := httpd.New(settings, httpd.Deps{
		Clock: spar.RuntimeClock(), Log: log.New(io.Discard),
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(canceled)
		}),
	})

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)

	done := make(chan error, 1)

	go func() { done <- s.Serve(ln) }()

	busy, idle := dial(t, ln.Addr().String()), dial(t, ln.Addr().String())
	busy.get("/")
	<-started
	qt.Check(t, s.Close(), qt.IsNil)
	qt.Check(t, <-done, qt.Equals, http.ErrServerClosed)
	<-canceled
	busy.ended()
	idle.ended()
	qt.Check(t, s.Serve(ln), qt.Equals, http.ErrServerClosed)
}

// account is a budget of one connection.
type account struct {
	mu                 sync.Mutex
	limit, taken, most int64
	client             string
	closed             bool
}

// Open returns the account itself.
func (a *account) Open(client string) httpd.Account {
	a.client = client

	return a
}

// Take reserves bytes up to the limit.
func (a *account) Take(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.taken+n > a.limit {
		return false
	}

	a.taken += n
	a.most = max(a.most, a.taken)

	return true
}

// Release returns bytes.
func (a *account) Release(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.taken -= n
}

// Close records that the connection holds nothing.
func (a *account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.closed = true
}

func (a *account) state() (taken, most int64, closed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.taken, a.most, a.closed
}

// Guards against memory that is held without being counted, or counted for longer than it is held.
func TestBudgetCounts(t *testing.T) {
	release := make(chan struct{})
	a := &account{limit: 1 << 30}
	addr := startWith(t, settings, httpd.Deps{Budget: a, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)

			if r.URL.Path == "/0" {
				<-release
			}

			_, _ = io.WriteString(w, strings.Repeat("x", 15<<10))
		})})

	c := dial(t, addr)
	c.get("/0")
	time.Sleep(20 * time.Millisecond)

	one, _, _ := a.state()
	qt.Check(t, a.client, qt.Equals, "127.0.0.1")
	c.get("/1", "/2", "/3")
	time.Sleep(50 * time.Millisecond)

	four, _, _ := a.state()
	qt.Check(t, four-one >= 3*(16<<10), qt.IsTrue, qt.Commentf("%d %d", one, four))
	close(release)

	for range 4 {
		c.answer("GET")
	}

	c.send("POST / HTTP/1.1\nHost: a\nContent-Length: 200000\n\n%s", strings.Repeat("b", 200_000))
	c.answer("POST")

	_, most, _ := a.state()
	qt.Check(t, most > 200_000, qt.IsTrue)
	c.send("POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n493e0\n%s\n0\n\n", strings.Repeat("b", 300_000))
	c.answer("POST")

	_, most, _ = a.state()
	qt.Check(t, most > 300_000, qt.IsTrue)

	// A head that needs a larger read buffer, and one that does not.
	c.send("GET / HTTP/1.1\nHost: a\nX: %s\n\n", strings.Repeat("x", 20_000))
	c.answer("GET")
	c.get("/")
	c.answer("GET")
	time.Sleep(20 * time.Millisecond)

	idle, _, closed := a.state()
	qt.Check(t, idle, qt.Equals, int64(8<<10))
	qt.Check(t, closed, qt.IsFalse)

	_ = c.Close()

	time.Sleep(20 * time.Millisecond)

	_, _, closed = a.state()
	qt.Check(t, closed, qt.IsTrue)
}

// Guards against a request that is read although there is no memory for it, and one that is refused without the
// promise that it has not run.
func TestBudgetRefuses(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); errors.Is(err, httpd.ErrMemory) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	addr := startWith(t, settings, httpd.Deps{Budget: &account{limit: 100_000}, Handler: handler})

	c := dial(t, addr)
	c.get("/")

	resp, _ := c.answer("GET")
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	c.send("POST / HTTP/1.1\nHost: a\nContent-Length: 200000\n\n")

	resp, _ = c.answer("POST")
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Header.Get("Retry-After") != "", qt.IsTrue)
	qt.Check(t, resp.Close, qt.IsTrue)

	c = dial(t, startWith(t, settings, httpd.Deps{Budget: &account{limit: 100_000}, Handler: handler}))
	go func() {
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n"+
			strings.Repeat("b", 300_000)+"\r\n0\r\n\r\n")
	}()

	resp, _ = c.answer("POST")
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, resp.Close, qt.IsTrue)

	// A connection without memory is closed at once.
	dial(t, startWith(t, settings, httpd.Deps{Budget: &account{limit: 1000}, Handler: handler})).ended()
}

// Guards against heads that take more memory than is counted for them: a head of very many short lines takes many
// times its length.
func TestBudgetCoversHeads(t *testing.T) {
	const conns = 20

	distinct := make([]string, 0, 7000)
	for i := range cap(distinct) {
		distinct = append(distinct, strconv.FormatInt(int64(i), 36)+":")
	}

	for name, lines := range map[string][]string{
		"distinct": distinct[:5500], "few distinct": distinct[:100], "equal": slices.Repeat([]string{"x:"}, 8000),
		"long": {"x: " + strings.Repeat("y", 32_000)}, "none": nil,
	} {
		t.Run(name, func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			a := &account{limit: 1 << 40}
			addr := startWith(t, settings, httpd.Deps{Budget: a, Handler: http.HandlerFunc(
				func(_ http.ResponseWriter, r *http.Request) {
					// Entry sends such a copy to another node.
					h := r.Header.Clone()

					started <- struct{}{}

					<-release
					runtime.KeepAlive(h)
				})})
			text := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Join(append(lines, "", ""), "\r\n")

			if lines == nil {
				text += "\r\n"
			}

			before := held()
			clients := make([]*client, 0, conns)

			for range conns {
				c := dial(t, addr)
				_, err := io.WriteString(c, text)
				qt.Assert(t, err, qt.IsNil)

				clients = append(clients, c)

				<-started
			}

			grown := held() - before
			taken, _, _ := a.state()
			t.Logf("%d lines, %d bytes: holds %d, counted %d", len(lines), len(text), grown/conns, taken/conns)
			// Each client of the test holds a read buffer of 4 KiB and its descriptor.
			qt.Check(t, taken >= grown-conns*5000, qt.IsTrue)
			qt.Check(t, taken <= 6*grown, qt.IsTrue)
			close(release)

			for _, c := range clients {
				c.answer("GET")
			}
		})
	}
}

// Guards against a body without a length that takes more memory than is counted: a single read may return far more
// than one step.
func TestBudgetCountsLargeReads(t *testing.T) {
	const size = 1 << 20

	a := &account{limit: 1 << 30}
	counted := make(chan int64, 1)
	addr := startWith(t, settings, httpd.Deps{Budget: a, Handler: http.HandlerFunc(
		func(_ http.ResponseWriter, r *http.Request) {
			time.Sleep(50 * time.Millisecond)

			_, err := io.ReadFull(r.Body, make([]byte, size))
			qt.Check(t, err, qt.IsNil)

			taken, _, _ := a.state()
			counted <- taken
		})})

	c := dial(t, addr)
	c.send("POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n%x\n%s\n0\n\n", size, strings.Repeat("b", size))
	c.answer("POST")

	n := <-counted
	qt.Check(t, n >= size, qt.IsTrue, qt.Commentf("%d counted", n))
}

// Guards against idle connections that count a large read buffer, which they no longer hold, until their next request:
// a few hundred of them would take up the budget of a small machine.
func TestIdleConnectionCountsNoLargeBuffer(t *testing.T) {
	a := &account{limit: 1 << 30}
	c := dial(t, startWith(t, settings, httpd.Deps{Budget: a, Handler: http.HandlerFunc(answerOK)}))
	c.send("GET / HTTP/1.1\nHost: a\nX: %s\n\n", strings.Repeat("x", 20_000))
	c.answer("GET")

	var idle int64

	for range 200 {
		if idle, _, _ = a.state(); idle == 8<<10 {
			return
		}

		time.Sleep(10 * time.Millisecond)
	}

	t.Errorf("%d bytes are counted", idle)
}
