package event_test

import (
	"testing"

	"sardinespar.example/spar/internal/prop"
)

// TestMain sets rapid's seed and number of checks unless they are set on the command line.
func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 300, 0)
}
