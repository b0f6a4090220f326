package admin_test

import (
	"testing"

	"pgregory.net/rapid"

	"sardinespar.example/spar/internal/prop"
)

// TestMain fixes rapid's seed, number of checks and number of steps, so that runs are reproducible. Flags on
// the command line override them.
func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 60, 25)
}

// noDeadlineTB hides the Deadline method of a test. Rapid would call it, and it panics in a synctest bubble.
type noDeadlineTB struct {
	rapid.TB
}
