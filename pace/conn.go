package pace

import (
	"context"
	"net"
	"slices"
	"syscall"
)

// datagramHead is the size of a datagram's own headers in bytes.
const datagramHead = 28

// Dial opens a connection to an address.
type Dial = func(ctx context.Context, addr string) (net.Conn, error)

// Dialer returns a dialer whose connections count what they send. Connections to local addresses, which
// don't go over the link, are left as they are.
func (l *Link) Dialer(dial Dial, local ...string) Dial {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}

		if slices.Contains(local, addr) {
			return c, nil
		}

		return l.counted(c), nil
	}
}

// Listener returns a listener whose connections count what they send.
func (l *Link) Listener(ln net.Listener) net.Listener {
	return listener{Listener: ln, link: l}
}

// Packets returns a port that counts the packets that it sends.
func (l *Link) Packets(p net.PacketConn) net.PacketConn {
	return packets{PacketConn: p, link: l}
}

type listener struct {
	net.Listener

	link *Link
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return l.link.counted(c), nil
}

// conn counts what is written to a connection.
type conn struct {
	net.Conn

	link *Link
}

// Write writes to the connection.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.Note(int64(n))

	return n, err
}

// socket is a conn whose socket can be reached.
type socket struct {
	conn
	syscall.Conn
}

// counted returns a connection that counts what it sends.
func (l *Link) counted(c net.Conn) net.Conn {
	plain := conn{Conn: c, link: l}
	if sc, ok := c.(syscall.Conn); ok {
		return socket{conn: plain, Conn: sc}
	}

	return plain
}

type packets struct {
	net.PacketConn

	link *Link
}

// WriteTo sends a packet.
func (p packets) WriteTo(b []byte, to net.Addr) (int, error) {
	n, err := p.PacketConn.WriteTo(b, to)
	p.link.Note(int64(n + datagramHead))

	return n, err
}
