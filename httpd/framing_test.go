package httpd_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against heads that other servers may understand in another way, and heads beyond the limits.
func TestHeadsAreRefused(t *testing.T) {
	cfg := settings
	cfg.HeadLines = 100
	addr := start(t, cfg, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })

	for _, test := range []struct {
		status int
		head   string
	}{
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length: 1\nTransfer-Encoding: chunked\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length: 1\nContent-Length: 1\n\nx"},
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length: 1\nContent-Length: 2\n\nx"},
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length: 1, 1\n\nx"},
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length: +1\n\nx"},
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length: -1\n\nx"},
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length:\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nContent-Length: 99999999999999999999\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nTransfer-Encoding: gzip, chunked\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\nTransfer-Encoding: chunked\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nTransfer-Encoding: identity\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nTransfer-Encoding: xchunked\n\n"},
		{400, "GET / HTTP/1.0\nHost: a\nTransfer-Encoding: chunked\n\n"},
		{400, "GET / HTTP/1.1\nHost : a\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nX : y\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\n X: y\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nX: y\n\tz\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nX: y\rz\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nX: y\x00\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nX: y\x7f\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\n: y\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nnoncolon\n\n"},
		{400, "GET /\x01 HTTP/1.1\nHost: a\n\n"},
		{400, "GET / HTTP/1.1\n\n"},
		{400, "GET / HTTP/1.1\nHost: a\nHost: a\n\n"},
		{400, "GET / HTTP/1.1\nHost: a/b\n\n"},
		{400, "GET / HTTP/1.1\nHost: a b\n\n"},
		{400, "GET / HTTP/1.2\nHost: a\n\n"},
		{400, "GET / HTTP/2.0\nHost: a\n\n"},
		{400, "PRI * HTTP/2.0\n\nSM\n\n"},
		{400, "GET /\n\n"},
		{400, "GET  / HTTP/1.1\nHost: a\n\n"},
		{400, "G\x00T / HTTP/1.1\nHost: a\n\n"},
		{400, "\n\n\n\n\nGET / HTTP/1.1\nHost: a\n\n"},
		{400, strings.Repeat("\n", 100_000)},
		{417, "GET / HTTP/1.1\nHost: a\nExpect: more\n\n"},
		{431, "GET / HTTP/1.1\nHost: a\n" + strings.Repeat("X: y\n", 100) + "\n"},
		{431, "GET / HTTP/1.1\nHost: a\nX: " + strings.Repeat("y", 32<<10) + "\n\n"},
		{431, strings.Repeat("x", 200_000)},
	} {
		c := dial(t, addr)
		go func() { _, _ = io.WriteString(c, strings.ReplaceAll(test.head, "\n", "\r\n")) }()

		resp, body := c.answer("GET")
		qt.Check(t, resp.StatusCode, qt.Equals, test.status, qt.Commentf("%.80q", test.head))
		qt.Check(t, resp.Close, qt.IsTrue)
		qt.Check(t, body != "x", qt.IsTrue)
		c.ended()
	}

	// Line ends without CR.
	c := dial(t, addr)
	_, _ = io.WriteString(c, "GET / HTTP/1.1\nHost: a\n\n")
	resp, _ := c.answer("GET")
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
}

// Guards against the refusal of legal heads: with very many lines, and as long as the limit.
func TestLargeHeadsAreServed(t *testing.T) {
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Join(r.Header["X"], ""))
	})
	c := dial(t, addr)

	for _, lines := range []int{1, 6000, 5} {
		c.send("\n\n\n\nGET / HTTP/1.1\nHost: a\n" + strings.Repeat("X:\n", lines) + "X: z\n\n")

		resp, body := c.answer("GET")
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
		qt.Check(t, body, qt.Equals, "z")
	}

	// A long head in pieces, behind another request and before a body.
	c.send("GET / HTTP/1.1\nHost: a\n\nPOST / HTTP/1.1\nHost: a\nContent-Length: 10000\n")

	for range 7 {
		c.send("Y: %s\n", strings.Repeat("y", 4000))
	}

	c.send("X: 1\n\n%sGET / HTTP/1.1\nHost: a\nX: 2\n\n", strings.Repeat("b", 10_000))

	for _, want := range []string{"", "1", "2"} {
		_, body := c.answer("GET")
		qt.Check(t, body, qt.Equals, want)
	}
}

