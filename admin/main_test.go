package admin_test

import (
	"testing"

	"pgregory.net/rapid"

	"sardinespar.example/spar/internal/prop"
)

// TestMain fixes rapid's seed and number of checks unless the command line names others, so that
// every run has the same verdict.
func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 60, 25)
}

// plain hides a test's deadline, which rapid asks for and a synctest bubble refuses.
type plain struct {
	rapid.TB
}
