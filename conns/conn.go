// Package conns sends HTTP requests over persistent connections, one at a time on each, and reports whether a
// failed request may have reached the server. It never retries a request.
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

	"golang.org/x/sys/unix"

	spar "sardinespar.example/spar"
)

// readerBytes is the size of a connection's read buffer.
const readerBytes = 4 << 10

const (
	// maxHeaderBytes bounds the header of a response together with its interim responses. Otherwise a faulty
	// server that sends bytes without end could fill the memory before the request's deadline.
	maxHeaderBytes = 64 << 10
	// maxStaleBytes bounds the body of a skipped response to an earlier request.
	maxStaleBytes = 1 << 20
)

// errHeaderTooLong is returned for a response whose header does not end within maxHeaderBytes.
var errHeaderTooLong = errors.New("header of the answer is too long")

// limitedConn is a connection with a limit on the bytes that are read as a header.
type limitedConn struct {
	net.Conn

	limited   bool
	remaining int
}

// Read reads from the connection as far as the limit allows.
func (l *limitedConn) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Conn.Read(p)
	}

	if l.remaining <= 0 {
		return 0, errHeaderTooLong
	}

	n, err := l.Conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n

	return n, err
}

// limit allows n more bytes to be read until unlimit is called.
func (l *limitedConn) limit(n int) { l.limited, l.remaining = true, n }

func (l *limitedConn) unlimit() { l.limited = false }

// conn is one connection to a server.
type conn struct {
	net.Conn

	addr string
	// limiter is the source of r.
	limiter *limitedConn
	r       *bufio.Reader
	// idleUntil is the time until which the idle connection may be reused.
	idleUntil spar.Millis
	// answered is true if a response has been read on this connection.
	answered bool
}

func newConn(c net.Conn, addr string) *conn {
	limiter := &limitedConn{Conn: c}

	return &conn{Conn: c, addr: addr, limiter: limiter, r: bufio.NewReaderSize(limiter, readerBytes)}
}

// usable reports whether an idle connection is still open and has received no bytes. Bytes that have already
// arrived can't be the response to a request that is yet to be sent.
func (c *conn) usable() bool {
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

	empty := false
	err = raw.Read(func(fd uintptr) bool {
		_, e := peek(fd)
		empty = errors.Is(e, syscall.EAGAIN)

		return true
	})

	return err == nil && empty
}

// wasReset reports whether the peer has reset the connection. A socket returns the error of a reset from one call only,
// which may have been any. After that it still fails to send, even nothing, while a connection whose peer has merely
// ended its side can be sent to.
func (c *conn) wasReset() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}

	var sendErr error

	err = raw.Control(func(fd uintptr) {
		sendErr = unix.Send(int(fd), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	})

	return err != nil || errors.Is(sendErr, unix.EPIPE) || errors.Is(sendErr, unix.ECONNRESET)
}

// keepAlive returns how long a server keeps an idle connection after a response, according to its Keep-Alive
// header.
func keepAlive(h http.Header, fallback spar.Millis) spar.Millis {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return spar.MillisOf(time.Duration(n) * time.Second)
		}
	}

	return fallback
}
