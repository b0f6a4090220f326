package entry_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/rules"
	"sardinespar.example/spar/tally"
)

// The API keys of the tenants in tenantRules.
const (
	firstKey  = "828m82thhkmgjqnirth5"
	secondKey = "r5u4c9b1"
)

// tenantRules returns rules with a public and another rule, both of priority 2, and with tenants of which the first has
// priority 0.
func tenantRules(c *qt.C) *rules.Set {
	c.Helper()

	rule := rules.Rule{
		Name: "closed", Host: "a.example", Prefix: "/closed/", Kind: rules.Safe, Timeout: 1000, Priority: 2,
		Destinations: []rules.Destination{{Service: "desk", Weight: 1}},
	}
	public := rule
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	highest := 0

	set, err := rules.New(1, []rules.Rule{rule, public}, []rules.Service{{Name: "desk"}}, rules.Limits{})
	c.Assert(err, qt.IsNil)

	set, err = set.WithTenants([]rules.Tenant{
		{Name: "first", Keys: []string{firstKey}, Priority: &highest}, {Name: "second", Keys: []string{secondKey}},
	})
	c.Assert(err, qt.IsNil)

	return set
}

// tenantEntry is an entry that refuses all requests that it would route. routed holds the last of these.
type tenantEntry struct {
	*entry.Entry

	routed *gate.Request
	log    bytes.Buffer
	tally  *tally.Tally
}

// newTenantEntry returns an entry whose rules are as old as lag.
func newTenantEntry(set *rules.Set, lag spar.Millis) *tenantEntry {
	e := &tenantEntry{tally: tally.New()}
	e.Entry = entry.New(entry.Settings{
		Names:       spar.HeaderNames{RequestID: "Id", APIKey: "My-Key", Tenant: "My-Tenant"},
		MaxRulesAge: 1500, MaxBodyBytes: 1000,
	}, entry.Deps{
		Clock: spar.RuntimeClock(), Log: log.New(&e.log), Rules: func() *rules.Set { return set }, Tally: e.tally,
		Maps:   owner.NewMaps(),
		Closed: func() bool { return false }, Closing: func() bool { return false },
		RulesLag: func() (spar.Millis, bool) { return lag, lag > 0 },
		Quarantined: func(req gate.Request) (spar.Millis, bool) {
			e.routed = &req

			return 1000, true
		},
	})

	return e
}

// serve serves a request with the given header.
func (e *tenantEntry) serve(path string, header http.Header) *httptest.ResponseRecorder {
	e.routed = nil
	req := httptest.NewRequest(http.MethodGet, "http://a.example"+path, nil)
	req.Header = header.Clone()
	req.Header.Set("Id", "1")

	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)

	return w
}

// unauthorized returns the number of requests that were answered with 401.
func (e *tenantEntry) unauthorized() string {
	w := httptest.NewRecorder()
	e.tally.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))

	for line := range strings.Lines(w.Body.String()) {
		if value, ok := strings.CutPrefix(line, "spar_entry_unauthorized_total "); ok {
			return strings.TrimSpace(value)
		}
	}

	return "0"
}

// Guards against serving a request without a valid key, refusing one that needs none, and taking a request for that of
// another tenant or priority.
func TestKeyIdentifiesTenant(t *testing.T) {
	c := qt.New(t)
	e := newTenantEntry(tenantRules(c), 0)
	refused := 0

	for name, tt := range map[string]struct {
		keys         []string
		open, closed bool
		tenant       string
		priority     int
	}{
		"first":       {keys: []string{firstKey}, open: true, closed: true, tenant: "first", priority: 0},
		"second":      {keys: []string{secondKey}, open: true, closed: true, tenant: "second", priority: 2},
		"none":        {open: true, priority: 2},
		"unknown":     {keys: []string{"other"}, open: true, priority: 2},
		"empty":       {keys: []string{""}, open: true, priority: 2},
		"scheme":      {keys: []string{"Bearer " + firstKey}, open: true, priority: 2},
		"upper case":  {keys: []string{strings.ToUpper(firstKey)}, open: true, priority: 2},
		"list":        {keys: []string{firstKey + "," + firstKey}, open: true, priority: 2},
		"twice":       {keys: []string{firstKey, firstKey}, open: true, priority: 2},
		"two tenants": {keys: []string{firstKey, secondKey}, open: true, priority: 2},
		"two, empty":  {keys: []string{"", firstKey}, open: true, priority: 2},
	} {
		for path, served := range map[string]bool{"/public/": tt.open, "/closed/": tt.closed} {
			comment := qt.Commentf("%s %s", name, path)
			header := http.Header{}

			if tt.keys != nil {
				header["My-Key"] = tt.keys
			}

			w := e.serve(path, header)
			c.Check(w.Code == http.StatusUnauthorized, qt.Equals, !served, comment)
			c.Check(e.routed != nil, qt.Equals, served, comment)

			if !served {
				refused++

				c.Check(w.Header().Get("Retry-After"), qt.Equals, "", comment)

				continue
			}

			c.Check(e.routed.Tenant, qt.Equals, tt.tenant, comment)
			c.Check(e.routed.Priority, qt.Equals, tt.priority, comment)
		}
	}

	c.Check(e.unauthorized(), qt.Equals, fmt.Sprint(refused))
	c.Check(e.log.String(), qt.Contains, "request rejected")

	for _, key := range []string{firstKey, secondKey, strings.ToUpper(firstKey)} {
		c.Check(strings.Contains(e.log.String(), key), qt.IsFalse)
	}
}

