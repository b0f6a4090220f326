package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, one line each, with milliseconds since the start.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{out: f, start: time.Now()}, nil
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()

	fmt.Fprintf(r.out, "%9.1f  %s\n", float64(time.Since(r.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}
