package httpd

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// errWouldBlock is returned by a direct read if no bytes have arrived.
var errWouldBlock = errors.New("no bytes have arrived")

// source reads a connection's bytes for its bufio.Reader.
type source struct {
	nc net.Conn
	// raw is nil if the connection is not a socket.
	raw syscall.RawConn
	// pending are bytes that have been read before and that a larger reader takes over.
	pending []byte
	// direct is true while Read must not block, and fd the descriptor of the socket then.
	direct bool
	fd     int

	// reader is nil while the connection has no unread bytes, so that an idle connection holds no buffer.
	reader *bufio.Reader
	pools  pools

	// tryFill and tryWatch are method values, which are kept so that a wait does not allocate them.
	tryFill, tryWatch func(uintptr) bool
	fillErr           error
	hungUp            bool
}

// open binds the source to a connection.
func (s *source) open(nc net.Conn, p pools) {
	s.nc, s.pools = nc, p
	s.tryFill, s.tryWatch = s.fillDirect, s.watchDirect

	if sc, ok := nc.(syscall.Conn); ok {
		s.raw, _ = sc.SyscallConn()
	}
}

// Read reads from the connection.
func (s *source) Read(p []byte) (int, error) {
	if len(s.pending) > 0 {
		n := copy(p, s.pending)
		s.pending = s.pending[n:]

		return n, nil
	}

	if !s.direct {
		return s.nc.Read(p)
	}

	for {
		n, err := syscall.Read(s.fd, p)

		switch {
		case errors.Is(err, syscall.EINTR):
		case errors.Is(err, syscall.EAGAIN):
			return 0, errWouldBlock
		case err != nil:
			return 0, os.NewSyscallError("read", err)
		case n == 0:
			return 0, io.EOF
		default:
			return n, nil
		}
	}
}

// buffered returns the bytes that have arrived and are not read.
func (s *source) buffered() []byte {
	if s.reader == nil {
		return nil
	}

	b, _ := s.reader.Peek(s.reader.Buffered())

	return b
}

// await waits until there are unread bytes. The buffer returns to the pool during the wait.
func (s *source) await() error {
	if s.reader != nil && s.reader.Buffered() > 0 {
		return nil
	}

	if s.raw == nil {
		s.acquire()

		_, err := s.reader.Peek(1)

		return err
	}

	s.release()

	if err := s.raw.Read(s.tryFill); err != nil {
		return err
	}

	return s.fillErr
}

// fillDirect reads what has arrived. It reports whether the wait is over.
func (s *source) fillDirect(fd uintptr) bool {
	s.acquire()

	s.fd, s.direct = int(fd), true
	_, s.fillErr = s.reader.Peek(1)
	s.direct = false

	if errors.Is(s.fillErr, errWouldBlock) {
		s.release()

		return false
	}

	return true
}

// more waits for a byte after those that are buffered.
func (s *source) more() error {
	_, err := s.reader.Peek(s.reader.Buffered() + 1)

	return err
}

// full reports whether the buffer has no room for another byte.
func (s *source) full() bool {
	return s.reader.Buffered() == s.reader.Size()
}

// grow replaces the reader by one with a larger buffer. The reader takes over the unread bytes.
func (s *source) grow(size int) {
	s.pending = bytes.Clone(s.buffered())
	s.release()
	s.reader = bufio.NewReaderSize(s, size)
	_, _ = s.reader.Peek(len(s.pending))
}

// acquire gets a reader if there is none.
func (s *source) acquire() {
	if s.reader == nil {
		s.reader, _ = s.pools.readers.Get().(*bufio.Reader)
		s.reader.Reset(s)
	}
}

// release drops the reader.
func (s *source) release() {
	if s.reader == nil {
		return
	}

	if s.reader.Size() == readerBytes {
		s.reader.Reset(nil)
		s.pools.readers.Put(s.reader)
	}

	s.reader = nil
}

// watch waits until the client closes the connection, without reading from it, or until the read deadline. It reports
// whether the client has closed the connection.
func (s *source) watch() bool {
	s.hungUp = false

	err := s.raw.Read(s.tryWatch)

	return s.hungUp || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// watchDirect reports whether the client has closed the connection. The runtime calls it again after each event of
// the socket.
func (s *source) watchDirect(fd uintptr) bool {
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}

	n, err := unix.Poll(fds[:], 0)
	s.hungUp = err == nil && n > 0

	return s.hungUp
}