// Guards against passing on the key, or a tenant's name that the caller sent, under a spelling that a server may take
// for the header, with and without tenants in the rules.
func TestTenantHeadersAreNotAcceptedFromCaller(t *testing.T) {
	c := qt.New(t)
	plain, err := rules.New(1, []rules.Rule{{
		Name: "closed", Host: "a.example", Prefix: "/closed/", Kind: rules.Safe, Timeout: 1000, Priority: 2,
		Destinations: []rules.Destination{{Service: "desk", Weight: 1}},
	}}, []rules.Service{{Name: "desk"}}, rules.Limits{})
	c.Assert(err, qt.IsNil)

	for _, tt := range []struct {
		set    *rules.Set
		tenant string
	}{{tenantRules(c), "second"}, {plain, ""}} {
		e := newTenantEntry(tt.set, 0)
		e.serve("/closed/", http.Header{
			"My-Key": {secondKey}, "my-key": {"a"}, "My_key": {"a"}, "MY_KEY": {"a"}, "my_KEY": {"a"},
			"My-Tenant": {"first"}, "My_tenant": {"first"}, "MY-TENANT": {"first"}, "my_tenant": {"first"},
			"Spar-Tenant": {"first"}, "My-Keys": {"kept"}, "My--Key": {"kept"}, "Mykey": {"kept"},
		})
		c.Assert(e.routed, qt.IsNotNil)
		c.Check(e.routed.Tenant, qt.Equals, tt.tenant)
		c.Check(e.routed.Header, qt.DeepEquals, http.Header{
			"Id": {"1"}, "My-Keys": {"kept"}, "My--Key": {"kept"}, "Mykey": {"kept"},
		})
	}
}

// Guards against a final refusal on the basis of rules that a peer has replaced: the newer ones may contain the key.
func TestStaleRulesRefuseNoKey(t *testing.T) {
	c := qt.New(t)

	for lag, want := range map[spar.Millis]int{0: http.StatusUnauthorized, 10: http.StatusServiceUnavailable} {
		e := newTenantEntry(tenantRules(c), lag)
		w := e.serve("/closed/", http.Header{"My-Key": {"new"}})
		c.Check(w.Code, qt.Equals, want)
		c.Check(w.Header().Get("Retry-After") != "", qt.Equals, lag > 0)
		c.Check(e.routed, qt.IsNil)
		c.Check(e.unauthorized() == "1", qt.Equals, lag == 0)
	}
}

// unreadBody is a request's body that records whether it was read.
type unreadBody struct{ read bool }

// Read records that the body was read.
func (b *unreadBody) Read([]byte) (int, error) {
	b.read = true

	return 0, io.EOF
}

// Guards against a request without a valid key that makes the entry wait for its body and hold it.
func TestMissingKeyIsRefusedBeforeBody(t *testing.T) {
	c := qt.New(t)
	e := newTenantEntry(tenantRules(c), 0)

	for key, want := range map[string]int{"unknown": http.StatusUnauthorized, firstKey: http.StatusServiceUnavailable} {
		body := &unreadBody{}
		req := httptest.NewRequest(http.MethodPost, "http://a.example/closed/", body)
		req.Header.Set("Id", "1")
		req.Header.Set("My-Key", key)

		w := httptest.NewRecorder()
		e.ServeHTTP(w, req)
		c.Check(w.Code, qt.Equals, want)
		c.Check(body.read, qt.Equals, key == firstKey)
	}
}
