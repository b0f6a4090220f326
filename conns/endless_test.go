package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against running out of memory when a faulty server sends bytes without end that are no valid response.
// The request must fail well before its deadline.
func TestEndlessResponseFails(t *testing.T) {
	const deadline = 10 * time.Second

	for name, tt := range map[string]struct{ first, again string }{
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("O", 4096)},
		"no response":       {"", strings.Repeat("\x00\xff", 2048)},
		"header line":       {"HTTP/1.1 200 OK\r\nId: 1\r\nX: ", strings.Repeat("x", 4096)},
		"header lines":      {"HTTP/1.1 200 OK\r\nId: 1\r\n", strings.Repeat("X: y\r\n", 600)},
		"interim responses": {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)},
		"other's response":  {"HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", strings.Repeat("x", 4096)},
		"other's chunks":    {"HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = r.ReadString('\n')
				_, err := io.WriteString(c, tt.first)

				for end := time.Now().Add(deadline); err == nil && time.Now().Before(end); {
					_, err = io.WriteString(c, tt.again)
				}
			})

			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()

			resp, failure := newPool().Send(ctx, addr, get("1"))
			if resp != nil {
				_ = resp.Body.Close()
			}

			qt.Assert(t, failure != nil, qt.IsTrue)
			qt.Check(t, failure.Sent, qt.IsTrue)
			qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("request failed only at its deadline"))
		})
	}
}

// Guards against running out of memory on a body without end: it is passed on as it arrives, and its connection
// is closed together with the body.
func TestEndlessBodyStopsOnClose(t *testing.T) {
	closed := make(chan struct{})
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n")

		for err == nil {
			_, err = io.WriteString(c, strings.Repeat("x", 4096))
		}

		close(closed)
	})

	resp, failure := newPool().Send(t.Context(), addr, get("1"))
	qt.Assert(t, failure == nil, qt.IsTrue)

	_, err := io.CopyN(io.Discard, resp.Body, 1<<20)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, resp.Body.Close(), qt.IsNil)

	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("connection is still open")
	}
}
