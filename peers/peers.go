// Package peers provides jsonrpc2 calls between the system's own processes.
package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"
)

// Dialer opens a connection to a peer's address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Mux maps methods to their handlers.
type Mux struct {
	handlers map[string]func(context.Context, json.RawMessage) (any, error)
}

// NewMux returns a mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: map[string]func(context.Context, json.RawMessage) (any, error){}}
}

// Handle registers f as the handler of a method. It must not be called once a server uses the mux.
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

// Server answers calls of peers, with one goroutine for each connection.
type Server struct {
	mux     *Mux
	traffic *Traffic
	clock   LogicalClock
	wg      sync.WaitGroup
}

// NewServer returns a server for the methods of mux that counts its bytes in traffic.
func NewServer(mux *Mux, traffic *Traffic) *Server {
	return &Server{mux: mux, traffic: traffic}
}

// Serve accepts connections until ctx ends, and then waits until all are closed.
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

// run serves one connection until it is closed or ctx ends.
func (s *Server) run(ctx context.Context, conn net.Conn) {
	objects := newStream(s.traffic.Conn(conn))
	rpc := jsonrpc2.NewConn(ctx, objects, jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.mux.handle)),
		connOptions(s.clock)...)

	select {
	case <-ctx.Done():
	case <-rpc.DisconnectNotify():
	}

	_ = rpc.Close()
}

// Caller calls a method of a peer.
type Caller interface {
	Call(ctx context.Context, addr, method string, params, result any) error
}

var _ Caller = (*Pool)(nil)
