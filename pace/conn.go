package pace

import (
	"context"
	"net"
	"slices"
	"syscall"
)

// datagramHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const datagramHeaderBytes = 28

// Dial opens a connection to an address.
type Dial = func(ctx context.Context, addr string) (net.Conn, error)

// Dialer wraps dial so that its connections record the bytes that they send on the link. Connections to the
// local addresses, which don't use the link, are not wrapped.
func (l *Link) Dialer(dial Dial, local ...string) Dial {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}

		if slices.Contains(local, addr) {
			return c, nil
		}

		return l.countingConn(c), nil
	}
}

// Listener wraps ln so that its connections record the bytes that they send on the link.
func (l *Link) Listener(ln net.Listener) net.Listener {
	return listener{Listener: ln, link: l}
}

// PacketConn wraps p so that it records the packets that it sends on the link.
func (l *Link) PacketConn(p net.PacketConn) net.PacketConn {
	return packetConn{PacketConn: p, link: l}
}

type listener struct {
	net.Listener

	link *Link
}

// Accept waits for the next connection and wraps it.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return l.link.countingConn(c), nil
}

// conn is a connection that records the bytes that it sends.
type conn struct {
	net.Conn

	link *Link
}

// Write writes to the connection and records the written bytes.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.Record(int64(n))

	return n, err
}

// socket is a conn that also gives access to its file descriptor.
type socket struct {
	conn
	syscall.Conn
}

// countingConn wraps c so that it records the bytes that it sends. The result is a syscall.Conn if c is one.
func (l *Link) countingConn(c net.Conn) net.Conn {
	plain := conn{Conn: c, link: l}
	if sc, ok := c.(syscall.Conn); ok {
		return socket{conn: plain, Conn: sc}
	}

	return plain
}

type packetConn struct {
	net.PacketConn

	link *Link
}

// WriteTo sends a packet and records its size with headers.
func (p packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(b, to)
	p.link.Record(int64(n + datagramHeaderBytes))

	return n, err
}
