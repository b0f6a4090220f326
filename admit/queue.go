package admit

import "slices"

// Queue is a fair queue. The items of each key are first in, first out, and the keys are served round-robin,
// so that a key with many items delays another key by at most one item per round.
type Queue[K, T comparable] struct {
	byKey map[K]*keyQueue[K, T]
	// order holds the keys in the order in which they are served next.
	order []*keyQueue[K, T]
	size  int
}

// keyQueue holds the items of one key.
type keyQueue[K, T comparable] struct {
	key   K
	items []T
}

// NewQueue returns an empty queue.
func NewQueue[K, T comparable]() *Queue[K, T] {
	return &Queue[K, T]{byKey: map[K]*keyQueue[K, T]{}}
}

// Len returns the number of items of all keys.
func (q *Queue[K, T]) Len() int {
	return q.size
}

// LenOf returns the number of items of one key.
func (q *Queue[K, T]) LenOf(key K) int {
	if kq, ok := q.byKey[key]; ok {
		return len(kq.items)
	}

	return 0
}

// Push appends an item to those of its key.
func (q *Queue[K, T]) Push(key K, item T) {
	kq, ok := q.byKey[key]
	if !ok {
		kq = &keyQueue[K, T]{key: key}
		q.byKey[key] = kq
		q.order = append(q.order, kq)
	}

	kq.items = append(kq.items, item)
	q.size++
}

// Pop removes and returns the next item. It reports false if the queue is empty.
func (q *Queue[K, T]) Pop() (T, bool) {
	if q.size == 0 {
		var zero T

		return zero, false
	}

	kq := q.order[0]
	item := kq.items[0]
	kq.items = kq.items[1:]
	q.order = q.order[1:]
	q.size--

	if len(kq.items) == 0 {
		delete(q.byKey, kq.key)
	} else {
		q.order = append(q.order, kq)
	}

	return item, true
}

// Remove removes an item, and reports whether it was in the queue.
func (q *Queue[K, T]) Remove(key K, item T) bool {
	kq, ok := q.byKey[key]
	if !ok {
		return false
	}

	i := slices.Index(kq.items, item)
	if i < 0 {
		return false
	}

	kq.items = slices.Delete(kq.items, i, i+1)
	q.size--

	if len(kq.items) == 0 {
		delete(q.byKey, key)
		q.order = slices.DeleteFunc(q.order, func(o *keyQueue[K, T]) bool { return o == kq })
	}

	return true
}

// LastOfLongest returns the key that has the most items, and its newest item. It reports false if the queue
// is empty.
func (q *Queue[K, T]) LastOfLongest() (K, T, bool) {
	var longest *keyQueue[K, T]

	for _, kq := range q.order {
		if longest == nil || len(kq.items) > len(longest.items) {
			longest = kq
		}
	}

	if longest == nil {
		var (
			key  K
			item T
		)

		return key, item, false
	}

	return longest.key, longest.items[len(longest.items)-1], true
}

// Ahead returns the number of items that would be popped before a new item of key if no further items were
// pushed.
func (q *Queue[K, T]) Ahead(key K) int {
	own := q.LenOf(key)
	ahead := own
	rounds := own + 1

	// Keys before this one in the order are served in one more round than those after it.
	for _, kq := range q.order {
		if kq.key == key {
			rounds--

			continue
		}

		ahead += min(len(kq.items), rounds)
	}

	return ahead
}
