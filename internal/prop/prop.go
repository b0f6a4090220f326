// Package prop makes property-based tests deterministic.
package prop

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main sets rapid's seed, number of checks and, if it is not 0, number of steps, and runs the tests.
// Flags on the command line take precedence, so that other seeds can be run by hand.
func Main(m *testing.M, seed, checks, steps int) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	values := map[string]string{
		"rapid.seed": strconv.Itoa(seed), "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true",
	}
	if steps > 0 {
		values["rapid.steps"] = strconv.Itoa(steps)
	}

	for name, value := range values {
		if given[name] {
			continue
		}

		if err := flag.Set(name, value); err != nil {
			panic("prop: set flag: " + err.Error())
		}
	}

	os.Exit(m.Run())
}
