package admit

import "slices"

// Queue holds waiting items. Each key has a line, first in, first out, and the lines take turns, so
// that a key with many items delays another key by at most one item per turn.
type Queue[K, T comparable] struct {
	lines map[K]*line[K, T]
	turns []*line[K, T]
	size  int
}

type line[K, T comparable] struct {
	key   K
	items []T
}

// NewQueue returns an empty queue.
func NewQueue[K, T comparable]() *Queue[K, T] {
	return &Queue[K, T]{lines: map[K]*line[K, T]{}}
}

// Len returns the number of items.
func (q *Queue[K, T]) Len() int {
	return q.size
}

// Waiting returns the number of items of a key.
func (q *Queue[K, T]) Waiting(key K) int {
	if l, ok := q.lines[key]; ok {
		return len(l.items)
	}

	return 0
}

// Push adds an item at the end of its key's line.
func (q *Queue[K, T]) Push(key K, item T) {
	l, ok := q.lines[key]
	if !ok {
		l = &line[K, T]{key: key}
		q.lines[key] = l
		q.turns = append(q.turns, l)
	}

	l.items = append(l.items, item)
	q.size++
}

// Pop removes the next item.
func (q *Queue[K, T]) Pop() (T, bool) {
	if q.size == 0 {
		var none T

		return none, false
	}

	l := q.turns[0]
	item := l.items[0]
	l.items = l.items[1:]
	q.turns = q.turns[1:]
	q.size--

	if len(l.items) == 0 {
		delete(q.lines, l.key)
	} else {
		q.turns = append(q.turns, l)
	}

	return item, true
}

// Remove takes an item out and reports false if it is not there.
func (q *Queue[K, T]) Remove(key K, item T) bool {
	l, ok := q.lines[key]
	if !ok {
		return false
	}

	i := slices.Index(l.items, item)
	if i < 0 {
		return false
	}

	l.items = slices.Delete(l.items, i, i+1)
	q.size--

	if len(l.items) == 0 {
		delete(q.lines, key)
		q.turns = slices.DeleteFunc(q.turns, func(o *line[K, T]) bool { return o == l })
	}

	return true
}

// Longest returns the newest item of the key that has the most items.
func (q *Queue[K, T]) Longest() (K, T, bool) {
	var longest *line[K, T]

	for _, l := range q.turns {
		if longest == nil || len(l.items) > len(longest.items) {
			longest = l
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

// Ahead returns the number of items that would leave before a new item of key, if none came later.
func (q *Queue[K, T]) Ahead(key K) int {
	own := q.Waiting(key)
	ahead := own
	turns := own + 1

	// Lines before the key's own in the order of turns have one turn more than those after it.
	for _, l := range q.turns {
		if l.key == key {
			turns--

			continue
		}

		ahead += min(len(l.items), turns)
	}

	return ahead
}
