package fault

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxQueuedChunks limits the chunks in flight on one stream, as a TCP window does.
const (
	maxQueuedChunks = 256
	chunkBytes      = 32 << 10
)

// listener accepts the connections to one address.
type listener struct {
	net   *Net
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// address is an address of the fault network.
type address string

// Network returns the name of the fake network.
func (a address) Network() string { return "fault" }

// String returns the address.
func (a address) String() string { return string(a) }

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close stops listening.
func (l *listener) Close() error {
	l.shut()

	l.net.mu.Lock()
	defer l.net.mu.Unlock()

	if l.net.listeners[l.addr] == l {
		delete(l.net.listeners, l.addr)
	}

	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.addr) }

func (l *listener) shut() {
	l.once.Do(func() { close(l.done) })
}

// connect opens a connection from a host to the listener at addr.
func (n *Net) connect(ctx context.Context, from, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	to := hostOf(addr)

	if !n.awaitThaw(ctx, from) || !n.awaitLink(ctx, from, to) || !n.awaitLink(ctx, to, from) ||
		!sleep(ctx, n.delay(from, to)+n.delay(to, from)) {
		return nil, errTimeout
	}

	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()

	if l == nil {
		return nil, errRefused
	}

	client, near := net.Pipe()
	server, far := net.Pipe()

	select {
	case l.conns <- server:
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, errTimeout
	}

	n.startStream(from, to, near, far)
	n.startStream(to, from, far, near)

	return client, nil
}

// chunk is a piece of a stream with its time of arrival. A chunk without data means that the sender closed the
// connection. A held chunk was written while the sender was frozen, and counts as written when the sender
// resumes.
type chunk struct {
	data    []byte
	arrival time.Time
	held    bool
}

// stream carries the bytes of a connection in one direction.
type stream struct {
	net      *Net
	from, to string
	src, dst net.Conn
	queue    chan chunk
	ctx      context.Context //nolint:containedctx // it ends with the stream.
	stop     context.CancelFunc
}

// startStream starts to copy bytes from src to dst with the faults of the link between two hosts.
func (n *Net) startStream(from, to string, src, dst net.Conn) {
	ctx, stop := context.WithCancel(n.ctx)
	s := &stream{
		net: n, from: from, to: to, src: src, dst: dst, queue: make(chan chunk, maxQueuedChunks), ctx: ctx, stop: stop,
	}

	n.mu.Lock()
	n.streams[s] = true
	n.mu.Unlock()

	go s.runRead()
	go s.loopWrite()
}

func (s *stream) close() {
	s.stop()

	_ = s.src.Close()
	_ = s.dst.Close()

	s.net.mu.Lock()
	defer s.net.mu.Unlock()

	delete(s.net.streams, s)
}

// runRead reads what the sender writes, even while it is frozen: a blocked write would keep jsonrpc2's mutex
// locked, and virtual time doesn't advance while a goroutine waits for a mutex.
func (s *stream) runRead() {
	for {
		data := make([]byte, chunkBytes)
		k, err := s.src.Read(data)

		if k > 0 && !s.enqueue(chunk{data: data[:k]}) {
			return
		}

		if err != nil {
			s.enqueue(chunk{})

			return
		}
	}
}

// enqueue adds a chunk to the queue. It returns false if the stream ends first.
func (s *stream) enqueue(c chunk) bool {
	c.arrival = time.Now().Add(s.net.delay(s.from, s.to))
	c.held = s.net.isFrozen(s.from)

	select {
	case s.queue <- c:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// loopWrite writes the queued chunks to the receiver in order, each at its time of arrival.
func (s *stream) loopWrite() {
	defer s.close()

	for {
		var c chunk

		select {
		case c = <-s.queue:
		case <-s.ctx.Done():
			return
		}

		if c.held && (!s.net.awaitThaw(s.ctx, s.from) || !sleep(s.ctx, s.net.delay(s.from, s.to))) {
			return
		}

		if !sleep(s.ctx, time.Until(c.arrival)) || !s.net.awaitLink(s.ctx, s.from, s.to) || len(c.data) == 0 {
			return
		}

		if _, err := s.dst.Write(c.data); err != nil {
			return
		}
	}
}
