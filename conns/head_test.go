package conns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a response whose server stopped within its header, at any byte, and that looks like a complete
// response with an empty or short body.
func TestHeaderCutAtAnyByteFails(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\nwhole answer",
		"chunks":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: 1\r\n\r\n5\r\nwhole\r\n0\r\nX: y\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nab",
		"empty":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n",
		"no body": "HTTP/1.1 204 No Content\r\nId: 1\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			for n := range len(text) {
				addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}

					_, _ = io.WriteString(c, text[:n])

					if reset {
						time.Sleep(time.Millisecond)

						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})

				body, err := send(t, newPool(), addr, get("1"))
				qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s, reset=%t: %q gave body %q", name, reset, text[:n], body))
			}
		}
	}
}
