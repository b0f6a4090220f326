package peers_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/peers"
)

// endless writes a message without end and returns how many bytes were taken.
func endless(c net.Conn, first string) int {
	const most = 32 << 20

	chunk := make([]byte, 64<<10)
	for i := range chunk {
		chunk[i] = 'x'
	}

	sent, err := io.WriteString(c, first)

	for err == nil && sent < most {
		var n int

		n, err = c.Write(chunk)
		sent += n
	}

	return sent
}

// mostTaken is the most that a node may take of a message without end: the bound and a buffer.
const mostTaken = 9 << 20

// Guards against a peer whose answer has no end and fills the memory.
func TestAnswerOfPeerWithoutEnd(t *testing.T) {
	near, far := net.Pipe()
	taken := make(chan int, 1)

	go func() {
		buf := make([]byte, 4096)
		_, _ = far.Read(buf)
		taken <- endless(far, `{"jsonrpc":"2.0","id":0,"result":"`)
	}()

	pool := peers.NewPool(func(context.Context, string) (net.Conn, error) { return near, nil }, &peers.Traffic{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	var reply string

	qt.Check(t, pool.Call(ctx, "a", "m", struct{}{}, &reply), qt.IsNotNil)
	qt.Check(t, ctx.Err(), qt.IsNil)
	qt.Check(t, <-taken < mostTaken, qt.IsTrue)
}

// Guards against a peer whose call has no end and fills the memory.
func TestCallOfPeerWithoutEnd(t *testing.T) {
	ln := &pipes{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)

	go func() { served <- peers.NewServer(peers.NewMux(), &peers.Traffic{}).Serve(ctx, ln) }()

	near, err := ln.dial(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, endless(near, `{"jsonrpc":"2.0","id":0,"method":"`) < mostTaken, qt.IsTrue)
	cancel()
	qt.Check(t, <-served, qt.IsNil)
}
