package route_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/pick"
	"sardinespar.example/spar/route"
)

// frozen responds for all hosts except one, which accepts requests and never responds.
type frozen struct {
	upstreams

	host string
}

func (f *frozen) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == f.host {
		traceConn(r)
		<-r.Context().Done()

		return nil, r.Context().Err()
	}

	return &http.Response{
		StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole")), ContentLength: 5,
		Header: http.Header{
			spar.HeaderOutcome: {string(spar.OutcomeCompleted)},
			spar.HeaderRequest: {r.Header.Get(spar.HeaderRequest)},
		},
	}, nil
}

// Guards against a request that waits at a frozen owner until its deadline although the slot has a new owner, and
// against a second run of a non-idempotent request.
func TestAttemptAtLostNodeCanceled(t *testing.T) {
	for _, tc := range []struct {
		method  string
		outcome spar.Outcome
	}{
		{http.MethodGet, spar.OutcomeCompleted},
		{http.MethodPost, spar.OutcomeUnknown},
	} {
		t.Run(tc.method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := spar.Service{Name: "s", Mode: spar.ModeKeyed, Slots: 1}
				replica := fleet.NewReplica()
				put := func(revision spar.Revision, key string, value any) {
					replica.Merge([]spar.Row{{Key: key, Revision: revision, Value: fleet.Encode(value)}}, revision)
				}
				owned := func(id spar.NodeID, epoch spar.Epoch) spar.Segment {
					return spar.NewSegment(service, 0).WithAssignment(0, spar.Assignment{Owner: id, Epoch: epoch, Base: epoch})
				}
				old := spar.Node{ID: "old.x", Service: "s", HTTPAddr: "old", State: spar.NodeLive}
				next := spar.Node{ID: "new.x", Service: "s", HTTPAddr: "new", State: spar.NodeLive}

				put(1, fleet.ServiceKey("s"), service)
				put(2, fleet.NodeKey(old.ID), old)
				put(3, fleet.NodeKey(next.ID), next)
				put(4, fleet.SegmentKey("s", 0), owned(old.ID, 1))

				net := &frozen{host: "old"}
				h := route.New(func() spar.NodeID { return "entry.x" }, replica, net, net,
					pick.NewRoundRobin(), spar.RuntimeClock())

				time.AfterFunc(time.Second, func() {
					put(5, fleet.NodeKey(old.ID), old.WithState(spar.NodeLost))
					put(6, fleet.SegmentKey("s", 0), owned(next.ID, 2))
				})

				began := time.Now()
				w := httptest.NewRecorder()
				r := httptest.NewRequest(tc.method, "/s/k", http.NoBody)
				r.Header.Set(spar.HeaderToken, "t")
				h.ServeHTTP(w, r)

				qt.Check(t, spar.Outcome(w.Header().Get(spar.HeaderOutcome)), qt.Equals, tc.outcome)
				qt.Check(t, time.Since(began) < 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
			})
		})
	}
}

// traceConn reports to the request's client trace that the request got a connection.
func traceConn(r *http.Request) {
	if t := httptrace.ContextClientTrace(r.Context()); t != nil {
		t.GotConn(httptrace.GotConnInfo{})
	}
}

// Guards against truncating the answer to a slow caller because the node that sent it has been marked as lost in the
// meantime.
func TestAnswerCompleteAfterNodeLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := spar.Service{Name: "s", Mode: spar.ModeKeyed, Slots: 1}
		replica := fleet.NewReplica()
		put := func(revision spar.Revision, key string, value any) {
			replica.Merge([]spar.Row{{Key: key, Revision: revision, Value: fleet.Encode(value)}}, revision)
		}
		node := spar.Node{ID: "old.x", Service: "s", HTTPAddr: "old", State: spar.NodeLive}

		put(1, fleet.ServiceKey("s"), service)
		put(2, fleet.NodeKey(node.ID), node)
		put(3, fleet.SegmentKey("s", 0),
			spar.NewSegment(service, 0).WithAssignment(0, spar.Assignment{Owner: node.ID, Epoch: 1}))

		net := &slowBody{}
		h := route.New(func() spar.NodeID { return "entry.x" }, replica, net, net,
			pick.NewRoundRobin(), spar.RuntimeClock())

		time.AfterFunc(time.Second, func() { put(4, fleet.NodeKey(node.ID), node.WithState(spar.NodeLost)) })

		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/s/k", http.NoBody))
		qt.Check(t, w.Body.String(), qt.Equals, "whole")
	})
}

// slowBody responds with a body that ends after 5 s, unless the request is canceled.
type slowBody struct{ upstreams }

func (s *slowBody) RoundTrip(r *http.Request) (*http.Response, error) {
	traceConn(r)

	return &http.Response{
		StatusCode: http.StatusOK, ContentLength: 5, Body: &lateBody{ctx: r.Context(), text: "whole"},
		Header: http.Header{
			spar.HeaderOutcome: {string(spar.OutcomeCompleted)},
			spar.HeaderRequest: {r.Header.Get(spar.HeaderRequest)},
		},
	}, nil
}

type lateBody struct {
	ctx  context.Context //nolint:containedctx // a body's reads end with its request
	text string
}

func (l *lateBody) Read(p []byte) (int, error) {
	select {
	case <-l.ctx.Done():
		return 0, l.ctx.Err()
	case <-time.After(5 * time.Second):
	}

	n := copy(p, l.text)
	l.text = l.text[n:]

	return n, io.EOF
}

func (l *lateBody) Close() error { return nil }
