package httpd_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// seen is what a handler sees of a request.
type seen struct {
	Method, URI, Host, Proto, Body string
	Length                         int64
	Coding                         []string
	Header, Trailer                http.Header
	Complete                       bool
}

// recorder is a handler that keeps the requests of each client.
type recorder struct {
	mu    sync.Mutex
	lists map[string][]seen
}

func newRecorder() *recorder {
	return &recorder{lists: map[string][]seen{}}
}

// ServeHTTP reads a request completely and responds.
func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s := seen{
		Method: req.Method, URI: req.RequestURI, Host: req.Host, Proto: req.Proto, Length: req.ContentLength,
		Coding: req.TransferEncoding, Header: req.Header.Clone(),
	}

	b, err := io.ReadAll(req.Body)
	s.Body, s.Complete, s.Trailer = string(b), err == nil, req.Trailer

	r.mu.Lock()
	r.lists[req.RemoteAddr] = append(r.lists[req.RemoteAddr], s)
	r.mu.Unlock()

	_, _ = io.WriteString(w, "x")
}

// requests returns what a server's handler sees of the bytes of a connection.
func (r *recorder) requests(t testing.TB, addr, input string) []seen {
	t.Helper()

	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)

	defer func() { _ = c.Close() }()

	_, _ = io.WriteString(c, input)
	// An incomplete request makes both servers wait.
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, _ = io.Copy(io.Discard, c)

	r.mu.Lock()
	defer r.mu.Unlock()

	client := c.LocalAddr().String()
	list := r.lists[client]
	delete(r.lists, client)

	return list
}

// toleratesEmptyLine reports whether request n is preceded by an empty line, which net/http accepts only after POST.
func toleratesEmptyLine(input string, list []seen, n int) bool {
	if n > 0 && list[n-1].Body != "" {
		return strings.Contains(input, list[n-1].Body+"\r\n"+list[n].Method+" "+list[n].URI)
	}

	return strings.HasPrefix(input, "\r\n") || strings.Contains(input, "\r\n\r\n\r\n")
}

// FuzzAgainstNetHTTP guards against requests that this server accepts and net/http refuses, or that have another
// meaning here: the next server on the path could see other requests in the same bytes.
func FuzzAgainstNetHTTP(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\nHost: a\n\nHEAD /b?c=%20 HTTP/1.1\nhost: a:80\nAccept:  x \n\n",
		"POST / HTTP/1.1\nHost: a\nContent-Length: 5\n\nhelloGET /2 HTTP/1.1\nHost: b\n\n",
		"POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n3;x=y\nabc\n0\nT: v\n\nGET / HTTP/1.1\nHost: b\n\n",
		"PUT / HTTP/1.1\nHost: a\nContent-Length: 2\n\nab\nGET /2 HTTP/1.1\nHost: b\n\n",
		"GET / HTTP/1.0\n\n", "GET http://x/y HTTP/1.1\nHost: a\n\n", "OPTIONS * HTTP/1.1\nHost: a\n\n",
		"CONNECT a:1 HTTP/1.1\nHost: a:1\n\n", "GET / HTTP/1.1\nHost: a\n folded\n\n",
		"GET / HTTP/1.1\nHost: a\nContent-Length: 1\nContent-Length: 1\n\nx",
		"GET / HTTP/1.1\nHost: a\nContent-Length: 1\nTransfer-Encoding: chunked\n\n0\n\n",
		"GET / HTTP/1.1\nHost: a\nTransfer-Encoding: gzip, chunked\n\n0\n\n",
		"GET / HTTP/1.1\nHost: a\nX : y\n\n", "GET /\x01 HTTP/1.1\nHost: a\n\n", "\n\nGET / HTTP/1.1\nHost: a\n\n",
		"GET / HTTP/1.1\nHost: a\nX: \x00\n\n", "GET / HTTP/1.1\nHost: a\nExpect: 100-continue\nContent-Length: 1\n\nx",
		"PRI * HTTP/2.0\n\nSM\n\n", "GET  / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\nHost: a b\n\n",
		"GET / HTTP/1.1\nHost: a\nConnection: close\n\nGET /2 HTTP/1.1\nHost: a\n\n",
		"POST / HTTP/1.1\nHost: a\nContent-Length: +1\n\nx", "GET / HTTP/1.1\nHost: a\nTransfer-Encoding:\n\n",
		"GET / HTTP/1.1\nHost: a\nPragma: no-cache\nContent-Length: 0\n\n",
	} {
		f.Add(strings.ReplaceAll(text, "\n", "\r\n"))
		f.Add(text)
	}

	own, other := newRecorder(), newRecorder()
	// Concurrent requests would be recorded in any order.
	serial := settings
	serial.PipelineDepth = 1
	addr := start(f, serial, own.ServeHTTP)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(f, err, qt.IsNil)

	reference := &http.Server{Handler: other, ReadHeaderTimeout: time.Second}

	go func() { _ = reference.Serve(ln) }()

	f.Cleanup(func() { _ = reference.Close() })

	f.Fuzz(func(t *testing.T, input string) {
		// The last request lets both servers close the connection.
		input += "GET /end HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
		got := own.requests(t, addr, input)
		want := other.requests(t, ln.Addr().String(), input)

		for i := range got {
			if i >= len(want) && toleratesEmptyLine(input, got, i) {
				return
			}

			qt.Assert(t, i < len(want), qt.IsTrue, qt.Commentf("accepted only here: %+v in %q", got[i], input))
			qt.Assert(t, got[i], qt.DeepEquals, want[i], qt.Commentf("%q", input))
		}
	})
}
