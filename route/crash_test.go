package route_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/fleet"
)

// ask sends a request to a node and returns status, outcome, reason and token.
func (w *world) ask(via int, method, uri, token, fault string) (int, string, string, string) {
	req, _ := http.NewRequest(method, "http://"+w.vms[via].http.addr+uri, strings.NewReader("pledge"))
	req.Header.Set("X-Fault", fault)

	if token != "" {
		req.Header.Set(spar.HeaderToken, token)
	}

	resp, err := w.caller.RoundTrip(req)
	if err != nil {
		return 0, "", "", ""
	}

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	h := resp.Header

	return resp.StatusCode, h.Get(spar.HeaderOutcome), h.Get(spar.HeaderReason), h.Get(spar.HeaderToken)
}

// Guards against a request that costs backend servers one after the other, from whichever node its
// caller sends it again, and against a quarantine that is lost while the table is out.
func TestCrashIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(fileNodes+1, false)
		defer w.close()

		w.table.out.Store(true)

		status, outcome, _, _ := w.ask(fileNodes, http.MethodGet, "/f/x?1", "", "crash")
		qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusBadGateway, "unknown"})
		qt.Assert(t, w.runs.crashes, qt.Equals, 2)

		for via := range w.vms {
			status, outcome, reason, _ := w.ask(via, http.MethodGet, "/f/x?2", "", "crash")
			qt.Assert(t, []any{status, outcome, reason}, qt.DeepEquals, []any{422, "not_run", "quarantined"})
		}

		qt.Assert(t, w.runs.crashes, qt.Equals, 2)

		w.table.out.Store(false)
		time.Sleep(3 * time.Second)

		list := w.vms[0].crashes.List()
		qt.Assert(t, list, qt.HasLen, 1)
		qt.Assert(t, list[0].Victims, qt.HasLen, 2)

		rows, _, _ := w.table.Scan(t.Context(), fleet.PrefixQuarantine, 0)
		qt.Assert(t, rows, qt.HasLen, 1)
		qt.Assert(t, rows[0].Key, qt.Equals, crash.Key(list[0].Fingerprint))

		// A node that hears nothing from its peers learns of it from the table.
		late := w.vms[fileNodes]
		qt.Assert(t, late.crashes.Lift(list[0].Fingerprint), qt.IsNil)
		qt.Assert(t, late.crashes.Lift(list[0].Fingerprint), qt.ErrorIs, crash.ErrNotFound)
		time.Sleep(time.Second)

		status, _, _, _ = w.ask(fileNodes, http.MethodGet, "/f/x", "", "")
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	})
}

// Guards against a second run of a non-idempotent request that crashed its backend server.
func TestCrashOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(fileNodes+3, false)
		defer w.close()

		_, _, _, token := w.ask(0, http.MethodPost, "/s/k/x", "", "")
		status, outcome, _, _ := w.ask(0, http.MethodPost, "/s/k/x", token, "crash")
		qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusBadGateway, "unknown"})

		owner := w.vms[w.runs.latest()]
		w.boot(owner, w.runs.latest())

		for via := range w.vms {
			status, outcome, _, _ = w.ask(via, http.MethodPost, "/s/k/x", token, "crash")
			qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusConflict, "unknown"})

			_, _, _, fresh := w.ask(via, http.MethodPost, "/s/k/x", "", "")
			status, outcome, _, _ = w.ask(via, http.MethodPost, "/s/k/x", fresh, "crash")
			qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusUnprocessableEntity, "not_run"})
		}

		qt.Assert(t, w.runs.crashes, qt.Equals, 1)

		time.Sleep(11 * time.Minute)
		status, _, _, _ = w.ask(1, http.MethodPost, "/s/k/x", fresh(w), "")
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	})
}

func fresh(w *world) string {
	_, _, _, token := w.ask(0, http.MethodPost, "/s/k/x", "", "")

	return token
}

// Guards against a quarantine of requests that were only in flight beside the crashing one.
func TestCrashBystander(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(fileNodes+1, false)
		defer w.close()

		var all sync.WaitGroup

		for range 2 * fileNodes {
			all.Go(func() {
				status, _, _, _ := w.ask(fileNodes, http.MethodGet, "/f/popular", "", "")
				qt.Check(t, status, qt.Equals, http.StatusOK)
			})
		}

		time.Sleep(workTime / 2)
		w.vms[0].backend.crash()
		all.Wait()
		time.Sleep(time.Second)
		qt.Assert(t, w.vms[1].crashes.List(), qt.HasLen, 0)
	})
}
