package event_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed and number of checks unless the command line names others.
func TestMain(m *testing.M) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true",
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
