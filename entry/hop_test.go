package entry_test

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
)

// Guards against loads that nodes of earlier builds ignore, since they accept exactly five numbers, and against loads
// of such nodes that this build ignores, since they have no slowdown.
func TestLoadIsReadAcrossBuilds(t *testing.T) {
	load := gate.Load{Running: 1, Waiting: 2, Slots: 3, MeanServiceTime: 4, Link: 5, Slowdown: 250}

	h := http.Header{}
	entry.SetLoad(h, load)
	qt.Check(t, strings.Fields(h.Get(spar.HeaderLoad)), qt.HasLen, 5)

	got, ok := entry.GetLoad(h)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, got, qt.Equals, load)

	got, ok = entry.GetLoad(http.Header{spar.HeaderLoad: {"1 2 3 4 5"}})
	load.Slowdown = 0
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, got, qt.Equals, load)

	// A header of the backend server with the same name doesn't stay in the response.
	h.Set("Spar-Slowdown", "900")
	entry.SetLoad(h, load)

	got, _ = entry.GetLoad(h)
	qt.Check(t, got, qt.Equals, load)
}
