package conns

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	spar "sardinespar.example/spar"
)

const (
	// idleMargin is how long before a server's idle limit a connection is no longer used: if the server closes
	// it while a request is being sent, it is unknown whether the request has run.
	idleMargin spar.Millis = 1500
	// maxStaleResponses bounds the responses to earlier requests that are skipped on a connection.
	maxStaleResponses = 4
	// inlineBodyBytes is the size up to which a body is sent before the response is read. Longer bodies are sent
	// while the response is read.
	inlineBodyBytes = 2 << 10
	writerBytes     = 4 << 10
)

// Options configure a Pool.
type Options struct {
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept if the server sends no Keep-Alive timeout.
	IdleTimeout spar.Millis
}

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Pool sends requests and keeps idle connections by address.
type Pool struct {
	dial    Dialer
	clock   spar.Clock
	opts    Options
	writers sync.Pool

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty pool.
func New(dial Dialer, clock spar.Clock, opts Options) *Pool {
	p := &Pool{dial: dial, clock: clock, opts: opts, idle: map[string][]*conn{}}
	p.writers.New = func() any { return bufio.NewWriterSize(nil, writerBytes) }

	return p
}

// Request is a request to send.
type Request struct {
	Method string
	// URI is the path and query as received.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Match returns how a response with this header relates to the request; nil accepts any response.
	Match func(http.Header) Match
	// Check returns an error if a response that may be that to the request is not valid; nil accepts any response. The
	// request fails with that error.
	Check func(*http.Response) error
	// BodyGrace is how long after the deadline of the request the body of a response may still be read whose header has
	// arrived before.
	BodyGrace spar.Millis
	// OwnConn sends the request over a new connection, which carries no other request.
	OwnConn bool
}

// Match is the relation of a response to a request.
type Match int

const (
	// MatchOther means that the response belongs to another request.
	MatchOther Match = iota
	// MatchUnmarked means that the response names no request. It is accepted only as the first one on a connection,
	// since on a later one it may be a second copy of an earlier response.
	MatchUnmarked
	// MatchOwn means that the response belongs to the request.
	MatchOwn
)

// RequireID returns the relation of a response with an id to the request with the id want. A response without an id
// belongs to another request.
func RequireID(id, want string) Match {
	if id == want {
		return MatchOwn
	}

	return MatchOther
}

// MatchID returns the relation of a response with an id, which may be empty, to the request with the id want.
func MatchID(id, want string) Match {
	switch id {
	case want:
		return MatchOwn
	case "":
		return MatchUnmarked
	default:
		return MatchOther
	}
}

// SendError describes how a request failed.
type SendError struct {
	// Sent is true if bytes of the request may have reached the server.
	Sent bool
	// Reused is true if the connection had carried an earlier request.
	Reused bool
	Err    error
}

// Error returns the cause and whether the request may have been sent.
func (e *SendError) Error() string {
	return fmt.Sprintf("sent=%t reused=%t: %v", e.Sent, e.Reused, e.Err)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Err
}

// ErrInvalid is returned for a response whose header is complete, but not valid. Its connection was not broken.
var ErrInvalid = errors.New("invalid response")

// errStale is returned if a connection delivers only responses to earlier requests.
var errStale = errors.New("answers belong to other requests")

// Send sends a request and returns the response once its header has arrived. The caller must close the body.
// The connection is closed when ctx ends.
func (p *Pool) Send(ctx context.Context, addr string, req Request) (*http.Response, *SendError) {
	c, err := p.get(ctx, addr, req.OwnConn)
	if err != nil {
		return nil, &SendError{Err: err}
	}

	reused := c.answered
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(sent bool, err error) (*http.Response, *SendError) {
		stop()
		_ = c.Close()

		if ctx.Err() != nil {
			err = ctx.Err()
		}

		return nil, &SendError{Sent: sent, Reused: reused, Err: err}
	}

	if ctx.Err() != nil {
		return fail(false, ctx.Err())
	}

	up := &upload{conn: c, done: make(chan struct{})}
	if len(req.Body) <= inlineBodyBytes {
		if up.err = p.write(c, req); up.err != nil {
			return fail(true, up.err)
		}

		close(up.done)
	} else {
		go up.run(p, req)
	}

	resp, err := readMatching(c, req)
	if err != nil {
		return fail(true, err)
	}

	if req.BodyGrace > 0 && stop() {
		stop = context.AfterFunc(ctx, func() { p.closeLate(ctx, c, req.BodyGrace) })
	}

	resp.Body = &body{ReadCloser: resp.Body, pool: p, conn: c, resp: resp, up: up, stop: stop, ownConn: req.OwnConn}

	return resp, nil
}

// closeLate closes a connection whose request has ended: after a time if its deadline has passed, and at once if it was
// canceled.
func (p *Pool) closeLate(ctx context.Context, c *conn, after spar.Millis) {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		p.clock.Sleep(context.WithoutCancel(ctx), after)
	}

	_ = c.Close()
}