// Guards against a refused head that is answered before the requests in front of it.
func TestRefusalWaitsForItsTurn(t *testing.T) {
	release := make(chan struct{})
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := dial(t, addr)
	c.send("GET /0 HTTP/1.1\nHost: a\n\nGET /1 HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\n\nGET /3 HTTP/1.1\nHost: a\n\n")
	close(release)

	for _, want := range []string{"/0", "/1"} {
		_, body := c.answer("GET")
		qt.Check(t, body, qt.Equals, want)
	}

	resp, _ := c.answer("GET")
	qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadRequest)
	c.ended()
}

// reply returns the bytes with which a server answers one request, with its header lines sorted.
func reply(t *testing.T, addr, request string) string {
	t.Helper()

	c := dial(t, addr)
	c.send("%s", strings.ReplaceAll(request, "\n", "\r\n"))

	resp, err := http.ReadResponse(c.r, &http.Request{Method: request[:strings.IndexByte(request, ' ')]})
	if err != nil {
		return "truncated"
	}

	date, err := http.ParseTime(resp.Header.Get("Date"))
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, time.Since(date) < 30*time.Second, qt.IsTrue)
	resp.Header.Del("Date")

	b, err := httputil.DumpResponse(resp, true)
	if err != nil {
		return "truncated"
	}

	// What follows the response shows whether the connection stays open.
	if !resp.Close {
		c.send("GET /missing HTTP/1.1\nHost: a\nConnection: close\n\n")
	}

	rest, err := io.ReadAll(c.r)
	qt.Check(t, err, qt.IsNil, qt.Commentf("%.100q", request))

	return string(b) + "|" + strings.Join(strings.Split(string(rest), "\r\n")[:1], "")
}

// Guards against responses that differ from those of net/http.
func TestResponsesAsNetHTTP(t *testing.T) {
	mux := http.NewServeMux()
	handlers := map[string]http.HandlerFunc{
		"/empty": func(http.ResponseWriter, *http.Request) {},
		"/short": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "<html>") },
		"/long": func(w http.ResponseWriter, _ *http.Request) {
			for range 100 {
				_, _ = io.WriteString(w, strings.Repeat("z", 1000))
			}
		},
		"/length": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "20000")
			_, _ = io.Copy(w, strings.NewReader(strings.Repeat("z", 20_000)))
		},
		"/untyped": func(w http.ResponseWriter, _ *http.Request) {
			w.Header()["Content-Type"] = nil
			_, _ = io.WriteString(w, "<html>")
		},
		"/head": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "77") },
		"/204": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusNoContent)

			_, err := io.WriteString(w, "x")
			qt.Check(t, err, qt.Equals, http.ErrBodyNotAllowed)
		},
		"/304": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "5")
			w.Header().Set("Content-Type", "a/b")
			w.Header().Set("Etag", "q")
			w.WriteHeader(http.StatusNotModified)
		},
		"/599": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(599) },
		"/close": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
			_, _ = io.WriteString(w, "x")
		},
		"/split": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X", " a\r\nY: b ")
			w.Header()["bad name"] = []string{"x"}
		},
		"/flush": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "a")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "b")
		},
		"/late": func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			w.Header().Set("X", "too late")
			w.WriteHeader(http.StatusInternalServerError)
		},
		"/read": func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			qt.Check(t, err, qt.IsNil)
			_, _ = w.Write(b)
		},
		"/unread": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") },
	}

	requests := make([]string, 0, 3*len(handlers))

	for path, h := range handlers {
		mux.HandleFunc(path, h)

		requests = append(requests, "GET "+path+" HTTP/1.1\nHost: a\n\n",
			"GET "+path+" HTTP/1.1\nHost: a\nConnection: close\n\n", "GET "+path+" HTTP/1.0\n\n",
			"POST "+path+" HTTP/1.1\nHost: a\nContent-Length: 4\n\nbody",
			"POST "+path+" HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n2\nab\n0\n\n")
	}

	requests = append(requests, "HEAD /head HTTP/1.1\nHost: a\n\n", "OPTIONS * HTTP/1.1\nHost: a\n\n",
		"POST /unread HTTP/1.1\nHost: a\nContent-Length: 1000000\n\nbody",
		"POST /unread HTTP/1.1\nHost: a\nContent-Length: 100000\n\n"+strings.Repeat("b", 100_000))

	addr := start(t, settings, mux.ServeHTTP)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)

	reference := &http.Server{Handler: mux}

	go func() { _ = reference.Serve(ln) }()

	t.Cleanup(func() { _ = reference.Close() })

	for _, request := range requests {
		got := reply(t, addr, request)
		want := reply(t, ln.Addr().String(), request)
		qt.Check(t, got == want, qt.IsTrue, qt.Commentf("%.100q\n%.500q\n%.500q", request, got, want))
	}
}

