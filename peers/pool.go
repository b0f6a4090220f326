package peers

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	spar "sardinespar.example/spar"
)

// idleRound is the pause between two looks for idle connections. A connection without a call for
// one to two rounds is closed: pushes go to all peers now and then, and at 112 nodes the
// connections they left open took 6 MB in each node.
const idleRound spar.Millis = 10_000

// Pool keeps one connection for each peer address in use and calls methods over it.
type Pool struct {
	dial  Dialer
	count *Traffic
	stamp Stamper

	mu    sync.Mutex
	links map[string]*link
	round int64
}

// link is a connection with its calls under way and the round of the last call's end.
type link struct {
	conn  *jsonrpc2.Conn
	calls int
	round int64
}

// NewPool returns a pool that opens connections with dial.
func NewPool(dial Dialer, count *Traffic) *Pool {
	return &Pool{dial: dial, count: count, links: map[string]*link{}}
}

// Run closes idle connections until ctx ends.
func (p *Pool) Run(ctx context.Context, clock spar.Clock) {
	p.loop(ctx, clock)
}

func (p *Pool) loop(ctx context.Context, clock spar.Clock) {
	for clock.Sleep(ctx, idleRound) {
		for _, l := range p.idle() {
			_ = l.conn.Close()
		}
	}
}

// idle begins a round and removes the connections without a call in the last one.
func (p *Pool) idle() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()

	var idle []*link

	for addr, l := range p.links {
		if l.calls == 0 && l.round < p.round {
			idle = append(idle, l)
			delete(p.links, addr)
		}
	}

	p.round++

	return idle
}

// Len returns the number of open connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.links)
}

// Call calls a method of the peer at addr and decodes the result.
func (p *Pool) Call(ctx context.Context, addr, method string, params, result any) error {
	err := p.call(ctx, addr, method, params, result)
	p.count.called(method, err)

	return err
}

func (p *Pool) call(ctx context.Context, addr, method string, params, result any) error {
	l, err := p.begin(ctx, addr)
	if err != nil {
		return err
	}
	defer p.end(l)

	err = l.conn.Call(ctx, method, params, result)

	var remote *jsonrpc2.Error
	if err != nil && !errors.As(err, &remote) {
		p.drop(addr, l)
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

	for addr, l := range p.links {
		_ = l.conn.Close()
		delete(p.links, addr)
	}
}

// begin returns the connection to addr with one call more under way.
func (p *Pool) begin(ctx context.Context, addr string) (*link, error) {
	if l, ok := p.take(addr, nil); ok {
		return l, nil
	}

	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", addr, err)
	}

	messages := newStream(p.count.Conn(raw))
	fresh := jsonrpc2.NewConn(context.WithoutCancel(ctx), messages, noCalls{}, stamped(p.stamp)...)

	l, _ := p.take(addr, &link{conn: fresh})
	if l.conn != fresh {
		_ = fresh.Close()
	}

	return l, nil
}

// take counts a call in on the connection to addr, which is fresh if there is none yet.
func (p *Pool) take(addr string, fresh *link) (*link, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	l, ok := p.links[addr]
	if !ok {
		if fresh == nil {
			return nil, false
		}

		l = fresh
		p.links[addr] = l
	}

	l.calls++

	return l, true
}

func (p *Pool) end(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()

	l.calls--
	l.round = p.round
}

// drop forgets a connection. A call that timed out drops it too: after a cut that loses packets
// without closing, a new connection finds the peer sooner than the old one does.
func (p *Pool) drop(addr string, l *link) {
	p.mu.Lock()
	if p.links[addr] == l {
		delete(p.links, addr)
	}
	p.mu.Unlock()

	_ = l.conn.Close()
}

type noCalls struct{}

func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
