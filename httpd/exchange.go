package httpd

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
)

// requestContext is the context of a request, which Serialize finds the exchange in.
type requestContext struct {
	context.Context //nolint:containedctx // It is a context itself.

	x *exchange
}

// Value returns the exchange, or a value of the connection's context.
func (r *requestContext) Value(key any) any {
	if key == (exchangeKey{}) {
		return r.x
	}

	return r.Context.Value(key)
}

// exchange is a request with its response. It is the http.ResponseWriter of the handler.
type exchange struct {
	conn   *conn
	req    *http.Request
	ctx    requestContext
	cancel context.CancelFunc
	body   *body
	// size counts against the connection's limit of requests in flight, and held against the memory budget.
	size int
	held int64
	// alone is true if the request must not run while others of its connection do.
	alone bool

	// turn is true once all earlier requests have been answered.
	turn atomic.Bool
	// seq, wake and done are guarded by the connection's mu. wake is closed when the turn begins, and done is true
	// once the response is complete.
	seq  int
	wake chan struct{}
	done bool

	response
}

func newExchange(c *conn, req *http.Request) *exchange {
	x := &exchange{conn: c}
	x.x = x
	x.ctx.x = x
	x.ctx.Context, x.cancel = context.WithCancel(c.ctx)

	if req != nil {
		x.req = req.WithContext(&x.ctx)
	}

	return x
}

// run runs the handler and completes the response.
func (x *exchange) run() {
	x.serve()
	x.cancel()

	if x.body != nil {
		x.body.done()
	}

	x.conn.complete(x)
}

// serve runs the handler. A response whose handler panics is aborted.
func (x *exchange) serve() {
	defer func() {
		switch v := recover(); v {
		case nil:
		case http.ErrAbortHandler:
			x.abort()
		default:
			x.conn.server.deps.Log.Error("handler panicked", "cause", v, "stack", string(debug.Stack()))
			x.abort()
		}
	}()

	// As in net/http, the server answers a request about itself.
	if x.req.Method == http.MethodOptions && x.req.RequestURI == "*" {
		x.Header()["Content-Length"] = []string{"0"}
	} else {
		x.conn.server.deps.Handler.ServeHTTP(x, x.req)
	}

	x.finish()
}

// abort drops what is not sent of the response and lets the connection end in its place.
func (x *exchange) abort() {
	x.aborted = true
	x.conn.closeAfter(x)
}

// http11 reports whether the client understands HTTP/1.1.
func (x *exchange) http11() bool {
	return x.req == nil || x.req.ProtoAtLeast(1, 1)
}
