package meter_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"sardinespar.example/spar/meter"
)

// TestMetricNames guards against metrics whose names break the naming scheme, are not in the catalog or are
// published twice.
func TestMetricNames(t *testing.T) {
	s := meter.NewSet()

	for _, m := range meter.Catalog() {
		s.NewCounter(m.Name)
	}

	for _, name := range []string{meter.InFlight, "spar_admit_unknown_count", "admit_in_flight"} {
		qt.Check(t, func() { s.NewCounter(name) }, qt.PanicMatches, "meter: metric is published twice.*"+name)
	}
}
