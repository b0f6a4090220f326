// Package budget bounds the memory that a process holds on behalf of its clients. Whatever holds memory for a client
// asks the budget before it allocates.
package budget

import (
	"net"
	"sync"
)

// lowWater is the share of a bound down to which memory and connections are freed once they are short. The rest is room
// for the clients that come next.
const lowWater = 0.75

// highWater is the share of a bound above which new connections are refused, and stalled ones are closed.
const highWater = 0.875

// Budget is the memory that all clients together may hold. A nil Budget has no bound and counts nothing.
type Budget struct {
	// total is the bound on all clients and share that on each; 0 means no bound.
	total, share int64
	// short receives a value when memory or connections are short.
	short chan struct{}

	mu sync.Mutex
	// closing is the part of held that belongs to connections that were closed for lack of memory.
	held, closing int64
	refused       int64
	// wanted is the largest number of bytes for which there was no room since the last search for stalled connections.
	wanted  int64
	clients map[string]*client
	// conns are the connections of the listeners by the address of the client with its port.
	conns map[string]*Conn
}

// client is what a client address holds. Its fields have the meaning of those of Budget.
type client struct {
	held, closing int64
	wanted        int64
	// uses is the number of accounts and connections.
	uses int
}

// New returns a Budget of total bytes, of which one client address may hold the fraction clientShare. A total of 0
// means no bound.
func New(total int64, clientShare float64) *Budget {
	return &Budget{
		total: total, share: int64(float64(total) * clientShare), short: make(chan struct{}, 1),
		clients: map[string]*client{}, conns: map[string]*Conn{},
	}
}

// Open returns an account of a client, which is an IP address with or without a port. With the port, what the account
// holds also counts as held by the client's connection.
func (b *Budget) Open(addr string) *Account {
	if b == nil {
		return nil
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	name := host(addr)

	return &Account{budget: b, name: name, client: b.useLocked(name), conn: b.conns[addr]}
}

// host returns an address without its port.
func host(addr string) string {
	if h, _, err := net.SplitHostPort(addr); err == nil {
		return h
	}

	return addr
}

// useLocked returns the client with a name, which stays known until unuseLocked.
func (b *Budget) useLocked(name string) *client {
	c := b.clients[name]
	if c == nil {
		c = &client{}
		b.clients[name] = c
	}

	c.uses++

	return c
}

func (b *Budget) unuseLocked(name string, c *client) {
	if c.uses--; c.uses == 0 {
		delete(b.clients, name)
	}
}

// Held returns the bytes that all clients hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.held
}

// Refused returns how often there was no room.
func (b *Budget) Refused() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	return b.refused
}

// fitsLocked reports whether a client may hold n more bytes. If there is no room, it records what is wanted.
func (b *Budget) fitsLocked(c *client, n int64) bool {
	if b.total == 0 {
		return true
	}

	inTotal, inShare := b.held+n <= b.total, c.held+n <= b.share
	if inTotal && inShare {
		return true
	}

	b.refused++

	// Nothing needs to be freed for what never fits.
	if n <= b.share {
		if !inTotal {
			b.wanted = max(b.wanted, n)
		}

		if !inShare {
			c.wanted = max(c.wanted, n)
		}

		b.signal()
	}

	return false
}

// admits reports whether a new connection is accepted. It is refused before there is no room left, so that the rest is
// for the requests on open connections.
func (b *Budget) admits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.total == 0 || float64(b.held) <= highWater*float64(b.total) {
		return true
	}

	b.refused++
	b.wanted = max(b.wanted, 1)
	b.signal()

	return false
}

// signal wakes the listeners that free memory and connections.
func (b *Budget) signal() {
	select {
	case b.short <- struct{}{}:
	default:
	}
}

// Account is what one connection or request holds. Its methods may be called concurrently. A nil Account has no bound.
type Account struct {
	budget *Budget
	name   string
	client *client
	// conn is the client's connection; nil if it is not known.
	conn *Conn
	// held and closed are guarded by budget.mu.
	held   int64
	closed bool
}

// Take reserves n bytes and reports whether there is room for them.
func (a *Account) Take(n int64) bool {
	if a == nil {
		return true
	}

	b := a.budget

	b.mu.Lock()
	defer b.mu.Unlock()

	if n < 0 || a.closed {
		return false
	}

	if !b.fitsLocked(a.client, n) {
		return false
	}

	a.addLocked(n)

	return true
}

// Release returns n bytes that Take reserved.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}

	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()

	if !a.closed {
		a.addLocked(-min(n, a.held))
	}
}

// Close returns all bytes. Afterwards Take reserves nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}

	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()

	if a.closed {
		return
	}

	a.addLocked(-a.held)
	a.closed = true
	a.budget.unuseLocked(a.name, a.client)
}

func (a *Account) addLocked(n int64) {
	a.held += n
	a.client.held += n
	a.budget.held += n

	if a.conn == nil {
		return
	}

	a.conn.held += n

	if a.conn.evicted {
		a.client.closing += n
		a.budget.closing += n
	}
}
