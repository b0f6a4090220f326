package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/budget"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/rules"
)

const bodyLimit = 1 << 20

// newEntry returns an Entry with a memory budget whose requests are refused once their bodies have been read.
func newEntry(t *testing.T, memory *budget.Budget) *entry.Entry {
	t.Helper()

	set, err := rules.New(1, []rules.Rule{{
		Name: "r", Host: "a.example", Prefix: "/a/", Kind: rules.Unsafe, Timeout: 1000,
		Destinations: []rules.Destination{{Service: "desk", Weight: 1}},
	}}, []rules.Service{{Name: "desk"}}, rules.Limits{})
	qt.Assert(t, err, qt.IsNil)

	return entry.New(entry.Settings{
		Names: spar.HeaderNames{RequestID: "Id"}, MaxRulesAge: 1500, MaxBodyBytes: bodyLimit,
	}, entry.Deps{
		Clock: spar.RuntimeClock(), Log: log.New(io.Discard), Rules: func() *rules.Set { return set },
		Closed: func() bool { return false }, Closing: func() bool { return false }, Maps: owner.NewMaps(),
		RulesLag:    func() (spar.Millis, bool) { return 0, false },
		Quarantined: func(gate.Request) (spar.Millis, bool) { return 2000, true },
		Memory:      memory,
	})
}

// post sends a request with a body to a handler. A body without a length is sent in chunks.
func post(h http.Handler, body io.Reader, length int64) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, "http://a.example/a/", body)
	req.ContentLength = length
	req.Header.Set("Id", "1")

	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)

	return w
}

// Guards against a body that takes a multiple of its length in memory while it is read.
func TestBodyIsAllocatedOnce(t *testing.T) {
	e := newEntry(t, nil)
	body := strings.Repeat("b", bodyLimit)

	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)
	w := post(e, strings.NewReader(body), bodyLimit)
	runtime.ReadMemStats(&after)

	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, strings.TrimSpace(w.Body.String()), qt.Equals, string(spar.ReasonQuarantined))

	allocated := after.TotalAlloc - before.TotalAlloc
	qt.Check(t, allocated < 3*bodyLimit/2, qt.IsTrue, qt.Commentf("%d bytes for a body of %d", allocated, bodyLimit))
}

// Guards against a body whose buffer grows without asking the budget, and against memory that stays taken after the
// request.
func TestGrowingBodyAsksForMemory(t *testing.T) {
	body := strings.Repeat("b", bodyLimit)

	for _, tt := range []struct {
		total  int64
		reason string
	}{
		{bodyLimit / 2, "no memory for the body"},
		{4 * bodyLimit, string(spar.ReasonQuarantined)},
	} {
		memory := budget.New(tt.total, 1)
		w := post(newEntry(t, memory), strings.NewReader(body), -1)
		qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, strings.TrimSpace(w.Body.String()), qt.Equals, tt.reason)
		qt.Check(t, w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		qt.Check(t, memory.Held(), qt.Equals, int64(0))
	}
}

// Guards against reading a body that is longer than the limit, and one that is cut, as a complete one.
func TestBodyLengths(t *testing.T) {
	e := newEntry(t, budget.New(8*bodyLimit, 1))
	body := strings.Repeat("b", bodyLimit)

	for _, length := range []int64{bodyLimit + 1, -1} {
		w := post(e, strings.NewReader(body+"b"), length)
		qt.Check(t, w.Code, qt.Equals, http.StatusRequestEntityTooLarge, qt.Commentf("length %d", length))
	}

	w := post(e, strings.NewReader(body), -1)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)

	w = post(e, strings.NewReader(body[1:]), bodyLimit)
	qt.Check(t, w.Code, qt.Equals, http.StatusBadRequest)
}

// Guards against reading a request of another node for which there is no memory. The refusal must let that node send
// the request elsewhere.
func TestInboundWithoutMemory(t *testing.T) {
	clock := spar.RuntimeClock()
	link := pace.New(clock, 0)
	memory := budget.New(20_000, 1)
	l := log.New(io.Discard)
	inbound := entry.NewInbound(bodyLimit, entry.InboundDeps{
		Clock: clock, Gate: gate.New(gate.Settings{}, gate.Deps{Clock: clock, Link: link, Log: l}), Link: link, Log: l,
		Memory: memory,
	})

	w := post(inbound, iotest.ErrReader(io.ErrClosedPipe), 30_000)
	qt.Check(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, w.Header().Get(spar.HeaderOutcome), qt.Equals, string(spar.OutcomeNotRun))
	qt.Check(t, w.Header().Get(spar.HeaderReason), qt.Equals, string(spar.ReasonMemory))
	qt.Check(t, memory.Held(), qt.Equals, int64(0))
	qt.Check(t, memory.Refused(), qt.Equals, int64(1))

	// With room, the request fails only later: its header has no deadline.
	w = post(inbound, strings.NewReader("b"), 1)
	qt.Check(t, w.Header().Get(spar.HeaderReason), qt.Equals, string(spar.ReasonBadRequest))

	// The memory of a head with many lines counts too.
	req := httptest.NewRequest(http.MethodGet, "http://a.example/a/", nil)
	for _, c := range "abcdefghijklmnopqrstuvwxyz" {
		for _, d := range "abc" {
			req.Header.Set(string(c)+string(d), "")
		}
	}

	lines := httptest.NewRecorder()
	inbound.ServeHTTP(lines, req)
	qt.Check(t, lines.Header().Get(spar.HeaderReason), qt.Equals, string(spar.ReasonMemory))
}
