package pick

import (
	"cmp"
	"slices"
)

// Window holds the most recent samples of a measurement.
type Window[T cmp.Ordered] struct {
	samples []T
	oldest  int
	size    int
}

// NewWindow returns an empty window that holds up to size samples.
func NewWindow[T cmp.Ordered](size int) *Window[T] {
	return &Window[T]{size: size}
}

// Len returns the number of samples in the window.
func (w *Window[T]) Len() int {
	return len(w.samples)
}

// Add adds a sample. If the window is full, it replaces the oldest one.
func (w *Window[T]) Add(v T) {
	if len(w.samples) < w.size {
		w.samples = append(w.samples, v)

		return
	}

	w.samples[w.oldest] = v
	w.oldest = (w.oldest + 1) % w.size
}

// Quantile returns the sample below which the share q of the samples lies. The window must not be empty.
func (w *Window[T]) Quantile(q float64) T {
	sorted := slices.Sorted(slices.Values(w.samples))

	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
