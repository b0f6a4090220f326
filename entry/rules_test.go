package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/rules"
)

// Guards against routing by stale rules on a node that knows of newer ones: it must not report a missing
// route at once, and after MaxRulesAge must not use its rules at all.
func TestStaleRulesAreNotApplied(t *testing.T) {
	c := qt.New(t)
	set, err := rules.New(1, []rules.Rule{{
		Name: "r", Host: "a.example", Prefix: "/a/", Kind: rules.Safe, Timeout: 1000,
		Destinations: []rules.Destination{{Service: "desk", Weight: 1}},
	}}, []rules.Service{{Name: "desk"}}, rules.Limits{})
	c.Assert(err, qt.IsNil)

	for _, tt := range []struct {
		path string
		lag  spar.Millis
		want int
	}{
		{"/none/", 0, http.StatusNotFound},
		{"/none/", 10, http.StatusServiceUnavailable},
		{"/a/", 1501, http.StatusServiceUnavailable},
	} {
		e := entry.New(entry.Settings{Names: spar.HeaderNames{RequestID: "Id"}, MaxRulesAge: 1500}, entry.Deps{
			Clock: spar.RuntimeClock(), Log: log.New(io.Discard), Rules: func() *rules.Set { return set },
			Closed: func() bool { return false }, Closing: func() bool { return false },
			RulesLag: func() (spar.Millis, bool) { return tt.lag, tt.lag > 0 },
		})
		req := httptest.NewRequest(http.MethodGet, "http://a.example"+tt.path, nil)
		req.Header.Set("Id", "1")

		w := httptest.NewRecorder()
		e.ServeHTTP(w, req)
		c.Check(w.Code, qt.Equals, tt.want, qt.Commentf("%s with a lag of %v", tt.path, tt.lag))
		c.Check(w.Header().Get("Retry-After") != "", qt.Equals, tt.want == http.StatusServiceUnavailable)
	}
}
