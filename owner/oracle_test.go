package owner_test

import (
	"fmt"
	"slices"
	"sync"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

const (
	service    = "cards"
	beatEvery  = 870 * time.Millisecond
	releaseGap = 60 * time.Millisecond
	// slowClock is how much longer a backend server may hold than it was told.
	slowClock = 1.02
)

// oracle knows what every backend server holds, and the highest epoch of each holder.
type oracle struct {
	mu      sync.Mutex
	start   time.Time
	holders map[spar.Life]*holding
	ended   map[spar.Life]bool
	past    []keymap.Range
	faults  []string
}

// holding is what one life of a backend server holds.
type holding struct {
	rows  []keymap.Range
	until time.Time
}

func newOracle() *oracle {
	return &oracle{start: time.Now(), holders: map[spar.Life]*holding{}, ended: map[spar.Life]bool{}}
}

func (o *oracle) faultf(format string, args ...any) {
	if len(o.faults) < 5 {
		o.faults = append(o.faults, fmt.Sprintf("%.3f s: ", time.Since(o.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// take checks a grant that a life takes.
func (o *oracle) take(life spar.Life, rows []keymap.Range, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.ended[life] {
		return
	}

	now := time.Now()

	for _, r := range rows {
		for other, h := range o.holders {
			if other == life || !now.Before(h.until) {
				continue
			}

			if slices.ContainsFunc(h.rows, func(x keymap.Range) bool { return x.Overlaps(r.Span) }) {
				o.faultf("%v takes %v, which %v holds", life, r.Span, other)
			}
		}

		for _, p := range o.past {
			if p.Life != life && p.Overlaps(r.Span) && p.Epoch >= r.Epoch {
				o.faultf("%v takes %v at epoch %d, which %v had at %d", life, r.Span, r.Epoch, p.Life, p.Epoch)
			}
		}

		r.Life = life
		if !slices.Contains(o.past, r) {
			o.past = append(o.past, r)
		}
	}

	o.holders[life] = &holding{rows: rows, until: until}
}

func (o *oracle) end(life spar.Life) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.ended[life] = true
	delete(o.holders, life)
}

// held returns the number of keys that some backend server holds now.
func (o *oracle) held() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	n := 0

	for _, h := range o.holders {
		if time.Now().Before(h.until) {
			for _, r := range h.rows {
				n += r.To - r.From + 1
			}
		}
	}

	return n
}
