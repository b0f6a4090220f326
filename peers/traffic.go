package peers

import (
	"maps"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic counts the calls and bytes of control connections.
type Traffic struct {
	sent     atomic.Int64
	received atomic.Int64

	mu    sync.Mutex
	calls map[string]int64
}

// Calls returns the number of calls made so far by method and result, such as "lease.renew ok".
func (t *Traffic) Calls() map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()

	return maps.Clone(t.calls)
}

func (t *Traffic) countCall(method string, err error) {
	result := " ok"
	if err != nil {
		result = " failed"
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.calls == nil {
		t.calls = map[string]int64{}
	}

	t.calls[method+result]++
}

// Sent returns the number of bytes sent so far.
func (t *Traffic) Sent() int64 {
	return t.sent.Load()
}

// Received returns the number of bytes received so far.
func (t *Traffic) Received() int64 {
	return t.received.Load()
}

// Conn wraps conn so that its bytes are counted.
func (t *Traffic) Conn(conn net.Conn) net.Conn {
	return countedConn{Conn: conn, traffic: t}
}

type countedConn struct {
	net.Conn

	traffic *Traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))

	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))

	return n, err
}
