// Package httpd is an HTTP/1.1 server that serves the pipelined requests of a connection concurrently and sends the
// responses in the order of the requests.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/tally"
)

const (
	// maxIdleWorkers bounds the goroutines that wait for a request. Their stacks have grown already, which a new
	// goroutine would have to repeat for each request.
	maxIdleWorkers = 16
	// minAcceptDelay and maxAcceptDelay bound the time until the next attempt to accept a connection, for example if
	// the process has no more descriptors.
	minAcceptDelay spar.Millis = 5
	maxAcceptDelay spar.Millis = 1000
)

// Settings are the limits of a Server.
type Settings struct {
	// PipelineDepth bounds the requests of one connection that are in flight. PipelineBytes bounds the bytes of their
	// heads and bodies; a longer request is served alone.
	PipelineDepth int
	PipelineBytes int
	// HeadBytes and HeadLines bound the head of a request; 0 lines means no limit.
	HeadBytes int
	HeadLines int
	// HeadTimeout is the longest time from the first byte of a head to its end.
	HeadTimeout spar.Millis
	// IdleTimeout is how long a connection without requests is kept.
	IdleTimeout spar.Millis
	// BodyRate is the lowest rate of a body in bytes per second; 0 means no limit.
	BodyRate int
	// MaxBodyBytes is the longest body that the handler holds in memory.
	MaxBodyBytes int64
}

// Budget bounds the memory of all connections.
type Budget interface {
	// Open returns the account of a new connection of a client, which is identified by its IP address.
	Open(client string) Account
}

// Account counts the memory that one connection holds.
type Account interface {
	// Take reserves n bytes and reports whether there is room for them.
	Take(n int64) bool
	// Release returns n bytes that Take reserved.
	Release(n int64)
	// Close returns all bytes.
	Close()
}

// Deps are the dependencies of a Server.
type Deps struct {
	Clock   spar.Clock
	Handler http.Handler
	Log     *log.Logger
	Tally   *tally.Tally
	// Budget may be nil, which means no bound.
	Budget Budget
}

// Server serves HTTP/1.1 connections.
type Server struct {
	cfg   Settings
	deps  Deps
	pools pools
	date  dateCache

	// work hands a request to an idle worker.
	work        chan *exchange
	idleWorkers atomic.Int32
	// quit is closed by Close.
	quit chan struct{}

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[*conn]struct{}
}

// New returns a Server; Serve runs it.
func New(cfg Settings, deps Deps) *Server {
	return &Server{
		cfg: cfg, deps: deps, pools: newPools(), work: make(chan *exchange), quit: make(chan struct{}),
		listeners: map[net.Listener]struct{}{}, conns: map[*conn]struct{}{},
	}
}

// Serve accepts connections and serves each in its own goroutine. It returns http.ErrServerClosed after Close.
func (s *Server) Serve(ln net.Listener) error {
	if !s.addListener(ln) {
		_ = ln.Close()

		return http.ErrServerClosed
	}

	delay := minAcceptDelay

	for {
		nc, err := ln.Accept()
		if err == nil {
			delay = minAcceptDelay

			s.open(nc)

			continue
		}

		select {
		case <-s.quit:
			return http.ErrServerClosed
		default:
		}

		if !passing(err) {
			return fmt.Errorf("accept: %w", err)
		}

		s.deps.Log.Error("cannot accept a connection", "cause", err)
		s.pause(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}

// passing reports whether the cause of a failed Accept may pass.
func passing(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ECONNABORTED, syscall.ECONNRESET,
		syscall.EINTR,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}

	return false
}

// pause waits for d, or until the server is closed.
func (s *Server) pause(d spar.Millis) {
	t := s.deps.Clock.Timer(d)
	defer t.Stop()

	select {
	case <-t.C:
	case <-s.quit:
	}
}

// Close closes the listeners and all connections. It does not wait for the handlers.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.closed {
		return nil
	}

	s.closed = true
	close(s.quit)

	var failures []error

	for ln := range s.listeners {
		failures = append(failures, ln.Close())
	}

	for c := range s.conns {
		c.fail()
	}

	return errors.Join(failures...)
}

func (s *Server) addListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.closed {
		s.listeners[ln] = struct{}{}
	}

	return !s.closed
}

// open starts to serve a connection, or closes it if its memory is refused.
func (s *Server) open(nc net.Conn) {
	var account Account = unbounded{}

	if s.deps.Budget != nil {
		client, _, err := net.SplitHostPort(nc.RemoteAddr().String())
		if err != nil {
			client = nc.RemoteAddr().String()
		}

		account = s.deps.Budget.Open(client)
	}

	if !account.Take(connBytes) {
		s.deps.Tally.Count("spar_client_refused_connections_total")
		account.Close()

		_ = nc.Close()

		return
	}

	c := newConn(s, nc, account)

	s.mu.Lock()
	closed := s.closed
	s.conns[c] = struct{}{}
	s.mu.Unlock()

	if closed {
		_ = nc.Close()
	}

	s.deps.Tally.Count("spar_client_connections_opened_total")

	go c.run()
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()

	s.deps.Tally.Count("spar_client_connections_closed_total")
}

// start runs a request in an idle worker, or in a new one if there is none.
func (s *Server) start(x *exchange) {
	select {
	case s.work <- x:
	default:
		go s.loop(x)
	}
}

// loop is a worker: it runs one request after another.
func (s *Server) loop(x *exchange) {
	for {
		x.run()

		if s.idleWorkers.Add(1) > maxIdleWorkers {
			s.idleWorkers.Add(-1)

			return
		}

		select {
		case x = <-s.work:
			s.idleWorkers.Add(-1)
		case <-s.quit:
			return
		}
	}
}

// unbounded is the account of a connection without a budget.
type unbounded struct{}

// Take accepts all bytes.
func (unbounded) Take(int64) bool { return true }

// Release does nothing.
func (unbounded) Release(int64) {}

// Close does nothing.
func (unbounded) Close() {}

// dateCache holds the value of the header Date, which changes once a second.
type dateCache struct {
	last atomic.Pointer[dateValue]
}

type dateValue struct {
	unix int64
	text string
}

// now returns the value of the header Date.
func (d *dateCache) now() string {
	now := time.Now()

	if last := d.last.Load(); last != nil && last.unix == now.Unix() {
		return last.text
	}

	v := &dateValue{unix: now.Unix(), text: now.UTC().Format(http.TimeFormat)}
	d.last.Store(v)

	return v.text
}

// exchangeKey is the key of the exchange in the context of its request.
type exchangeKey struct{}

// Pipelined reports whether the client of a request sends requests on its connection before earlier ones are answered.
// Its responses then wait for those before them.
func Pipelined(ctx context.Context) bool {
	x, _ := ctx.Value(exchangeKey{}).(*exchange)

	return x != nil && x.conn.pipelined.Load()
}

// errClosing is returned by Serialize if the connection closes before the request's turn.
var errClosing = errors.New("connection closes before the request")

// Serialize waits until all earlier requests of the connection have been answered. It returns an error if the
// connection closes, which includes a response that closes it, or if ctx ends. The context of a request that another
// server reads has no earlier requests.
func Serialize(ctx context.Context) error {
	x, _ := ctx.Value(exchangeKey{}).(*exchange)
	if x == nil {
		return nil
	}

	return x.awaitTurn(ctx)
}
