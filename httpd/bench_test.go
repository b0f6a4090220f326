package httpd_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/httpd"
)

// server is a server under comparison.
type server interface {
	Serve(ln net.Listener) error
	Close() error
}

// servers returns the package's server and that of net/http with the same handler and limits.
func servers(h http.Handler) map[string]server {
	return map[string]server{
		"httpd": httpd.New(settings, httpd.Deps{
			Clock: spar.RuntimeClock(), Handler: h, Log: log.New(io.Discard),
		}),
		"net-http": &http.Server{
			Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10,
			ConnContext: conns.WithConn,
		},
	}
}

const benchRequest = "GET /standings/europe?page=3 HTTP/1.1\r\nHost: standings.example\r\n" +
	"Request-Id: 8f14e45fceea167a\r\nTime-Budget-Ms: 500\r\nAccept: application/json\r\nUser-Agent: client/1.0\r\n\r\n"

// shortResponse answers with 400 bytes as entry does.
func shortResponse(w http.ResponseWriter, r *http.Request) {
	if conns.CallerClosed(r.Context()) {
		panic(http.ErrAbortHandler)
	}

	h := w.Header()
	h["Content-Length"] = []string{"400"}
	h["Content-Type"] = []string{"application/json"}

	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, benchBody)
}

var benchBody = strings.Repeat("x", 400)

// connect returns a connection on which one request was answered, with the length of the response.
func connect(t testing.TB, addr string, buf []byte) (net.Conn, int) {
	t.Helper()

	c, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)

	_, err = io.WriteString(c, benchRequest)
	qt.Assert(t, err, qt.IsNil)

	n := 0
	for !strings.HasSuffix(string(buf[:n]), benchBody) {
		m, err := c.Read(buf[n:])
		qt.Assert(t, err, qt.IsNil)

		n += m
	}

	return c, n
}

// BenchmarkKeepAlive compares one request at a time on one connection, and four pipelined requests. The processor time
// includes that of the client, which is the same for both.
func BenchmarkKeepAlive(b *testing.B) {
	for name, s := range servers(http.HandlerFunc(shortResponse)) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(b, err, qt.IsNil)

		go func() { _ = s.Serve(ln) }()

		for depth, run := range map[int]string{1: "one", 4: "four"} {
			b.Run(name+"/"+run, func(b *testing.B) {
				b.ReportAllocs()

				buf := make([]byte, 16<<10)
				c, n := connect(b, ln.Addr().String(), buf)
				request := []byte(strings.Repeat(benchRequest, depth))

				before := cpu()

				for range b.N {
					_, err := c.Write(request)
					qt.Assert(b, err, qt.IsNil)
					_, err = io.ReadFull(c, buf[:n*depth])
					qt.Assert(b, err, qt.IsNil)
				}

				b.ReportMetric(float64(cpu()-before)/float64(b.N), "cpu-ns/op")

				_ = c.Close()
			})
		}

		_ = s.Close()
	}
}

// BenchmarkIdleConnection reports the memory of the process for each idle connection. The part of the client is
// that of the connections to a listener that only accepts.
func BenchmarkIdleConnection(b *testing.B) {
	const conns = 2000

	for name, s := range servers(http.HandlerFunc(shortResponse)) {
		b.Run(name, func(b *testing.B) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(b, err, qt.IsNil)

			go func() { _ = s.Serve(ln) }()

			buf := make([]byte, 16<<10)
			list := make([]net.Conn, 0, conns)
			first, _ := connect(b, ln.Addr().String(), buf)
			before := held()

			for range conns {
				c, _ := connect(b, ln.Addr().String(), buf)
				list = append(list, c)
			}

			time.Sleep(100 * time.Millisecond)
			b.ReportMetric(float64(held()-before)/conns, "B/conn")

			for _, c := range append(list, first) {
				_ = c.Close()
			}

			_ = s.Close()
		})
	}

	b.Run("client", func(b *testing.B) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(b, err, qt.IsNil)

		list := make([]net.Conn, 0, 2*conns)
		before := held()

		for range conns {
			c, err := net.Dial("tcp", ln.Addr().String())
			qt.Assert(b, err, qt.IsNil)

			far, err := ln.Accept()
			qt.Assert(b, err, qt.IsNil)

			list = append(list, c, far)
		}

		b.ReportMetric(float64(held()-before)/conns, "B/conn")

		for _, c := range list {
			_ = c.Close()
		}

		_ = ln.Close()
	})
}

// cpu returns the processor time of the process in nanoseconds, which does not depend on other processes as much as
// the elapsed time.
func cpu() int64 {
	var u syscall.Rusage

	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

	return u.Utime.Nano() + u.Stime.Nano()
}

// held returns the bytes of the heap and the stacks after a collection.
func held() int64 {
	runtime.GC()
	runtime.GC()

	var m runtime.MemStats

	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc + m.StackInuse)
}
