// Package tally holds a relay's counters and latency histograms and serves them as text. It also limits log
// lines.
package tally

import (
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"

	spar "sardinespar.example/spar"
)

// bounds are the upper bounds of the latency buckets, in milliseconds.
var bounds = [...]spar.Millis{5, 10, 20, 50, 100, 200, 300, 500, 800, 1200, 2000, 5000}

// histogram counts latencies by bucket; the last bucket has no upper bound.
type histogram struct {
	counts [len(bounds) + 1]int64
	sum    spar.Millis
}

// Tally holds counters and histograms by name. A nil Tally counts nothing.
type Tally struct {
	counters expvar.Map

	mu         sync.Mutex
	histograms map[string]*histogram
}

// New returns an empty Tally.
func New() *Tally {
	return &Tally{histograms: map[string]*histogram{}}
}

// Count adds one to a counter.
func (t *Tally) Count(name string) {
	if t != nil {
		t.counters.Add(name, 1)
	}
}

// Gauge serves the current value of f under a name.
func (t *Tally) Gauge(name string, f func() int64) {
	if t != nil {
		t.counters.Set(name, expvar.Func(func() any { return f() }))
	}
}

// Set sets a counter that is counted elsewhere.
func (t *Tally) Set(name string, n int64) {
	if t == nil {
		return
	}

	t.counters.Add(name, 0)

	if v, ok := t.counters.Get(name).(*expvar.Int); ok {
		v.Set(n)
	}
}

// Observe adds a latency to a histogram.
func (t *Tally) Observe(name string, d spar.Millis) {
	if t == nil {
		return
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	h, ok := t.histograms[name]
	if !ok {
		h = &histogram{}
		t.histograms[name] = h
	}

	i := 0
	for i < len(bounds) && d > bounds[i] {
		i++
	}

	h.counts[i]++
	h.sum += d
}

// ServeHTTP writes one line with a name and a number for each counter, and for each bucket, sum and count of the
// histograms.
func (t *Tally) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	t.counters.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, "%s %s\n", kv.Key, kv.Value) })

	t.mu.Lock()
	defer t.mu.Unlock()

	for _, name := range slices.Sorted(maps.Keys(t.histograms)) {
		t.histograms[name].write(w, name)
	}
}

// write writes the cumulative count of latencies for each bound, their sum and their total count.
func (h *histogram) write(w io.Writer, name string) {
	total := int64(0)

	for i, n := range h.counts {
		total += n

		bound := "inf"
		if i < len(bounds) {
			bound = strconv.Itoa(int(bounds[i]))
		}

		_, _ = fmt.Fprintf(w, "%s_le_%s %d\n", name, bound, total)
	}

	_, _ = fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, int64(h.sum), name, total)
}
