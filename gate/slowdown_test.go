package gate_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/gate"
)

// Guards against a slowdown that is taken from an invalid header, and against one that is passed on for long after the
// backend server reported it.
func TestSlowdownFollowsValidHeaders(t *testing.T) {
	for header, want := range map[string]int{
		"3,0,9,250": 250, "3, 0, 9, 250": 250, "": 100, "3,0,9": 100, "3,0,9,x": 100, "3,0,9,-5": 100, "3,0,9,0": 100,
		"3,0,9,99999999": 100, "3,0,9,250,1": 100,
	} {
		var s gate.Slowdown

		qt.Check(t, s.Percent(0), qt.Equals, 0)
		s.Observe("1,0,9,100", 1000)
		s.Observe(header, 1100)
		qt.Check(t, s.Percent(1200), qt.Equals, want, qt.Commentf("%q", header))
		qt.Check(t, s.Percent(5000), qt.Equals, 0)
	}
}
