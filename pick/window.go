package pick

import (
	"cmp"
	"slices"
)

// Window holds the newest samples of a measurement.
type Window[T cmp.Ordered] struct {
	samples []T
	next    int
	size    int
}

// NewWindow returns an empty window for size samples.
func NewWindow[T cmp.Ordered](size int) *Window[T] {
	return &Window[T]{size: size}
}

// Len returns the number of samples held.
func (w *Window[T]) Len() int {
	return len(w.samples)
}

// Add takes a sample; the oldest one goes when the window is full.
func (w *Window[T]) Add(v T) {
	if len(w.samples) < w.size {
		w.samples = append(w.samples, v)

		return
	}

	w.samples[w.next] = v
	w.next = (w.next + 1) % w.size
}

// Quantile returns the sample below which the share q of samples lies. The window is not empty.
func (w *Window[T]) Quantile(q float64) T {
	sorted := slices.Sorted(slices.Values(w.samples))

	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
