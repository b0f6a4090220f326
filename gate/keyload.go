package gate

import (
	"math"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// keyHalfLife is the half-life of a key's request count.
const keyHalfLife spar.Millis = 1000

// minCovered is the minimum period over which a rate is computed. Over a shorter one, the first few requests
// would give a far too high rate.
const minCovered spar.Millis = 500

// KeyLoad keeps an exponentially decaying request count of each key. Instead of decaying all counts, it gives
// newer requests a larger weight, so that a count is written only when its key is requested.
type KeyLoad struct {
	clock spar.Clock

	mu sync.Mutex
	// start is the time at which a request has the weight 1.
	start spar.Millis
	// first is the time of the first request.
	first spar.Millis
	// count has the sum of the weights of each key's requests.
	count []float32
}

// NewKeyLoad returns a KeyLoad without requests.
func NewKeyLoad(clock spar.Clock) *KeyLoad {
	return &KeyLoad{clock: clock, start: clock.Now()}
}

// weight returns the weight of a request at now, which doubles with each half-life.
func (l *KeyLoad) weight(now spar.Millis) float64 {
	return math.Exp2(float64((now - l.start) / keyHalfLife))
}

// Record counts a request for key.
func (l *KeyLoad) Record(key int) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := l.clock.Now()
	if l.count == nil {
		l.count = make([]float32, keymap.Keys)
		l.first = now
	}

	if now-l.start > 30*keyHalfLife {
		l.rebase(now)
	}

	l.count[key] += float32(l.weight(now))
}

// rebase scales all counts so that a request at now has the weight 1, before the weights grow too large for
// a float32.
func (l *KeyLoad) rebase(now spar.Millis) {
	scale := float32(1 / l.weight(now))
	for i := range l.count {
		l.count[i] *= scale
	}

	l.start = now
}

// perSecond converts a sum of weights into requests per second. It corrects for the counts covering little
// time soon after the first request, when the decay alone would give too low a rate.
func (l *KeyLoad) perSecond(sum float64) float64 {
	const second = 1000

	now := l.clock.Now()
	covered := 1 - math.Exp2(-float64(max(minCovered, now-l.first)/keyHalfLife))

	return sum / l.weight(now) * math.Ln2 / float64(keyHalfLife) * second / covered
}

// Rate returns the requests per second for the keys of a span.
func (l *KeyLoad) Rate(s keymap.Span) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.count == nil {
		return 0
	}

	sum := 0.0
	for k := s.From; k <= s.To; k++ {
		sum += float64(l.count[k])
	}

	return l.perSecond(sum)
}

// Cut returns the longest prefix of the span whose keys together have at most rate requests per second, and
// the rate of that prefix. The prefix has at least one key.
func (l *KeyLoad) Cut(s keymap.Span, rate float64) (keymap.Span, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.count == nil {
		return s, 0
	}

	unit := l.perSecond(1)
	sum := 0.0

	for k := s.From; k <= s.To; k++ {
		next := sum + float64(l.count[k])*unit
		if k > s.From && next > rate {
			return keymap.Span{From: s.From, To: k - 1}, sum
		}

		sum = next
	}

	return s, sum
}
