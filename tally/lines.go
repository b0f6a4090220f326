package tally

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	spar "sardinespar.example/spar"
)

const (
	// lineQueue is the number of lines that wait for a slow reader of the output.
	lineQueue = 512
	// lostRound is the pause between two lines that tell how many were left out.
	lostRound spar.Millis = 1000
)

// Lines is an output that never blocks its writer: lines that the reader doesn't take in time are left
// out and counted.
type Lines struct {
	out   io.Writer
	queue chan []byte
	lost  atomic.Int64
}

// NewLines returns lines to an output. Run writes them.
func NewLines(out io.Writer) *Lines {
	return &Lines{out: out, queue: make(chan []byte, lineQueue)}
}

// Write takes one line.
func (l *Lines) Write(p []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), p...):
	default:
		l.lost.Add(1)
	}

	return len(p), nil
}

// Run writes lines until ctx ends, and then those that still wait.
func (l *Lines) Run(ctx context.Context, clock spar.Clock) {
	l.loop(ctx, clock)
}

func (l *Lines) loop(ctx context.Context, clock spar.Clock) {
	told := clock.Now()

	for {
		select {
		case p := <-l.queue:
			_, _ = l.out.Write(p)
		case <-ctx.Done():
			l.drain()

			return
		}

		if now := clock.Now(); now-told >= lostRound {
			told = now

			l.tell()
		}
	}
}

// drain writes what waits.
func (l *Lines) drain() {
	for {
		select {
		case p := <-l.queue:
			_, _ = l.out.Write(p)
		default:
			l.tell()

			return
		}
	}
}

func (l *Lines) tell() {
	if n := l.lost.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(l.out, "WARN log lines left out count=%d\n", n)
	}
}

// Limit bounds the log lines of one kind in each second.
type Limit struct {
	clock spar.Clock
	most  int64
	start atomic.Int64
	count atomic.Int64
	lost  atomic.Int64
}

// NewLimit returns a limit of most lines a second.
func NewLimit(clock spar.Clock, most int) *Limit {
	return &Limit{clock: clock, most: int64(most)}
}

// Allow reports whether a line may be written, and how many were left out since the last one.
func (l *Limit) Allow() (left int64, ok bool) {
	const second = 1000

	now := int64(l.clock.Now()) / second
	if l.start.Swap(now) != now {
		l.count.Store(0)
	}

	if l.count.Add(1) > l.most {
		l.lost.Add(1)

		return 0, false
	}

	return l.lost.Swap(0), true
}
