package admin_test

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes rapid's seed and number of checks unless the command line names others, so that
// every run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "60", "rapid.steps": "25", "rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}

		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	os.Exit(m.Run())
}

// plain hides a test's deadline, which rapid asks for and a synctest bubble refuses.
type plain struct {
	rapid.TB
}
