package spar_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
)

// Guards against nodes that call a failed store at an unbounded rate, and against a delay that
// remains after the failure has ended.
func TestBackoffDelay(t *testing.T) {
	c := qt.New(t)
	b := spar.Backoff{Initial: 100, Max: 1000}
	c.Assert(b.Delay(), qt.Equals, spar.Millis(0))

	for _, full := range []spar.Millis{100, 200, 400, 800, 1000, 1000} {
		b = b.WithFailure()

		for range 50 {
			p := b.Delay()
			c.Assert(p >= full/2 && p <= full, qt.IsTrue, qt.Commentf("%v of %v", p, full))
		}
	}

	for range 100 {
		b = b.WithFailure()
	}

	c.Assert(b.Delay() <= 1000, qt.IsTrue)
	c.Assert(b.WithSuccess().Delay(), qt.Equals, spar.Millis(0))
}
