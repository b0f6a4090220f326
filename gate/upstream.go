package gate

import (
	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Upstream is the known state of the backend server on this VM. It is immutable: updates replace it.
type Upstream struct {
	// Incarnation is the current incarnation of the backend server.
	Incarnation spar.Incarnation
	Service     string
	Slots       int
	// Ready is false for a backend server that is draining or has departed.
	Ready bool
	// ColdUntil is the end of the time in which the server can handle only few requests.
	ColdUntil spar.Millis
	// Holds are the keys that are granted to the server.
	Holds []Hold
	// Down reports whether the server has refused a connection since its last heartbeat.
	Down bool
	// MaybeRestarted reports whether a connection to the server has broken since its last heartbeat, so that it may
	// have restarted.
	MaybeRestarted bool
}

// Hold is a span of keys that the backend server holds until a time.
type Hold struct {
	keymap.Span

	Until spar.Millis
}

// WithHolds returns a copy of u with the given granted keys.
func (u Upstream) WithHolds(holds []Hold) Upstream {
	u.Holds = holds

	return u
}

// Cold reports whether u can handle only few requests at now.
func (u Upstream) Cold(now spar.Millis) bool {
	return u.MaybeRestarted || u.ColdUntil > 0 && now < u.ColdUntil+coldMargin
}

// HoldsKey reports whether u holds a key at now.
func (u Upstream) HoldsKey(key int, now spar.Millis) bool {
	return u.RemainingHold(key, now) > 0
}

// RemainingHold returns how much longer u holds a key after now. It is not positive for a key that u does not
// hold.
func (u Upstream) RemainingHold(key int, now spar.Millis) spar.Millis {
	var remaining spar.Millis

	for _, h := range u.Holds {
		if h.From <= key && key <= h.To {
			remaining = max(remaining, h.Until-now)
		}
	}

	return remaining
}
