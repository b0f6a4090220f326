package conns_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
)

// script serves one connection. n is the number of the connection in order of acceptance, from 0.
type script func(n int, c net.Conn, r *bufio.Reader)

// serve runs a script on a listener and returns its address.
func serve(t *testing.T, s script) string {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })

	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			go func() {
				defer c.Close()

				s(n, c, bufio.NewReader(c))
			}()
		}
	}()

	return ln.Addr().String()
}

func newPool() *conns.Pool {
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}

	return conns.New(dial, spar.RuntimeClock(), conns.Options{MaxIdle: 4, IdleTimeout: 5000})
}

func get(id string) conns.Request {
	return conns.Request{
		Method: http.MethodGet, URI: "/a", Host: "h", Header: http.Header{"Id": {id}},
		Match: func(h http.Header) conns.Match { return conns.RequireID(h.Get("Id"), id) },
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(t *testing.T, p *conns.Pool, addr string, req conns.Request) (string, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()

	resp, failure := p.Send(ctx, addr, req)
	if failure != nil {
		return "", failure
	}
	defer resp.Body.Close()

	body, err := io.ReadAll(resp.Body)

	return string(body), err
}

// Guards against an automatic retry of a GET when a reused connection breaks after the request was written: the
// first attempt may have run.
func TestNoAutomaticRetry(t *testing.T) {
	var requests atomic.Int32

	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}

			if requests.Add(1) == 2 {
				return
			}

			_, _ = io.WriteString(c, response("1", "one"))
		}
	})
	p := newPool()

	_, err := send(t, p, addr, get("1"))
	qt.Assert(t, err, qt.IsNil)

	_, err = send(t, p, addr, get("1"))

	var failure *conns.SendError

	qt.Assert(t, errors.As(err, &failure), qt.IsTrue)
	qt.Check(t, failure.Sent, qt.IsTrue)
	qt.Check(t, failure.Reused, qt.IsTrue)
	qt.Check(t, requests.Load(), qt.Equals, int32(2))
}

// Guards against returning a surplus response to an earlier request as that to the next one, whether it arrives
// before that request is sent or after.
func TestStaleResponseIsSkipped(t *testing.T) {
	for _, late := range []bool{false, true} {
		addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}

				id := req.Header.Get("Id")
				if late && id == "2" {
					_, _ = io.WriteString(c, response("1", "extra"))
				}

				_, _ = io.WriteString(c, response(id, "body "+id))

				if !late && id == "1" {
					time.Sleep(20 * time.Millisecond)

					_, _ = io.WriteString(c, response("1", "extra"))
				}
			}
		})
		p := newPool()

		body, err := send(t, p, addr, get("1"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "body 1")

		time.Sleep(60 * time.Millisecond)

		body, err = send(t, p, addr, get("2"))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "body 2", qt.Commentf("late=%t", late))
	}
}

// Guards against a second copy of a response without an id that is taken for the response to the next request on the
// connection, and against rejecting the first response on a connection for having no id.
func TestUnmarkedResponseIsAcceptedOnlyFirst(t *testing.T) {
	const unmarked = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"

	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for k := 0; ; k++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}

			_, _ = io.WriteString(c, unmarked)

			if k > 0 {
				id := req.Header.Get("Id")
				_, _ = io.WriteString(c, response(id, "body "+id))
			}
		}
	})
	p := newPool()

	for i, want := range []string{"full", "body 1", "body 2"} {
		id := strconv.Itoa(i)
		req := get(id)
		req.Match = func(h http.Header) conns.Match { return conns.MatchID(h.Get("Id"), id) }

		body, err := send(t, p, addr, req)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, want)
	}
}

// Guards against a request that shares its connection with others although it asks for one of its own.
func TestOwnConnectionIsNotShared(t *testing.T) {
	var opened atomic.Int32

	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		opened.Add(1)

		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}

			_, _ = io.WriteString(c, response(req.Header.Get("Id"), "x"))
		}
	})
	p := newPool()

	for _, own := range []bool{false, true, true, false} {
		req := get("1")
		req.OwnConn = own

		_, err := send(t, p, addr, req)
		qt.Assert(t, err, qt.IsNil)
	}

	qt.Assert(t, opened.Load(), qt.Equals, int32(3))
}

// Guards against a truncated response that looks complete, with a length, with chunks, or with neither and a
// reset.
func TestTruncatedResponses(t *testing.T) {
	for name, tt := range map[string]struct {
		text     string
		reset    bool
		complete bool
	}{
		"length":               {text: "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf"},
		"chunks":               {text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		"reset":                {text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf", reset: true},
		"end of connection":    {text: "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nwhole", complete: true},
		"no response":          {text: "garbage\r\n\r\n"},
		"only other responses": {text: strings.Repeat(response("9", ""), 8)},
	} {
		addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}

			_, _ = io.WriteString(c, tt.text)

			if tt.reset {
				time.Sleep(20 * time.Millisecond)

				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})

		_, err := send(t, newPool(), addr, get("1"))
		qt.Check(t, err == nil, qt.Equals, tt.complete, qt.Commentf("%s: %v", name, err))
	}
}

// Guards against losing an early response to a long request, and against the server reading the rest of the body
// as another request.
func TestEarlyResponse(t *testing.T) {
	var second atomic.Int32

	addr := serve(t, func(n int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		if n > 0 {
			second.Add(1)
		}

		_, _ = io.WriteString(c, response(req.Header.Get("Id"), "early"))

		time.Sleep(50 * time.Millisecond)
	})
	p := newPool()
	long := get("1")
	long.Method, long.Body = http.MethodPost, make([]byte, 8<<20)

	body, err := send(t, p, addr, long)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, body, qt.Equals, "early")

	_, err = send(t, p, addr, get("2"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second.Load(), qt.Equals, int32(1))
}

// Guards against sending a request on an idle connection while the server closes it: a connection is not reused
// within idleMargin of the server's Keep-Alive timeout.
func TestKeepAliveTimeoutOfServer(t *testing.T) {
	var opened atomic.Int32

	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		opened.Add(1)

		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}

			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := newPool()

	for range 2 {
		_, err := send(t, p, addr, get("1"))
		qt.Assert(t, err, qt.IsNil)
	}

	qt.Assert(t, opened.Load(), qt.Equals, int32(2))
}

// Guards against a server that keeps working on a request after its caller's context has ended.
func TestEndOfContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = r.ReadByte()

		close(closed)
	})

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()

	_, failure := newPool().Send(ctx, addr, get("1"))
	qt.Assert(t, failure, qt.IsNotNil)
	qt.Check(t, failure.Sent, qt.IsTrue)

	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("connection is still open")
	}
}

// Guards against reporting a request as possibly run when its connection was refused.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)

	addr := ln.Addr().String()
	_ = ln.Close()

	_, failure := newPool().Send(t.Context(), addr, get("1"))
	qt.Assert(t, failure, qt.IsNotNil)
	qt.Check(t, failure.Sent, qt.IsFalse)
}
