package conns_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// sendStatus sends a request to a server that answers with a status line, and then with a valid response on the same
// connection. It returns the status of the response that was accepted, or 0 if there was none, and whether the
// connection was closed.
func sendStatus(t *testing.T, line string) (status int, closed bool) {
	t.Helper()

	ended := make(chan struct{})
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer close(ended)

		if _, err := http.ReadRequest(r); err != nil {
			return
		}

		_, _ = io.WriteString(c, line+"\r\nId: 1\r\nContent-Length: 0\r\n\r\n"+response("1", "second"))
		_, _ = r.ReadByte()
	})

	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	resp, failure := newPool().Send(ctx, addr, get("1"))
	if failure == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	} else {
		qt.Check(t, failure.Sent, qt.IsTrue)
		qt.Check(t, ctx.Err(), qt.IsNil, qt.Commentf("request failed only at its deadline"))
	}

	select {
	case <-ended:
		return status, true
	case <-time.After(time.Second):
		return status, false
	}
}

// Guards against an invalid status that is passed on to a client, or that is taken for an interim response, so that
// what follows on the connection is taken for the response. Such a response counts as none: the request may have run.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for name, line := range map[string]string{
		"zero":              "HTTP/1.1 000 ",
		"zero, no reason":   "HTTP/1.1 000",
		"below 100":         "HTTP/1.1 099 Low",
		"with a sign":       "HTTP/1.1 +20 Sign",
		"above 599":         "HTTP/1.1 600 High",
		"highest":           "HTTP/1.1 999 High",
		"switches protocol": "HTTP/1.1 101 Switching Protocols",
		"with letters":      "HTTP/1.1 2OO OK",
		"only letters":      "HTTP/1.1 abc",
		"two digits":        "HTTP/1.1 20 OK",
		"four digits":       "HTTP/1.1 2000 OK",
		"negative":          "HTTP/1.1 -20 OK",
		"missing":           "HTTP/1.1 ",
	} {
		t.Run(name, func(t *testing.T) {
			status, closed := sendStatus(t, line)
			qt.Check(t, status, qt.Equals, 0)
			qt.Check(t, closed, qt.IsTrue)
		})
	}
}

// Guards against an interim response after which the server ends the connection, and which is taken for the response.
func TestInterimStatusIsNoFinalResponse(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 100 Continue", "HTTP/1.1 102", "HTTP/1.1 150 X", "HTTP/1.1 199 X"} {
		addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, line+"\r\nId: 1\r\n\r\n")
			}
		})

		_, err := send(t, newPool(), addr, get("1"))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(line))
	}
}

// Guards against refusing a response without a reason phrase, which is legal, or with the lowest or highest status.
func TestValidStatusIsAccepted(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 503": 503, "HTTP/1.1 599 X": 599, "HTTP/1.1 299 X": 299,
	} {
		status, _ := sendStatus(t, line)
		qt.Check(t, status, qt.Equals, want, qt.Commentf(line))
	}
}
