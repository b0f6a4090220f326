package server

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	defaultTemplateBytes = 256 << 10
	maxTemplateBytes     = 256 << 20
)

// serveTemplate sends a file whose content and strong ETag depend only on path and size, so that they are
// the same on every upstream.
func (s *Server) serveTemplate(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.URL.Query().Get("size"), 10, 64)
	if err != nil || size < 1 || size > maxTemplateBytes {
		size = defaultTemplateBytes
	}

	w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprintf("%s-%d", r.URL.Path, size)))
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, &template{size: size, delay: s.cfg.ChunkDelay})
}

// TemplateByte returns the byte of a template at an offset.
func TemplateByte(offset int64) byte {
	return byte(offset*31 + offset>>8)
}

// template is a generated file whose reads are delayed.
type template struct {
	size   int64
	offset int64
	delay  time.Duration
}

func (t *template) Read(p []byte) (int, error) {
	if t.offset >= t.size {
		return 0, io.EOF
	}

	time.Sleep(t.delay)

	n := min(int64(len(p)), t.size-t.offset, chunkBytes)
	for i := range n {
		p[i] = TemplateByte(t.offset + i)
	}

	t.offset += n

	return int(n), nil
}

func (t *template) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekStart:
		t.offset = offset
	case io.SeekCurrent:
		t.offset += offset
	case io.SeekEnd:
		t.offset = t.size + offset
	}

	return t.offset, nil
}
