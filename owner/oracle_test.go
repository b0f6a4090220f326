package owner_test

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

const (
	service           = "cards"
	heartbeatInterval = 870 * time.Millisecond
	releaseInterval   = 60 * time.Millisecond
	// holdFactor is how much longer than granted a backend server holds keys, by its slow clock.
	holdFactor = 1.02
)

// oracle tracks which ranges every backend server holds and has held, and finds violations of the ownership rules.
type oracle struct {
	mu         sync.Mutex
	start      time.Time
	holders    map[spar.Incarnation][]held
	ended      map[spar.Incarnation]bool
	history    []keymap.Range
	violations []string
}

// held is a range that a backend server holds until a time.
type held struct {
	keymap.Range

	until time.Time
	// late is set if the grant was carried out long after it was sent. Another server that received the keys in the
	// meantime has a higher epoch, and no request reaches the late holder.
	late bool
}

func newOracle() *oracle {
	return &oracle{start: time.Now(), holders: map[spar.Incarnation][]held{}, ended: map[spar.Incarnation]bool{}}
}

func (o *oracle) reportf(format string, args ...any) {
	if len(o.violations) < 5 {
		o.violations = append(o.violations,
			fmt.Sprintf("%.3f s: ", time.Since(o.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// record stores and checks all ranges that an incarnation holds after a grant or a release.
func (o *oracle) record(incarnation spar.Incarnation, rows []held) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.ended[incarnation] {
		return
	}

	for _, r := range rows {
		o.checkHolders(incarnation, r)
		o.checkEpochs(incarnation, r.Range)

		r.Incarnation = incarnation
		if !slices.Contains(o.history, r.Range) {
			o.history = append(o.history, r.Range)
		}
	}

	o.holders[incarnation] = rows
}

// checkHolders reports other incarnations that hold keys of a range.
func (o *oracle) checkHolders(incarnation spar.Incarnation, r held) {
	now := time.Now()

	for other, rows := range o.holders {
		if other == incarnation {
			continue
		}

		if slices.ContainsFunc(rows, func(x held) bool { return x.Overlaps(r.Span) && now.Before(x.until) && !x.late }) {
			o.reportf("%v gets %v, which %v holds", incarnation, r.Span, other)
		}
	}
}

// checkEpochs reports other incarnations that have held keys of a range under the same or a higher epoch.
func (o *oracle) checkEpochs(incarnation spar.Incarnation, r keymap.Range) {
	for _, p := range o.history {
		if p.Incarnation != incarnation && p.Overlaps(r.Span) && p.Epoch >= r.Epoch {
			o.reportf("%v gets %v at epoch %d, which %v had at %d", incarnation, r.Span, r.Epoch, p.Incarnation, p.Epoch)
		}
	}
}

func (o *oracle) end(incarnation spar.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()

	o.ended[incarnation] = true
	delete(o.holders, incarnation)
}

// count returns the number of keys that an incarnation holds now.
func (o *oracle) count(incarnation spar.Incarnation) int {
	o.mu.Lock()
	defer o.mu.Unlock()

	n := 0

	for _, r := range o.holders[incarnation] {
		if time.Now().Before(r.until) {
			n += r.To - r.From + 1
		}
	}

	return n
}

// held returns the number of keys that some backend server holds now.
func (o *oracle) held() int {
	o.mu.Lock()
	incarnations := slices.Collect(maps.Keys(o.holders))
	o.mu.Unlock()

	n := 0
	for _, incarnation := range incarnations {
		n += o.count(incarnation)
	}

	return n
}
