package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// keyCount is the number of keys of a service.
const keyCount = 1 << 16

// keys are the keys that an upstream holds.
type keys struct {
	id string

	mu sync.Mutex
	// fence is the epoch with which a key is held; 0 if it is not held. highest is the highest epoch that was seen.
	fence, highest [keyCount]int64
	until          time.Time
	handovers      int
	// released are the rows to be reported.
	released [][3]any
}

func newKeys(id string) *keys {
	return &keys{id: id}
}

// expireLocked drops all keys when their time has passed. Expired keys are not reported as released.
func (k *keys) expireLocked(now time.Time) {
	if now.After(k.until) {
		k.fence = [keyCount]int64{}
	}
}

func (k *keys) holds(key int, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.expireLocked(now)

	return key >= 0 && key < keyCount && k.fence[key] > 0
}

func (k *keys) hasReleased() bool {
	k.mu.Lock()
	defer k.mu.Unlock()

	return len(k.released) > 0
}

// report returns the lists of a heartbeat, and the number of released rows in it.
func (k *keys) report(now time.Time) (holds [][3]int64, released [][3]any, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.expireLocked(now)

	holds = [][3]int64{}

	for i := 0; i < keyCount; {
		from := i
		for i < keyCount && k.fence[i] == k.fence[from] {
			i++
		}

		if k.fence[from] > 0 {
			holds = append(holds, [3]int64{int64(from), int64(i - 1), k.fence[from]})
		}
	}

	return holds, append([][3]any{}, k.released...), len(k.released)
}

// apply takes over the reply to a heartbeat that reported n released rows. A reply without holds renews nothing.
func (k *keys) apply(data []byte, sent time.Time, n int) {
	var reply struct {
		Holds  *[][4]json.RawMessage `json:"holds"`
		HoldMS float64               `json:"hold_ms"`
	}

	k.mu.Lock()
	defer k.mu.Unlock()

	k.released = k.released[n:]

	if json.Unmarshal(data, &reply) != nil || reply.Holds == nil {
		return
	}

	k.expireLocked(time.Now())

	var next [keyCount]int64

	for _, row := range *reply.Holds {
		var from, to, fence int64
		if json.Unmarshal(row[0], &from) != nil || json.Unmarshal(row[1], &to) != nil ||
			json.Unmarshal(row[2], &fence) != nil || from < 0 || to >= keyCount {
			continue
		}

		k.acceptLocked(&next, from, to, fence)
	}

	k.releaseLocked(&next)
	k.fence = next
	k.until = sent.Add(time.Duration(reply.HoldMS * float64(time.Millisecond)))
}

// acceptLocked adds a row to the keys that are held, unless a higher epoch was seen on one of them.
func (k *keys) acceptLocked(next *[keyCount]int64, from, to, fence int64) {
	for i := from; i <= to; i++ {
		if k.highest[i] > fence {
			return
		}
	}

	for i := from; i <= to; i++ {
		next[i], k.highest[i] = fence, fence
	}
}

// releaseLocked adds rows for the keys that are held and not in next.
func (k *keys) releaseLocked(next *[keyCount]int64) {
	for i := 0; i < keyCount; {
		from := i
		for i < keyCount && k.fence[i] == k.fence[from] && (next[i] == 0) == (next[from] == 0) {
			i++
		}

		if k.fence[from] > 0 && next[from] == 0 {
			k.handovers++
			k.released = append(k.released, [3]any{from, i - 1, fmt.Sprintf("%s%08x", k.id[2:], k.handovers)})
		}
	}
}
