package event_test

import (
	"testing"

	"sardinespar.example/spar/internal/prop"
)

// TestMain fixes rapid's seed and number of checks unless the command line names others.
func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 300, 0)
}
