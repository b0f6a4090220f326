package peers

import (
	"errors"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes is the largest accepted message of a peer. An endless message would otherwise exhaust memory.
const maxMessageBytes = 8 << 20

// errMessageTooLong is returned for a message of more than maxMessageBytes.
var errMessageTooLong = errors.New("message of a peer exceeds the size limit")

// stream reads and writes messages and limits the length of those that it reads.
type stream struct {
	jsonrpc2.ObjectStream

	conn *limitedConn
}

func newStream(c net.Conn) stream {
	in := &limitedConn{Conn: c}

	return stream{ObjectStream: jsonrpc2.NewPlainObjectStream(in), conn: in}
}

// ReadObject reads the next message.
func (s stream) ReadObject(v any) error {
	s.conn.remaining = maxMessageBytes

	return s.ObjectStream.ReadObject(v)
}

// limitedConn is a connection from which only the remaining number of bytes may be read.
type limitedConn struct {
	net.Conn

	remaining int
}

// Read reads at most the remaining bytes.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errMessageTooLong
	}

	n, err := c.Conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n

	return n, err
}
