package conns

import (
	"context"
	"errors"
	"net"
	"syscall"
)

type connKey struct{}

// WithConn returns ctx with the connection of a caller, for an http.Server's ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Left reports whether the caller whose connection ctx has closed it. The server itself notices this
// only after a handler has begun, which is too late for a request that waited unread.
func Left(ctx context.Context) bool {
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

	left := false
	err = raw.Control(func(fd uintptr) { left = ended(fd) })

	return left || err != nil
}

// ended reports whether a socket has nothing to read but its end.
func ended(fd uintptr) bool {
	n, err := peek(fd)

	return err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
}

// peek looks for a byte without taking it.
func peek(fd uintptr) (int, error) {
	var one [1]byte

	n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)

	return n, err
}
