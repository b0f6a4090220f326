package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/quota"
	"sardinespar.example/spar/rules"
)

// stubQuota grants a number of credits.
type stubQuota struct {
	credits         int
	taken, returned []string
}

func (s *stubQuota) Take(_ context.Context, tenant string, _ spar.Millis) (quota.Credit, spar.Millis, bool) {
	if tenant != "" && s.credits == 0 {
		return quota.Credit{}, 300, false
	}

	s.credits--
	s.taken = append(s.taken, tenant)

	return quota.Credit{Tenant: tenant}, 0, true
}

func (s *stubQuota) Return(c quota.Credit) {
	s.credits++
	s.returned = append(s.returned, c.Tenant)
}

// newQuotaEntry returns an entry that knows no backend server.
func newQuotaEntry(set *rules.Set, q entry.Quota) *entry.Entry {
	clock, l := spar.RuntimeClock(), log.New(io.Discard)

	return entry.New(entry.Settings{
		Names: spar.HeaderNames{RequestID: "Id", APIKey: "My-Key", Tenant: "My-Tenant"}, MaxRulesAge: 1500,
	}, entry.Deps{
		Clock: clock, Log: l, Rules: func() *rules.Set { return set }, Maps: owner.NewMaps(), Quota: q,
		Mesh: mesh.New("a", mesh.Deps{Clock: clock, Log: l}), Gate: gate.New(gate.Settings{}, gate.Deps{Clock: clock}),
		Closed: func() bool { return false }, Closing: func() bool { return false },
		ZoneWithdrawn: func(string) bool { return false },
		RulesLag:      func() (spar.Millis, bool) { return 0, false },
		Quarantined:   func(gate.Request) (spar.Millis, bool) { return 0, false },
	})
}

// Guards against credits that are lost with requests that reached no backend server, and against credits for requests
// without a tenant.
func TestCreditIsReturnedIfNoServerIsReached(t *testing.T) {
	c := qt.New(t)
	q := &stubQuota{credits: 1}
	e := newQuotaEntry(tenantRules(c), q)

	for _, tt := range []struct{ path, key string }{{"/closed/", firstKey}, {"/closed/", firstKey}, {"/public/", ""}} {
		req := httptest.NewRequest(http.MethodGet, "http://a.example"+tt.path, nil)
		req.Header.Set("Id", "1")

		if tt.key != "" {
			req.Header.Set("My-Key", tt.key)
		}

		w := httptest.NewRecorder()
		e.ServeHTTP(w, req)
		c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	}

	c.Check(q.taken, qt.DeepEquals, []string{"first", "first"})
	c.Check(q.returned, qt.DeepEquals, q.taken)
}

// Guards against another status than 429 beyond the limit, and against refused callers that come back all at once or
// before there is a credit.
func TestRefusalBeyondTheLimit(t *testing.T) {
	c := qt.New(t)
	e := newQuotaEntry(tenantRules(c), &stubQuota{})
	delays := map[string]bool{}

	for i := range 100 {
		req := httptest.NewRequest(http.MethodGet, "http://a.example/closed/", nil)
		req.Header.Set("Id", fmt.Sprint(i))
		req.Header.Set("My-Key", firstKey)

		w := httptest.NewRecorder()
		e.ServeHTTP(w, req)
		c.Assert(w.Code, qt.Equals, http.StatusTooManyRequests)
		c.Check(w.Body.String(), qt.Equals, "quota\n")

		after := w.Header().Get("Retry-After")
		seconds, err := strconv.ParseFloat(after, 64)
		c.Assert(err, qt.IsNil)
		c.Check(seconds >= 0.3 && seconds <= 0.8, qt.IsTrue, qt.Commentf(after))

		delays[after] = true
	}

	c.Check(len(delays) > 50, qt.IsTrue, qt.Commentf("%d different delays", len(delays)))
}
