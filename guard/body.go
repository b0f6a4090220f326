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
	// maxBufferedBytes is the size up to which an answer is read completely before the caller gets its first byte.
	maxBufferedBytes = 64 << 10
	chunkBytes       = 32 << 10
	// maxChunksAhead is the number of chunks of a longer answer that are read ahead of a slow caller.
	maxChunksAhead = 32
	// maxMemoryBytes limits the memory that all answers to slow callers may take together. Beyond it, answers
	// are passed on at the caller's speed and keep their permit.
	maxMemoryBytes = 64 << 20
)

// memoryBudget counts the bytes that are reserved for answers to slow callers.
type memoryBudget struct {
	used atomic.Int64
}

// reserve reserves n bytes, or returns false if the limit would be exceeded.
func (m *memoryBudget) reserve(n int64) bool {
	if m.used.Add(n) > maxMemoryBytes {
		m.used.Add(-n)

		return false
	}

	return true
}

func (m *memoryBudget) release(n int64) {
	m.used.Add(-n)
}

// detachBody replaces the response's body by one that is read at the backend server's speed, so that a slow caller
// doesn't hold a permit. cancel cancels the call, and release returns the permit.
func (g *Guard) detachBody(resp *http.Response, cancel func(), release func(ok bool)) error {
	switch n := resp.ContentLength; {
	case n >= 0 && n <= maxBufferedBytes && g.memory.reserve(n):
		return g.bufferBody(resp, n, release)
	case g.memory.reserve(chunkBytes * maxChunksAhead):
		p := &readAhead{
			body: resp.Body, cancel: cancel, release: release, chunks: make(chan []byte, maxChunksAhead),
			stop: make(chan struct{}), done: make(chan struct{}),
		}
		resp.Body = onClose(p, func() { g.memory.release(chunkBytes * maxChunksAhead) })

		go p.loop()
	default:
		resp.Body = onClose(resp.Body, func() { release(true) })
	}

	return nil
}

// bufferBody reads a body of n bytes into memory and releases the permit.
func (g *Guard) bufferBody(resp *http.Response, n int64, release func(ok bool)) error {
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()

	release(err == nil)

	if err != nil {
		g.memory.release(n)

		return err
	}

	resp.Body = onClose(io.NopCloser(bytes.NewReader(data)), func() { g.memory.release(n) })

	return nil
}

// readAhead is a body that is read from the backend server ahead of the caller.
type readAhead struct {
	body    io.ReadCloser
	cancel  func()
	release func(ok bool)
	chunks  chan []byte
	// stop is closed when the caller closes the body, and done after the permit has been released.
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	pending []byte
	// err is the error that ended the body. It is set before chunks is closed.
	err error
}

func (p *readAhead) loop() {
	defer close(p.done)

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

	// A disconnected caller is not a failure of the backend server.
	p.release(errors.Is(p.err, io.EOF) || p.stopped())
	close(p.chunks)
}

func (p *readAhead) stopped() bool {
	select {
	case <-p.stop:
		return true
	default:
		return false
	}
}

func (p *readAhead) Read(b []byte) (int, error) {
	for len(p.pending) == 0 {
		chunk, ok := <-p.chunks
		if !ok {
			return 0, p.err
		}

		p.pending = chunk
	}

	n := copy(b, p.pending)
	p.pending = p.pending[n:]

	return n, nil
}

// Close stops reading and waits until the permit has been released.
func (p *readAhead) Close() error {
	p.once.Do(func() {
		close(p.stop)
		p.cancel()
	})
	<-p.done

	return nil
}
