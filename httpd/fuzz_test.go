package httpd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
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
	if err != nil {
		// The connection ended, or the body is malformed. A record after the connection's end would come too late.
		return
	}

	s.Body, s.Trailer = string(b), req.Trailer

	r.mu.Lock()
	r.lists[req.RemoteAddr] = append(r.lists[req.RemoteAddr], s)
	r.mu.Unlock()

	_, _ = io.WriteString(w, "x")
}

// lastClient numbers the clients' addresses. Each connection has its own one, since a request may be recorded only
// after its connection was closed, when another connection may have the same port.
var lastClient atomic.Uint32

// dialUnique connects from an address that no other connection has.
func dialUnique(addr string) (net.Conn, error) {
	n := lastClient.Add(1)
	ip := net.IPv4(127, byte(1+n>>16%250), byte(n>>8), byte(n))

	return (&net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}).Dial("tcp", addr)
}

// requests returns what a server's handler sees of the bytes of a connection.
func (r *recorder) requests(t testing.TB, addr, input string, wait time.Duration) []seen {
	t.Helper()

	c, err := dialUnique(addr)
	qt.Assert(t, err, qt.IsNil)

	_, _ = io.WriteString(c, input)
	// An incomplete request makes both servers wait.
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()

	r.mu.Lock()
	defer r.mu.Unlock()

	client := c.LocalAddr().String()
	list := r.lists[client]
	delete(r.lists, client)

	return list
}

// withoutEmptyLines returns the input without the one to four empty lines before a request, for each place where the
// request may begin. They are accepted before any request, but by net/http only after POST.
func withoutEmptyLines(input string, request seen) []string {
	var variants []string

	line := request.Method + " " + request.URI + " " + request.Proto

	for i := range input {
		if !strings.HasPrefix(input[i:], line) {
			continue
		}

		before := input[:i]

		for range 4 {
			shorter, ok := strings.CutSuffix(before, "\r\n")
			if !ok {
				break
			}

			before = shorter
			variants = append(variants, before+input[i:])
		}
	}

	return variants
}

// pair is both servers.
type pair struct {
	t                  testing.TB
	own, other         *recorder
	ownAddr, otherAddr string
}

// difference describes a request that is accepted only here or has another meaning here; it is empty if there is none.
func (p pair) difference(input string, wait time.Duration) string {
	got := p.own.requests(p.t, p.ownAddr, input, wait)
	want := p.other.requests(p.t, p.otherAddr, input, wait)

	for i := range got {
		for _, variant := range withoutEmptyLines(input, got[i]) {
			if i < len(want) {
				break
			}

			if list := p.other.requests(p.t, p.otherAddr, variant, wait); len(list) > i {
				input, want = variant, list
			}
		}

		if i >= len(want) {
			return fmt.Sprintf("accepted only here: %+v", got[i])
		}

		if !reflect.DeepEqual(got[:i+1], want[:i+1]) {
			return fmt.Sprintf("%+v here, %+v with net/http", got[:i+1], want[:i+1])
		}
	}

	return ""
}

// FuzzAgainstNetHTTP guards against requests that this server accepts and net/http refuses, or that have another
// meaning here: the next server on the path could see other requests in the same bytes.
func FuzzAgainstNetHTTP(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\nHost: a\n\nHEAD /b?c=%20 HTTP/1.1\nhost: a:80\nAccept:  x \n\n",
		"POST / HTTP/1.1\nHost: a\nContent-Length: 5\n\nhelloGET /2 HTTP/1.1\nHost: b\n\n",
		"POST / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n3;x=y\nabc\n0\nT: v\n\nGET / HTTP/1.1\nHost: b\n\n",
		"PUT / HTTP/1.1\nHost: a\nContent-Length: 2\n\nab\nGET /2 HTTP/1.1\nHost: b\n\n",
		"PUT / HTTP/1.1\nHost: a\nContent-Length: 2\n\nab\n\n\n\nGET /2 HTTP/1.1\nHost: b\n\n",
		"PUT / HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n1\na\n0\n\n\n\nGET /2 HTTP/1.1\nHost: b\n\n",
		"GET / HTTP/1.1\nHost: a\nConnection: x Close\n\n",
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
		p := pair{t: t, own: own, other: other, ownAddr: addr, otherAddr: ln.Addr().String()}

		// A busy machine may need longer for a complete request than an incomplete one is awaited.
		if p.difference(input, 50*time.Millisecond) != "" {
			qt.Assert(t, p.difference(input, 2*time.Second), qt.Equals, "", qt.Commentf("%q", input))
		}
	})
}
