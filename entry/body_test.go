package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/httpd"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

// Guards against a client that does not send a request again, or sends it again at once, whose body was refused for
// lack of memory.
func TestBodyWithoutMemory(t *testing.T) {
	c := qt.New(t)
	set, err := rules.New(1, []rules.Rule{{
		Name: "r", Host: "a.example", Prefix: "/a/", Kind: rules.Unsafe, Timeout: 1000,
		Destinations: []rules.Destination{{Service: "desk", Weight: 1}},
	}}, []rules.Service{{Name: "desk"}}, rules.Limits{})
	c.Assert(err, qt.IsNil)

	e := entry.New(entry.Settings{
		Names: spar.HeaderNames{RequestID: "Id"}, MaxRulesAge: 1500, MaxBodyBytes: 1000,
	}, entry.Deps{
		Clock: spar.RuntimeClock(), Log: log.New(io.Discard), Rules: func() *rules.Set { return set },
		Closed: func() bool { return false }, Closing: func() bool { return false }, Tally: tally.New(),
		RulesLag: func() (spar.Millis, bool) { return 0, false },
	})
	req := httptest.NewRequest(http.MethodPost, "http://a.example/a/", iotest.ErrReader(httpd.ErrMemory))
	req.Header.Set("Id", "1")

	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Header().Get("Retry-After"), qt.Equals, "0.300")
}
