package gate

import (
	"math"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// keyHalfLife is the time in which a key's count of requests halves.
const keyHalfLife spar.Millis = 1000

// coveredLeast is the least time over which rates are taken, so that the first few requests don't look
// like many.
const coveredLeast spar.Millis = 500

// KeyLoad counts the requests of each key, with older ones weighing less. New requests weigh more and
// more instead, so that no count has to be touched between two of its requests.
type KeyLoad struct {
	clock spar.Clock

	mu    sync.Mutex
	start spar.Millis
	// first is the time of the first request.
	first spar.Millis
	count []float32
}

// NewKeyLoad returns counts of 0.
func NewKeyLoad(clock spar.Clock) *KeyLoad {
	return &KeyLoad{clock: clock, start: clock.Now()}
}

// weight is that of a request at now, doubling with each half-life.
func (l *KeyLoad) weight(now spar.Millis) float64 {
	return math.Exp2(float64((now - l.start) / keyHalfLife))
}

// Note counts a request.
func (l *KeyLoad) Note(key int) {
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

// rebase moves the start to now before weights grow too large.
func (l *KeyLoad) rebase(now spar.Millis) {
	scale := float32(1 / l.weight(now))
	for i := range l.count {
		l.count[i] *= scale
	}

	l.start = now
}

// perSecond turns a sum of weights into requests a second. Soon after the first request the counts
// cover less time than their half-life stands for.
func (l *KeyLoad) perSecond(sum float64) float64 {
	const second = 1000

	now := l.clock.Now()
	covered := 1 - math.Exp2(-float64(max(coveredLeast, now-l.first)/keyHalfLife))

	return sum / l.weight(now) * math.Ln2 / float64(keyHalfLife) * second / covered
}

// Rate returns the requests a second on a span's keys.
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

// Cut returns the beginning of the span whose keys have about rate requests a second, and their rate.
// It takes at least one key.
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
