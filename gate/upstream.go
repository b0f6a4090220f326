package gate

import (
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Upstream is what is known of the backend server beside this node. It is replaced, not changed.
type Upstream struct {
	Life    spar.Life
	Service string
	Slots   int
	// Ready is false for a backend server that leaves or has left.
	Ready bool
	// ColdUntil ends the time in which it bears few requests.
	ColdUntil spar.Millis
	// Holds are the keys granted to it, until HoldUntil.
	Holds     []keymap.Span
	HoldUntil spar.Millis
	// Down says that it refused a connection since it last reported.
	Down bool
	// Unsure says that a connection to it broke since it last reported, so that it may have started anew.
	Unsure bool
}

// WithHolds returns u with granted keys.
func (u Upstream) WithHolds(spans []keymap.Span, until spar.Millis) Upstream {
	u.Holds, u.HoldUntil = spans, until

	return u
}

// Cold reports whether u bears few requests at now.
func (u Upstream) Cold(now spar.Millis) bool {
	return u.Unsure || u.ColdUntil > 0 && now < u.ColdUntil+coldTail
}

// HoldsKey reports whether u holds a key at now.
func (u Upstream) HoldsKey(key int, now spar.Millis) bool {
	return now < u.HoldUntil && slices.ContainsFunc(u.Holds, func(s keymap.Span) bool {
		return s.From <= key && key <= s.To
	})
}
