package gate_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/rules"
)

// Guards against a backend server that receives a caller's API key, or a tenant that the caller names itself, when an
// entry node of an earlier build has not removed them.
func TestServerReceivesTenantButNoKey(t *testing.T) {
	c := qt.New(t)

	var received http.Header

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set("Id", r.Header.Get("Id"))
	}))
	t.Cleanup(server.Close)

	clock := spar.RuntimeClock()
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}
	g := gate.New(gate.Settings{
		Addr:             strings.TrimPrefix(server.URL, "http://"),
		Names:            spar.HeaderNames{RequestID: "Id", APIKey: "My-Key", Tenant: "My-Tenant"},
		MaxBufferedBytes: 1000,
	}, gate.Deps{
		Clock: clock, Pool: conns.New(dial, clock, conns.Options{MaxIdle: 1, IdleTimeout: 1000}), Log: log.New(io.Discard),
		Link: pace.New(clock, 0), Rules: func() *rules.Set { return nil }, Closed: func() bool { return false },
	})
	g.Update(func(u gate.Upstream) gate.Upstream {
		u.Incarnation, u.Service, u.Slots, u.Ready = spar.Incarnation{ID: "i", StartedMs: 1}, "desk", 1, true

		return u
	})

	for _, tenant := range []string{"first", ""} {
		r := g.Serve(t.Context(), gate.Request{
			ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Service: "desk", Key: gate.NoKey, Kind: rules.Safe,
			Deadline: clock.Now() + 10_000, Objective: clock.Now() + 10_000, Tenant: tenant, Header: http.Header{
				"My-Key": {"secret"}, "my-key": {"secret"}, "MY_Key": {"secret"}, "My-Tenant": {"forged"},
				"my_tenant": {"forged"}, "Other": {"kept"},
			},
		})
		c.Assert(r.Outcome, qt.Equals, spar.OutcomeCompleted, qt.Commentf(r.Detail))
		_ = r.Body.Close()

		want := http.Header{"Id": {"1"}, "Other": {"kept"}}
		if tenant != "" {
			want["My-Tenant"] = []string{tenant}
		}

		c.Check(received, qt.DeepEquals, want)
	}
}
