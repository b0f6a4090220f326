package route_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/guard"
)

// Guards against a caller that holds a slot of the backend server by not reading its answer.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(fileNodes+1, false)
		defer w.close()

		owner := w.vms[fileNodes]
		req, _ := http.NewRequest(http.MethodGet, "http://"+owner.http.addr+"/s/k", nil)
		req.Header.Set("X-Fault", "large")

		resp, err := w.caller.RoundTrip(req)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second)
		qt.Assert(t, owner.limiter.Load().InFlight, qt.Equals, 0)

		// A caller that never reads doesn't hold the answer's memory for good either.
		time.Sleep(time.Minute)

		n, err := resp.Body.Read(make([]byte, 1<<20))
		for err == nil {
			n, err = resp.Body.Read(make([]byte, 1<<20))
		}

		qt.Assert(t, err, qt.ErrorMatches, "unexpected EOF", qt.Commentf("%d bytes", n))
	})
}

// Guards against a run that ends with its caller's connection, and against a second run for the
// caller that comes back.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(fileNodes+1, false)
		defer w.close()

		token := fresh(w)
		ctx, cancel := context.WithTimeout(t.Context(), workTime/2)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.vms[0].http.addr+"/s/k/x",
			strings.NewReader("pledge"))
		req.Header.Set(spar.HeaderToken, token)

		_, err := w.caller.RoundTrip(req)
		cancel()
		qt.Assert(t, err, qt.IsNotNil)

		status, _, _, _ := w.ask(1, http.MethodPost, "/s/k/x", token, "")
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, w.runs.tokens[token], qt.Equals, 1)

		// An idempotent call is canceled with its caller.
		ctx, cancel = context.WithTimeout(t.Context(), workTime)
		req, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.vms[0].http.addr+"/s/k/x", nil)
		req.Header.Set("X-Fault", "late")

		_, err = w.caller.RoundTrip(req)
		cancel()
		qt.Assert(t, err, qt.IsNotNil)
		synctest.Wait()
		qt.Assert(t, w.runs.canceled, qt.Equals, 1)
	})
}

// Guards against runs that go on under an owner that is none any more.
func TestLapse(t *testing.T) {
	for name, lapse := range map[string]func(w *world, owner *vm){
		"lease ends": func(_ *world, owner *vm) { owner.lease.stop() },
		"slot is reassigned": func(w *world, _ *vm) {
			w.assign(func(g spar.Segment) spar.Segment {
				for slot := range spar.Slot(keyed.Slots) {
					g = g.With(slot, g.At(slot).Taken("other.1"))
				}

				return g
			}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(fileNodes+1, false)
				defer w.close()

				token := fresh(w)
				began := time.Now()

				time.AfterFunc(workTime*2, func() { lapse(w, w.vms[fileNodes]) })

				status, outcome, _, _ := w.ask(0, http.MethodPost, "/s/k/x", token, "late")
				qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusBadGateway, "unknown"})
				qt.Assert(t, time.Since(began) < 2*workTime+leaseTime.Duration()+time.Millisecond, qt.IsTrue)
				synctest.Wait()
				qt.Assert(t, w.runs.canceled, qt.Equals, 1)
			})
		})
	}
}

// Guards against a call that waited for admission and then runs under an owner that is none any more.
func TestLapseInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(fileNodes+1, false)
		defer w.close()

		owner := w.vms[fileNodes]
		owner.guard.Attach(&guard.Backend{Addr: owner.back.addr, ChecksGrants: true})

		token := fresh(w)

		for range 8 {
			go w.ask(0, http.MethodGet, "/s/k/x", "", "late")
		}

		time.Sleep(workTime)
		time.AfterFunc(workTime, owner.lease.stop)

		_, outcome, _, _ := w.ask(fileNodes, http.MethodPost, "/s/k/x", token, "")

		w.runs.mu.Lock()
		runs := w.runs.tokens[token]
		w.runs.mu.Unlock()

		qt.Assert(t, outcome, qt.Equals, "not_run")
		qt.Assert(t, runs, qt.Equals, 0)
	})
}
