package fault

import (
	"context"
	"net"
	"sync"
	"time"
)

// windowChunks bounds the chunks under way on one stream, as a TCP window does.
const (
	windowChunks = 256
	chunkBytes   = 32 << 10
)

// listener accepts the connections dialed to one address.
type listener struct {
	net   *Net
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

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
	l.stop()

	l.net.mu.Lock()
	defer l.net.mu.Unlock()

	if l.net.listeners[l.addr] == l {
		delete(l.net.listeners, l.addr)
	}

	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.addr) }

func (l *listener) stop() {
	l.once.Do(func() { close(l.done) })
}

// connect makes a connection from a host to the listener at addr.
func (n *Net) connect(ctx context.Context, from, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	to := hostOf(addr)

	if !n.awaitThaw(ctx, from) || !n.awaitPath(ctx, from, to) || !n.awaitPath(ctx, to, from) ||
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

	n.stream(from, to, near, far)
	n.stream(to, from, far, near)

	return client, nil
}

// chunk is bytes with their time of arrival; no bytes mean that the sender closed the connection. A
// held chunk was written while the sender was frozen, and counts as written when it runs again.
type chunk struct {
	data   []byte
	arrive time.Time
	held   bool
}

// stream carries bytes one way.
type stream struct {
	net      *Net
	from, to string
	src, dst net.Conn
	queue    chan chunk
	ctx      context.Context //nolint:containedctx // it ends with the stream.
	stop     context.CancelFunc
}

func (n *Net) stream(from, to string, src, dst net.Conn) {
	ctx, stop := context.WithCancel(n.ctx)
	s := &stream{
		net: n, from: from, to: to, src: src, dst: dst, queue: make(chan chunk, windowChunks), ctx: ctx, stop: stop,
	}

	n.mu.Lock()
	n.streams[s] = true
	n.mu.Unlock()

	go s.run()
	go s.loop()
}

func (s *stream) close() {
	s.stop()

	_ = s.src.Close()
	_ = s.dst.Close()

	s.net.mu.Lock()
	defer s.net.mu.Unlock()

	delete(s.net.streams, s)
}

// run takes what the sender writes, even from a frozen one: a blocked write would keep jsonrpc2's
// mutex, and virtual time stands still while a goroutine waits for a mutex.
func (s *stream) run() {
	for {
		data := make([]byte, chunkBytes)
		k, err := s.src.Read(data)

		if k > 0 && !s.put(chunk{data: data[:k]}) {
			return
		}

		if err != nil {
			s.put(chunk{})

			return
		}
	}
}

func (s *stream) put(c chunk) bool {
	c.arrive = time.Now().Add(s.net.delay(s.from, s.to))
	c.held = s.net.isFrozen(s.from)

	select {
	case s.queue <- c:
		return true
	case <-s.ctx.Done():
		return false
	}
}

// loop delivers what was taken, in order.
func (s *stream) loop() {
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

		if !sleep(s.ctx, time.Until(c.arrive)) || !s.net.awaitPath(s.ctx, s.from, s.to) || len(c.data) == 0 {
			return
		}

		if _, err := s.dst.Write(c.data); err != nil {
			return
		}
	}
}
