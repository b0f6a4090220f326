package tally_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/tally"
)

// Guards against counters that are missing from the text, and latencies in the wrong bucket.
func TestServeHTTP(t *testing.T) {
	c := qt.New(t)
	m := tally.New()
	m.Count("a_total")
	m.Count("a_total")
	m.Observe("b_ms", 10)
	m.Observe("b_ms", 11)
	m.Observe("b_ms", 9000)

	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)

	for _, line := range []string{
		"a_total 2", "b_ms_le_10 1", "b_ms_le_20 2", "b_ms_le_5000 2", "b_ms_le_inf 3", "b_ms_sum 9021", "b_ms_count 3",
	} {
		c.Check(strings.Contains("\n"+w.Body.String(), "\n"+line+"\n"), qt.IsTrue, qt.Commentf(line))
	}
}

// blockedWriter is an output whose reader has stopped until gate is closed.
type blockedWriter struct {
	gate chan struct{}
	buf  bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.gate

	return s.buf.Write(p)
}

// Guards against requests that block because the reader of the log has stopped, and against lines that are dropped
// without a report.
func TestWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := &blockedWriter{gate: make(chan struct{})}
	l := tally.NewAsyncWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)

		l.Run(ctx, spar.RuntimeClock())
	}()

	start := time.Now()
	for i := range 5000 {
		_, _ = fmt.Fprintf(l, "line %d\n", i)
	}

	c.Assert(time.Since(start) < 2*time.Second, qt.IsTrue)

	close(out.gate)
	cancel()
	<-done

	text := out.buf.String()
	c.Check(strings.HasPrefix(text, "line 0\nline 1\n"), qt.IsTrue)
	c.Check(strings.Contains(text, "log lines dropped count="), qt.IsTrue)
}

// Guards against a log volume that grows with the load.
func TestLimiter(t *testing.T) {
	c := qt.New(t)
	now := spar.Millis(0)
	l := tally.NewLimiter(spar.NewClock(func() spar.Millis { return now }, nil), 10)
	written := 0

	for range 100 {
		if _, ok := l.Allow(); ok {
			written++
		}
	}

	c.Check(written, qt.Equals, 10)

	now = 1000
	dropped, ok := l.Allow()
	c.Check(ok, qt.IsTrue)
	c.Check(dropped, qt.Equals, int64(90))
}
