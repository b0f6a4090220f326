package conns

import (
	"context"
	"errors"
	"net"
	"syscall"
)

type connKey struct{}

// WithConn returns ctx with a caller's connection. It is used as an http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns the connection that WithConn added to ctx, or nil.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)

	return c
}

// CallerClosed reports whether the caller has closed the connection that WithConn added to ctx. An http.Server
// detects this only after the handler has started, which is too late for a request that waited unread.
func CallerClosed(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}

	c, _ := ctx.Value(connKey{}).(syscall.Conn)
	if c == nil {
		return false
	}

	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}

	closed := false
	err = raw.Control(func(fd uintptr) { closed = closedByPeer(fd) })

	return closed || err != nil
}

// closedByPeer reports whether a socket was reset, or closed by its peer with no bytes left to read.
func closedByPeer(fd uintptr) bool {
	n, err := peek(fd)

	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}

// peek reads a byte without removing it from the socket and without blocking.
func peek(fd uintptr) (int, error) {
	var one [1]byte

	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	return n, err
}
