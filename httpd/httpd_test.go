package httpd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/httpd"
	"sardinespar.example/spar/tally"
)

// settings are the defaults of the relay's settings.
var settings = httpd.Settings{
	PipelineDepth: 16, PipelineBytes: 64 << 10, HeadBytes: 32 << 10, HeadTimeout: 10_000, IdleTimeout: 60_000,
	BodyRate: 1024, MaxBodyBytes: 8 << 20,
}

// start serves a handler over a socket and returns the address.
func start(t testing.TB, cfg httpd.Settings, h http.HandlerFunc) string {
	t.Helper()

	return startWith(t, cfg, httpd.Deps{Handler: h})
}

func startWith(t testing.TB, cfg httpd.Settings, deps httpd.Deps) string {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)

	deps.Clock, deps.Log = spar.RuntimeClock(), log.New(io.Discard)
	if deps.Tally == nil {
		deps.Tally = tally.New()
	}

	s := httpd.New(cfg, deps)
	done := make(chan error, 1)

	go func() { done <- s.Serve(ln) }()

	t.Cleanup(func() {
		qt.Check(t, s.Close(), qt.IsNil)
		qt.Check(t, <-done, qt.Equals, http.ErrServerClosed)
	})

	return ln.Addr().String()
}

// client is a connection that a test writes to as it is.
type client struct {
	t testing.TB
	net.Conn
	r *bufio.Reader
}

func dial(t testing.TB, addr string) *client {
	t.Helper()

	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })

	return newClient(t, c)
}

func newClient(t testing.TB, c net.Conn) *client {
	return &client{t: t, Conn: c, r: bufio.NewReader(c)}
}

func (c *client) send(format string, args ...any) {
	c.t.Helper()

	_, err := fmt.Fprintf(c, strings.ReplaceAll(format, "\n", "\r\n"), args...)
	qt.Assert(c.t, err, qt.IsNil)
}

// get sends a GET request for each path, all in one write.
func (c *client) get(paths ...string) {
	c.t.Helper()

	var b strings.Builder
	for _, p := range paths {
		b.WriteString("GET " + p + " HTTP/1.1\nHost: a\n\n")
	}

	c.send("%s", strings.ReplaceAll(b.String(), "\n", "\r\n"))
}

// answer reads a response to a method and returns it with its body.
func (c *client) answer(method string) (*http.Response, string) {
	c.t.Helper()

	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	qt.Assert(c.t, err, qt.IsNil)

	b, err := io.ReadAll(resp.Body)
	qt.Assert(c.t, err, qt.IsNil)

	return resp, string(b)
}

// ended reads the end of the connection.
func (c *client) ended() {
	c.t.Helper()

	b, err := io.ReadAll(c.r)
	qt.Assert(c.t, string(b), qt.Equals, "")
	qt.Assert(c.t, err, qt.IsNil)
}
