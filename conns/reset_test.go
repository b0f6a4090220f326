package conns_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/conns"
)

// earlyResponse is a response without a length that a server sends before it has read the request's body.
const earlyResponse = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart"

// put returns a request with a body.
func put(size int) conns.Request {
	return conns.Request{
		Method: http.MethodPut, URI: "/a", Host: "h", Header: http.Header{"Id": {"1"}}, Body: bytes.Repeat([]byte("b"), size),
	}
}

// exchange sends a request with a body and reads the response to its end.
func exchange(t *testing.T, addr string, size int) (string, error) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()

	resp, failure := newPool().Send(ctx, addr, put(size))
	if failure != nil {
		return "", failure
	}
	defer resp.Body.Close()

	text, err := io.ReadAll(resp.Body)

	return string(text), err
}

// Guards against a part of a response that is taken for all of it, if the server resets the connection while the
// request is still being sent: the writer learns of the reset, and the reader only of the end.
func TestResetWhileSendingCutsResponse(t *testing.T) {
	const exchanges = 20

	for _, size := range []int{1 << 10, 64 << 10, 1 << 20, 8 << 20} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d KiB, reset after %v", size>>10, pause), func(t *testing.T) {
				addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}

					_, _ = io.WriteString(c, earlyResponse)
					time.Sleep(pause)

					if tcp, ok := c.(*net.TCPConn); ok {
						_ = tcp.SetLinger(0)
					}

					_ = c.Close()
				})

				whole := 0

				for range exchanges {
					if text, err := exchange(t, addr, size); err == nil {
						whole++

						qt.Check(t, text, qt.Equals, "part")
					}
				}

				qt.Check(t, whole, qt.Equals, 0, qt.Commentf("of %d responses", exchanges))
			})
		}
	}
}

// Guards against whole responses that are given up, or held until the request's deadline, because the server sends them
// early and ends them in order: while it reads on, and without reading any more.
func TestEarlyResponseIsWhole(t *testing.T) {
	for name, reads := range map[string]bool{"server reads on": true, "server reads no more": false} {
		t.Run(name, func(t *testing.T) {
			received := make(chan int64, 1)
			addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}

				_, _ = io.WriteString(c, earlyResponse)

				if tcp, ok := c.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}

				if !reads {
					time.Sleep(2 * time.Second)

					return
				}

				n, _ := io.Copy(io.Discard, r)
				received <- n
			})

			start := time.Now()
			text, err := exchange(t, addr, 8<<20)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, text, qt.Equals, "part")
			qt.Check(t, time.Since(start) < time.Second, qt.IsTrue)

			if reads {
				<-received
			}
		})
	}
}

// Guards against a test server whose reset is no reset: without a long request the reader itself learns of it.
func TestResetIsSeenByReader(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}

		_, _ = io.WriteString(c, earlyResponse)
		time.Sleep(5 * time.Millisecond)

		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})

	_, err := exchange(t, addr, 100)
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, errors.Is(err, context.DeadlineExceeded), qt.IsFalse)
}
