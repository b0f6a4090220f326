package route_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/pick"
	"sardinespar.example/spar/route"
)

// upstreams answers each forwarded request with the next of its answers, and repeats the last one.
type upstreams struct {
	answers []reply

	mu   sync.Mutex
	sent []string
}

type reply struct {
	status  int
	outcome spar.Outcome
	reason  spar.Reason
}

var (
	completed = reply{http.StatusOK, spar.OutcomeCompleted, ""}
	shed      = reply{http.StatusTooManyRequests, spar.OutcomeNotRun, spar.ReasonShed}
	broken    = reply{http.StatusBadGateway, spar.OutcomeUnknown, spar.ReasonBroken}
)

func (u *upstreams) RoundTrip(r *http.Request) (*http.Response, error) {
	u.mu.Lock()
	defer u.mu.Unlock()

	a := u.answers[min(len(u.sent), len(u.answers)-1)]
	u.sent = append(u.sent, r.URL.Host)

	return &http.Response{
		StatusCode: a.status, Body: io.NopCloser(strings.NewReader("")), Header: http.Header{
			spar.HeaderOutcome: {string(a.outcome)}, spar.HeaderReason: {string(a.reason)},
			spar.HeaderRequest: {r.Header.Get(spar.HeaderRequest)}, spar.HeaderLoad: {"1/10/0"},
		},
	}, nil
}

// Serve replaces the guard of this node.
func (u *upstreams) Serve(_ context.Context, _ spar.Call) spar.Answer {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.sent = append(u.sent, "local")

	return spar.NotRun(http.StatusTooManyRequests, spar.ReasonShed, "")
}

// Guards against resends of calls that were forwarded by an entry node, resends beyond the budget, calls that
// break connections to more than two backend servers, and the outcome "not run" after an attempt that may have run.
func TestResend(t *testing.T) {
	for _, tt := range []struct {
		name    string
		answers []reply
		hop     bool
		share   float64
		calls   int
		sent    int
		outcome spar.Outcome
	}{
		{"shed, then another upstream", []reply{shed, completed}, false, 0.1, 1, 2, spar.OutcomeCompleted},
		{"shed everywhere", []reply{shed}, false, 0.1, 1, 3, spar.OutcomeNotRun},
		{"shed without a budget", []reply{shed}, false, 0, 1, 1, spar.OutcomeNotRun},
		{"the budget is spent", []reply{shed}, false, 0.1, 100, 100 + 19, spar.OutcomeNotRun},
		{"a call with the hop header", []reply{shed}, true, 0.1, 1, 1, spar.OutcomeNotRun},
		{"broken once", []reply{broken, completed}, false, 0.1, 1, 2, spar.OutcomeCompleted},
		{"broken twice", []reply{broken}, false, 0.1, 1, 2, spar.OutcomeUnknown},
		{"broken, then shed", []reply{broken, shed}, false, 0.1, 1, 3, spar.OutcomeUnknown},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				replica := fleet.NewReplica()
				service := fleet.Encode(spar.Service{Name: "s", Mode: spar.ModeAny})
				replica.Merge([]spar.Row{{Key: fleet.ServiceKey("s"), Revision: 1, Value: service}}, 1)

				for i := range 3 {
					n := spar.Node{
						ID: spar.NodeID(fmt.Sprintf("n%d.x", i)), Service: "s", HTTPAddr: fmt.Sprintf("n%d", i), State: spar.NodeLive,
					}
					replica.Merge([]spar.Row{{Key: fleet.NodeKey(n.ID), Revision: 1, Value: fleet.Encode(n)}}, 1)
				}

				net := &upstreams{answers: tt.answers}
				h := route.New(func() spar.NodeID { return "entry.x" }, replica, net, net,
					pick.NewRoundRobin(), spar.RuntimeClock())
				h.SetPolicy(&route.Policy{Resends: pick.NewBudget(tt.share)})

				var w *httptest.ResponseRecorder

				for range tt.calls {
					r := httptest.NewRequest(http.MethodGet, "/s/x", http.NoBody)
					if tt.hop {
						r.Header.Set(spar.HeaderHop, "1")
						r.Header.Set(spar.HeaderRequest, "a.1")
					}

					w = httptest.NewRecorder()
					h.ServeHTTP(w, r)
				}

				qt.Check(t, net.sent, qt.HasLen, tt.sent)
				qt.Check(t, spar.Outcome(w.Header().Get(spar.HeaderOutcome)), qt.Equals, tt.outcome)

				if w.Code == http.StatusTooManyRequests {
					qt.Check(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			})
		})
	}
}
