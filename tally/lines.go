package tally

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

const (
	// queueCapacity is the number of lines that may wait for a slow reader of the output.
	queueCapacity = 512
	// dropReportInterval is the minimum time between two lines that report the number of dropped lines.
	dropReportInterval spar.Millis = 1000
)

// AsyncWriter is a log output that never blocks its writer. If the reader of the output is too slow and the queue is
// full, lines are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to an output; Run does the writing.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, queue: make(chan []byte, queueCapacity)}
}

// Write queues one line, or drops it if the queue is full.
func (l *AsyncWriter) Write(p []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}

	return len(p), nil
}

// Run writes lines to the output until ctx ends, and then those that are still queued.
func (l *AsyncWriter) Run(ctx context.Context, clock spar.Clock) {
	l.loop(ctx, clock)
}

func (l *AsyncWriter) loop(ctx context.Context, clock spar.Clock) {
	lastReport := clock.Now()

	for {
		select {
		case p := <-l.queue:
			_, _ = l.out.Write(p)
		case <-ctx.Done():
			l.drain()

			return
		}

		if now := clock.Now(); now-lastReport >= dropReportInterval {
			lastReport = now

			l.reportDropped()
		}
	}
}

// drain writes the queued lines.
func (l *AsyncWriter) drain() {
	for {
		select {
		case p := <-l.queue:
			_, _ = l.out.Write(p)
		default:
			l.reportDropped()

			return
		}
	}
}

// reportDropped writes the number of dropped lines, if there are any.
func (l *AsyncWriter) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.out, "WARN log lines dropped count=%d\n", n)
	}
}

// Limiter limits the number of log lines of one kind per second.
type Limiter struct {
	clock   spar.Clock
	max     int64
	second  atomic.Int64
	count   atomic.Int64
	dropped atomic.Int64
}

// NewLimiter returns a limiter that allows perSecond lines in each second.
func NewLimiter(clock spar.Clock, perSecond int) *Limiter {
	return &Limiter{clock: clock, max: int64(perSecond)}
}

// Allow reports whether a line may be written, and how many were dropped since the last allowed one.
func (l *Limiter) Allow() (dropped int64, ok bool) {
	const second = 1000

	now := int64(l.clock.Now()) / second
	if l.second.Swap(now) != now {
		l.count.Store(0)
	}

	if l.count.Add(1) > l.max {
		l.dropped.Add(1)

		return 0, false
	}

	return l.dropped.Swap(0), true
}
