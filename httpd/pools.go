package httpd

import (
	"bufio"
	"sync"
)

const (
	// readerBytes is the size of a connection's read buffer, which holds most heads.
	readerBytes = 4 << 10
	// bufferBytes is the size of a response's first buffer.
	bufferBytes = 4 << 10
)

// buffer holds a part of a response.
type buffer struct {
	b []byte
}

// pools hold the buffers of connections and responses while these don't need them.
type pools struct {
	readers *sync.Pool
	buffers *sync.Pool
}

func newPools() pools {
	return pools{
		readers: &sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerBytes) }},
		buffers: &sync.Pool{New: func() any { return &buffer{b: make([]byte, 0, bufferBytes)} }},
	}
}

func (p pools) buffer() *buffer {
	b, _ := p.buffers.Get().(*buffer)

	return b
}

// putBuffer takes a buffer back, unless it has grown.
func (p pools) putBuffer(b *buffer) {
	if b == nil || cap(b.b) > bufferBytes {
		return
	}

	b.b = b.b[:0]
	p.buffers.Put(b)
}
