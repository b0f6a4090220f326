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

// writeEndless writes a message without end and returns how many bytes the peer accepted.
func writeEndless(c net.Conn, prefix string) int {
	const limit = 32 << 20

	chunk := make([]byte, 64<<10)
	for i := range chunk {
		chunk[i] = 'x'
	}

	sent, err := io.WriteString(c, prefix)

	for err == nil && sent < limit {
		var n int

		n, err = c.Write(chunk)
		sent += n
	}

	return sent
}

// maxAccepted is the maximum number of bytes of an endless message that a node may accept: the limit and a buffer.
const maxAccepted = 9 << 20

// Guards against exhausting memory on a peer's endless reply.
func TestEndlessReplyIsCutOff(t *testing.T) {
	near, far := net.Pipe()
	accepted := make(chan int, 1)

	go func() {
		buf := make([]byte, 4096)
		_, _ = far.Read(buf)
		accepted <- writeEndless(far, `{"jsonrpc":"2.0","id":0,"result":"`)
	}()

	pool := peers.NewPool(func(context.Context, string) (net.Conn, error) { return near, nil }, &peers.Traffic{})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()

	var reply string

	qt.Check(t, pool.Call(ctx, "a", "m", struct{}{}, &reply), qt.IsNotNil)
	qt.Check(t, ctx.Err(), qt.IsNil)
	qt.Check(t, <-accepted < maxAccepted, qt.IsTrue)
}

// Guards against exhausting memory on a peer's endless call.
func TestEndlessCallIsCutOff(t *testing.T) {
	ln := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)

	go func() { served <- peers.NewServer(peers.NewMux(), &peers.Traffic{}).Serve(ctx, ln) }()

	near, err := ln.dial(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, writeEndless(near, `{"jsonrpc":"2.0","id":0,"method":"`) < maxAccepted, qt.IsTrue)
	cancel()
	qt.Check(t, <-served, qt.IsNil)
}
