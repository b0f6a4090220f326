// Package peers carries jsonrpc2 messages between the system's own processes.
package peers

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Dialer opens a connection to a peer's address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Mux finds the handler of a method.
type Mux struct {
	handlers map[string]func(context.Context, json.RawMessage) (any, error)
}

// NewMux returns a mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: map[string]func(context.Context, json.RawMessage) (any, error){}}
}

// Handle registers f for a method. It must not be called once the mux serves.
func Handle[P, R any](m *Mux, method string, f func(context.Context, P) (R, error)) {
	m.handlers[method] = func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}

		return f(ctx, params)
	}
}

func (m *Mux) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	h, ok := m.handlers[r.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}

	params := json.RawMessage("null")
	if r.Params != nil {
		params = *r.Params
	}

	return h(ctx, params)
}

// Server answers peers' calls, with one task for each connection.
type Server struct {
	mux   *Mux
	count *Traffic
	stamp Stamper
	wg    sync.WaitGroup
}

// NewServer returns a server of the mux's methods.
func NewServer(mux *Mux, count *Traffic) *Server {
	return &Server{mux: mux, count: count}
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	defer s.wg.Wait()

	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}

			return fmt.Errorf("accept peer connection: %w", err)
		}

		s.wg.Go(func() { s.run(ctx, conn) })
	}
}

func (s *Server) run(ctx context.Context, conn net.Conn) {
	stream := jsonrpc2.NewPlainObjectStream(s.count.Conn(conn))
	rpc := jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.mux.handle)),
		stamped(s.stamp)...)

	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}

	_ = rpc.Close()
}

// Pool keeps one connection for each peer address and calls methods over it.
type Pool struct {
	dial  Dialer
	count *Traffic
	stamp Stamper

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial Dialer, count *Traffic) *Pool {
	return &Pool{dial: dial, count: count, conns: map[string]*jsonrpc2.Conn{}}
}

// Call calls a method of the peer at addr and decodes the result.
func (p *Pool) Call(ctx context.Context, addr, method string, params, result any) error {
	err := p.call(ctx, addr, method, params, result)
	p.count.called(method, err)

	return err
}

func (p *Pool) call(ctx context.Context, addr, method string, params, result any) error {
	conn, err := p.conn(ctx, addr)
	if err != nil {
		return err
	}

	err = conn.Call(ctx, method, params, result)

	var remote *jsonrpc2.Error
	if err != nil && !errors.As(err, &remote) {
		p.drop(addr, conn)
	}

	if err != nil {
		return fmt.Errorf("call %s of %s: %w", method, addr, err)
	}

	return nil
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for addr, conn := range p.conns {
		_ = conn.Close()
		delete(p.conns, addr)
	}
}

func (p *Pool) conn(ctx context.Context, addr string) (*jsonrpc2.Conn, error) {
	p.mu.Lock()
	conn, ok := p.conns[addr]
	p.mu.Unlock()

	if ok {
		return conn, nil
	}

	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}

	stream := jsonrpc2.NewPlainObjectStream(p.count.Conn(raw))
	fresh := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, noCalls{}, stamped(p.stamp)...)

	p.mu.Lock()
	defer p.mu.Unlock()

	if conn, ok := p.conns[addr]; ok {
		_ = fresh.Close()

		return conn, nil
	}

	p.conns[addr] = fresh

	return fresh, nil
}

// drop forgets a connection. A call that timed out drops it too: after a cut that loses packets
// without closing, a new connection finds the peer sooner than the old one does.
func (p *Pool) drop(addr string, conn *jsonrpc2.Conn) {
	p.mu.Lock()
	if p.conns[addr] == conn {
		delete(p.conns, addr)
	}
	p.mu.Unlock()

	_ = conn.Close()
}

type noCalls struct{}

func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
}

var _ Caller = (*Pool)(nil)
