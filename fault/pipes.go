package fault

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// maxIdleConns limits the idle HTTP connections to one address.
const maxIdleConns = 64

// PipeNet connects dialers to listeners by address over net.Pipe, without sockets. It runs in virtual time inside a
// testing/synctest bubble.
type PipeNet struct {
	mu        sync.Mutex
	listeners map[string]*PipeListener
}

// PipeListener accepts the connections to its address.
type PipeListener struct {
	addr   string
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu   sync.Mutex
	open []net.Conn
}

// NewPipeNet returns a network without listeners.
func NewPipeNet() *PipeNet {
	return &PipeNet{listeners: map[string]*PipeListener{}}
}

// Listen returns a new listener at an address, which replaces an earlier one there.
func (p *PipeNet) Listen(addr string) *PipeListener {
	l := &PipeListener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}

	p.mu.Lock()
	defer p.mu.Unlock()

	p.listeners[addr] = l

	return l
}

// Dial connects to the listener at an address.
func (p *PipeNet) Dial(ctx context.Context, addr string) (net.Conn, error) {
	p.mu.Lock()
	l := p.listeners[addr]
	p.mu.Unlock()

	if l == nil {
		return nil, syscall.ECONNREFUSED
	}

	return l.dial(ctx)
}

// Transport returns an HTTP transport that dials over the pipes.
func (p *PipeNet) Transport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return p.Dial(ctx, addr) },
	}
}

func (l *PipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()

	select {
	case l.conns <- far:
		l.mu.Lock()
		defer l.mu.Unlock()

		l.open = append(l.open, near, far)

		return near, nil
	case <-l.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept returns the next connection.
func (l *PipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close stops the listener. Open connections stay open.
func (l *PipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })

	return nil
}

// Abort closes the listener and all its connections, as a crash of the process does.
func (l *PipeListener) Abort() {
	_ = l.Close()

	l.mu.Lock()
	defer l.mu.Unlock()

	for _, c := range l.open {
		_ = c.Close()
	}
}

// Addr returns the listener's address.
func (l *PipeListener) Addr() net.Addr {
	return &net.UnixAddr{Name: l.addr, Net: "pipe"}
}
