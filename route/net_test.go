package route_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	spar "sardinespar.example/spar"
)

var errRefused = errors.New("connection refused")

// network connects addresses by pipes.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	net   *network
	addr  string
	queue chan net.Conn
	conns []net.Conn
	once  sync.Once
	done  chan struct{}
}

func (n *network) listen(addr string) *listener {
	l := &listener{net: n, addr: addr, queue: make(chan net.Conn), done: make(chan struct{})}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.listeners[addr] = l

	return l
}

func (n *network) dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()

	if l == nil {
		return nil, errRefused
	}

	near, far := net.Pipe()

	select {
	case l.queue <- far:
		n.mu.Lock()
		l.conns = append(l.conns, near, far)
		n.mu.Unlock()

		return near, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close refuses connections from now on and breaks those that are open.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)

		l.net.mu.Lock()
		defer l.net.mu.Unlock()

		delete(l.net.listeners, l.addr)

		for _, conn := range l.conns {
			_ = conn.Close()
		}
	})

	return nil
}

func (l *listener) Addr() net.Addr { return &net.IPAddr{} }

func (n *network) transport() *http.Transport {
	return &http.Transport{
		DisableCompression: true,
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			return n.dial(ctx, addr)
		},
	}
}

// crossing gives nodes the answer to another request where a request asks for it.
type crossing struct {
	http.RoundTripper
}

func (c crossing) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := c.RoundTripper.RoundTrip(r)
	if err == nil && r.Header.Get("X-Fault") == "cross hop" {
		_ = resp.Body.Close()
		resp.Header.Set(spar.HeaderRequest, "another")
		resp.Body = io.NopCloser(strings.NewReader("another"))
		resp.Header.Del("Content-Length")
	}

	return resp, err
}
