package guard

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// wholeBytes bounds the answers that are read before the caller gets the first byte.
	wholeBytes = 64 << 10
	chunkBytes = 32 << 10
	// chunkCount chunks of a longer answer are read ahead of a slow caller.
	chunkCount = 32
	// memoryBytes bounds what all answers hold for slow callers; beyond it, answers go through at
	// the caller's speed and keep their permit.
	memoryBytes = 64 << 20
)

// memory counts the bytes that may be held for slow callers.
type memory struct {
	used atomic.Int64
}

func (m *memory) take(n int64) bool {
	if m.used.Add(n) > memoryBytes {
		m.used.Add(-n)

		return false
	}

	return true
}

func (m *memory) give(n int64) {
	m.used.Add(-n)
}

// unload replaces the response's body by one that reads from the backend server at its own speed,
// so that a slow caller doesn't hold a permit. Cancel ends the call, end gives the permit back.
func (g *Guard) unload(resp *http.Response, cancel func(), end func(ok bool)) error {
	switch n := resp.ContentLength; {
	case n >= 0 && n <= wholeBytes && g.memory.take(n):
		return g.whole(resp, n, end)
	case g.memory.take(chunkBytes * chunkCount):
		p := &pump{
			body: resp.Body, cancel: cancel, end: end, chunks: make(chan []byte, chunkCount),
			stop: make(chan struct{}), ended: make(chan struct{}),
		}
		resp.Body = onClose(p, func() { g.memory.give(chunkBytes * chunkCount) })

		go p.loop()
	default:
		resp.Body = onClose(resp.Body, func() { end(true) })
	}

	return nil
}

func (g *Guard) whole(resp *http.Response, n int64, end func(ok bool)) error {
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()

	end(err == nil)

	if err != nil {
		g.memory.give(n)

		return err
	}

	resp.Body = onClose(io.NopCloser(bytes.NewReader(data)), func() { g.memory.give(n) })

	return nil
}

// pump reads a body ahead of its reader.
type pump struct {
	body   io.ReadCloser
	cancel func()
	end    func(ok bool)
	chunks chan []byte
	stop   chan struct{}
	ended  chan struct{}
	once   sync.Once
	rest   []byte
	// err is how the body ended; it is set before chunks is closed.
	err error
}

func (p *pump) loop() {
	defer close(p.ended)

	for p.err == nil {
		chunk := make([]byte, chunkBytes)

		n, err := p.body.Read(chunk)
		p.err = err

		if n == 0 {
			continue
		}

		select {
		case p.chunks <- chunk[:n]:
		case <-p.stop:
			p.err = io.ErrClosedPipe
		}
	}

	_ = p.body.Close()

	// A caller that went away says nothing about the backend server.
	p.end(errors.Is(p.err, io.EOF) || p.stopped())
	close(p.chunks)
}

func (p *pump) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

func (p *pump) Read(b []byte) (int, error) {
	for len(p.rest) == 0 {
		chunk, ok := <-p.chunks
		if !ok {
			return 0, p.err
		}

		p.rest = chunk
	}

	n := copy(b, p.rest)
	p.rest = p.rest[n:]

	return n, nil
}

// Close ends the reading and waits until the permit was given back.
func (p *pump) Close() error {
	p.once.Do(func() {
		close(p.stop)
		p.cancel()
	})
	<-p.ended

	return nil
}
