// Package conns sends HTTP requests over kept connections, one at a time on each, and tells whether a
// request may have reached the other side. It never sends a request twice.
package conns

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	spar "sardinespar.example/spar"
)

// readerBytes is the size of a connection's read buffer.
const readerBytes = 4 << 10

// conn is one connection to a server.
type conn struct {
	net.Conn

	addr string
	r    *bufio.Reader
	// idleUntil ends the time for which the server keeps the idle connection.
	idleUntil spar.Millis
	// used says that a request was answered on this connection before.
	used bool
}

func newConn(c net.Conn, addr string) *conn {
	return &conn{Conn: c, addr: addr, r: bufio.NewReaderSize(c, readerBytes)}
}

// quiet reports whether nothing has come on an idle connection, neither bytes nor its end. An answer
// that arrives now belongs to no request to come.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}

	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}

	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, e := peek(fd)
		quiet = errors.Is(e, syscall.EAGAIN)

		return true
	})

	return err == nil && quiet
}

// keepFor returns how long a server keeps an idle connection after an answer.
func keepFor(h http.Header, usual spar.Millis) spar.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return spar.MillisOf(time.Duration(n) * time.Second)
		}
	}

	return usual
}