// readMatching reads the response to a request and skips those to earlier requests.
func readMatching(c *conn, req Request) (*http.Response, error) {
	for range maxStaleResponses {
		resp, err := readResponse(c, req.Method)
		if err != nil {
			return nil, err
		}

		first := !c.answered
		c.answered = true

		if accepted, err := accepts(req, resp, first); accepted || err != nil {
			return resp, err
		}

		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes))
		if err != nil || resp.Close || n == maxStaleBytes {
			return nil, errStale
		}
	}

	return nil, errStale
}

// accepts reports whether a response is that to a request. first is true for the first one on a connection. The error
// means that the response may be that to the request, but is not valid.
func accepts(req Request, resp *http.Response, first bool) (bool, error) {
	match := MatchOwn
	if req.Match != nil {
		match = req.Match(resp.Header)
	}

	if match == MatchOther {
		return false, nil
	}

	if req.Check != nil {
		if err := req.Check(resp); err != nil {
			return false, fmt.Errorf("%w with status %d: %w", ErrInvalid, resp.StatusCode, err)
		}
	}

	return match == MatchOwn || first, nil
}

// maxStatus is the highest valid status.
const maxStatus = 599

// readResponse reads the next final response and skips interim ones. A response with an invalid status, which failing
// servers send, is an error: it says nothing about the request, and where it ends is not certain.
func readResponse(c *conn, method string) (*http.Response, error) {
	c.limiter.limit(maxHeaderBytes)
	defer c.limiter.unlimit()

	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}

		switch {
		case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus:
			return nil, fmt.Errorf("%w: status %q", ErrInvalid, resp.Status)
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("%w: it switches protocols", ErrInvalid)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
}

// write sends a request over a connection.
func (p *Pool) write(c *conn, req Request) error {
	w, _ := p.writers.Get().(*bufio.Writer)
	w.Reset(c)

	defer func() {
		w.Reset(nil)
		p.writers.Put(w)
	}()

	_, _ = w.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")

	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}

	if err := req.Header.Write(w); err != nil {
		return fmt.Errorf("write header: %w", err)
	}

	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(req.Body)

	if err := w.Flush(); err != nil {
		return fmt.Errorf("write request: %w", err)
	}

	return nil
}

// get returns an idle connection that is still usable, or a new one. With ownConn it always opens one.
func (p *Pool) get(ctx context.Context, addr string, ownConn bool) (*conn, error) {
	for !ownConn {
		c := p.pop(addr)
		if c == nil {
			break
		}

		if p.clock.Now() < c.idleUntil && c.usable() {
			return c, nil
		}

		_ = c.Close()
	}

	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}

	return newConn(raw, addr), nil
}

// pop removes and returns the most recently used idle connection to an address, or nil.
func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}

	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]

	return c
}

// put returns a connection to the pool for the time that the server keeps it, or closes it.
func (p *Pool) put(c *conn, keep spar.Millis) {
	c.idleUntil = p.clock.Now() + keep - idleMargin

	p.mu.Lock()
	defer p.mu.Unlock()

	if keep <= idleMargin || len(p.idle[c.addr]) >= p.opts.MaxIdle {
		_ = c.Close()

		return
	}

	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()

	for _, c := range list {
		_ = c.Close()
	}
}