// Guards against a truncated response that looks complete.
func TestTruncatedResponses(t *testing.T) {
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", "50000")
			_, _ = io.WriteString(w, strings.Repeat("a", 20_000))

			return
		case "/toolong":
			w.Header().Set("Content-Length", "1")
			_, _ = io.WriteString(w, "a")

			_, err := io.WriteString(w, "b")
			qt.Check(t, err, qt.Equals, http.ErrContentLength)

			return
		case "/buffered":
			w.Header().Set("Content-Length", "50")
		case "/chunked", "/delimited":
			_, _ = io.WriteString(w, strings.Repeat("a", 20_000))
		}

		_, _ = io.WriteString(w, "a")

		panic(http.ErrAbortHandler)
	})

	for _, request := range []string{
		"GET /length HTTP/1.1\nHost: a\n\n", "GET /buffered HTTP/1.1\nHost: a\n\n", "GET /chunked HTTP/1.1\nHost: a\n\n",
		"GET /toolong HTTP/1.1\nHost: a\n\n",
		"GET /delimited HTTP/1.0\n\n", "GET /unframed HTTP/1.1\nHost: a\n\n",
	} {
		c := dial(t, addr)
		c.send("%s", strings.ReplaceAll(request, "\n", "\r\n"))

		resp, err := http.ReadResponse(c.r, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}

		qt.Check(t, err, qt.IsNotNil, qt.Commentf(request))
	}
}

// Guards against a client that waits for an interim response before it sends its body.
func TestExpectContinue(t *testing.T) {
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}

		b, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		_, _ = w.Write(b)
	})
	c := dial(t, addr)

	for range 2 {
		c.send("POST / HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 3\n\n")

		line, err := c.r.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, line, qt.Equals, "HTTP/1.1 100 Continue\r\n")

		_, err = c.r.ReadString('\n')
		qt.Assert(t, err, qt.IsNil)
		c.send("abc")

		_, body := c.answer("POST")
		qt.Check(t, body, qt.Equals, "abc")
	}

	// The client may or may not send a body that is not asked for.
	c.send("POST /unread HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 3\n\n")
	resp, _ := c.answer("POST")
	qt.Check(t, resp.Close, qt.IsTrue)
	c.ended()
}

// Guards against a body that a handler leaves to another goroutine: a read after the handler's end must fail, and
// must not take bytes of a later request or of another connection.
func TestBodyIsReadAfterHandler(t *testing.T) {
	result := make(chan error, 1)
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		reading := make(chan struct{})

		go func() {
			close(reading)

			_, err := io.ReadAll(r.Body)
			result <- err
		}()

		<-reading
		time.Sleep(5 * time.Millisecond)

		_, _ = io.WriteString(w, "x")
	})

	for range 5 {
		c := dial(t, addr)
		c.send("POST / HTTP/1.1\nHost: a\nContent-Length: 100\n\nabc")

		resp, body := c.answer("POST")
		qt.Check(t, body, qt.Equals, "x")
		qt.Check(t, resp.Close, qt.IsTrue)
		qt.Check(t, <-result, qt.IsNotNil)
		c.ended()
	}
}

// Guards against a kept connection that is closed, or read in a busy loop, since its body was read once more by another
// goroutine at the moment at which its handler returned.
func TestReadOfEndedBodyKeepsConnection(t *testing.T) {
	var stop chan struct{}

	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, "x")

		if stop != nil {
			close(stop)
		}

		stop = make(chan struct{})
		reading := make(chan struct{})

		go func(stop chan struct{}) {
			close(reading)

			for b := make([]byte, 1); ; {
				select {
				case <-stop:
					return
				default:
					_, _ = r.Body.Read(b)
				}
			}
		}(stop)

		<-reading
	})

	c := dial(t, addr)

	for range 500 {
		c.send("POST / HTTP/1.1\nHost: a\nContent-Length: 1\n\nb")

		_, body := c.answer("POST")
		qt.Assert(t, body, qt.Equals, "x")
	}

	close(stop)
}

// Guards against an interim response in the middle of a response that has begun before its handler reads the body.
func TestNoContinueWithinResponse(t *testing.T) {
	addr := start(t, settings, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "a")
		w.(http.Flusher).Flush()

		b, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		_, _ = w.Write(b)
	})

	c := dial(t, addr)
	c.send("POST / HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 1\n\n")

	resp, err := http.ReadResponse(c.r, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, resp.Close, qt.IsTrue)
	c.send("b")

	body, err := io.ReadAll(resp.Body)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, string(body), qt.Equals, "ab")
	c.ended()
}
