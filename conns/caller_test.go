package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/conns"
)

// Guards against running a request whose caller closed the connection before the request was read. This occurs
// on a VM that gets no processor time for a while.
func TestCallerClosed(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)

	begin, result := make(chan struct{}), make(chan bool)
	server := &http.Server{
		ReadHeaderTimeout: time.Second, ConnContext: conns.WithConn,
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			<-begin
			result <- conns.CallerClosed(r.Context())
		}),
	}

	go func() { _ = server.Serve(ln) }()

	t.Cleanup(func() { _ = server.Close() })

	for _, closed := range []bool{false, true} {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)

		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		c.Assert(err, qt.IsNil)

		if closed {
			c.Assert(conn.Close(), qt.IsNil)
			time.Sleep(10 * time.Millisecond)
		}

		begin <- struct{}{}

		c.Assert(<-result, qt.Equals, closed)

		_ = conn.Close()
	}

	c.Assert(conns.CallerClosed(context.Background()), qt.IsFalse)
}
