package peers

import (
	"errors"
	"net"

	"github.com/sourcegraph/jsonrpc2"
)

// mostMessageBytes bounds a message of a peer. Bytes without end would otherwise fill the memory.
const mostMessageBytes = 8 << 20

// errLongMessage says that a message has no end within mostMessageBytes.
var errLongMessage = errors.New("message of a peer is too long")

// stream reads and writes messages of bounded length.
type stream struct {
	jsonrpc2.ObjectStream

	in *allowance
}

func newStream(c net.Conn) stream {
	in := &allowance{Conn: c}

	return stream{ObjectStream: jsonrpc2.NewPlainObjectStream(in), in: in}
}

// ReadObject reads the next message.
func (s stream) ReadObject(v any) error {
	s.in.left = mostMessageBytes

	return s.ObjectStream.ReadObject(v)
}

// allowance is a connection from which a number of bytes may be read.
type allowance struct {
	net.Conn

	left int
}

// Read reads what is left.
func (a *allowance) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, errLongMessage
	}

	n, err := a.Conn.Read(p[:min(len(p), a.left)])
	a.left -= n

	return n, err
}
