// Package prop makes property-based tests run alike every time.
package prop

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main fixes rapid's seed and number of checks, and that of steps if it is not 0, and runs the tests.
// What the command line names goes before that, so that other seeds can be run by hand.
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
			panic("prop: flag can't be set: " + err.Error())
		}
	}

	os.Exit(m.Run())
}
