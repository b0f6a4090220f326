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

// Guards against a caller that occupies a slot of the backend server by not reading its answer.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fileNodes+1, false)
		defer c.close()

		owner := c.vms[fileNodes]
		req, _ := http.NewRequest(http.MethodGet, "http://"+owner.httpListener.addr+"/s/k", nil)
		req.Header.Set("X-Fault", "large")

		resp, err := c.caller.RoundTrip(req)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(time.Second)
		qt.Assert(t, owner.limiter.Load().InFlight, qt.Equals, 0)

		// The memory of an answer that is never read is released after the write timeout, too.
		time.Sleep(time.Minute)

		n, err := resp.Body.Read(make([]byte, 1<<20))
		for err == nil {
			n, err = resp.Body.Read(make([]byte, 1<<20))
		}

		qt.Assert(t, err, qt.ErrorMatches, "unexpected EOF", qt.Commentf("%d bytes", n))
	})
}

// Guards against canceling a non-idempotent run when its caller disconnects, and against a second run when the
// caller sends the request again.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fileNodes+1, false)
		defer c.close()

		token := issueToken(c)
		ctx, cancel := context.WithTimeout(t.Context(), workTime/2)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.vms[0].httpListener.addr+"/s/k/x",
			strings.NewReader("pledge"))
		req.Header.Set(spar.HeaderToken, token)

		_, err := c.caller.RoundTrip(req)
		cancel()
		qt.Assert(t, err, qt.IsNotNil)

		status, _, _, _ := c.send(1, http.MethodPost, "/s/k/x", token, "")
		qt.Assert(t, status, qt.Equals, http.StatusOK)
		qt.Assert(t, c.runs.tokens[token], qt.Equals, 1)

		// An idempotent call is canceled when its caller disconnects.
		ctx, cancel = context.WithTimeout(t.Context(), workTime)
		req, _ = http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.vms[0].httpListener.addr+"/s/k/x", nil)
		req.Header.Set("X-Fault", "late")

		_, err = c.caller.RoundTrip(req)
		cancel()
		qt.Assert(t, err, qt.IsNotNil)
		synctest.Wait()
		qt.Assert(t, c.runs.canceled, qt.Equals, 1)
	})
}

// Guards against runs that continue after their node has lost ownership of the slot.
func TestOwnershipLostDuringRun(t *testing.T) {
	for name, loseOwnership := range map[string]func(c *cluster, owner *vm){
		"lease ends": func(_ *cluster, owner *vm) { owner.lease.stop() },
		"slot is reassigned": func(c *cluster, _ *vm) {
			c.assign(func(g spar.Segment) spar.Segment {
				for slot := range spar.Slot(keyedService.Slots) {
					g = g.WithAssignment(slot, g.At(slot).WithTakeover("other.1"))
				}

				return g
			}, nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(fileNodes+1, false)
				defer c.close()

				token := issueToken(c)
				began := time.Now()

				time.AfterFunc(workTime*2, func() { loseOwnership(c, c.vms[fileNodes]) })

				status, outcome, _, _ := c.send(0, http.MethodPost, "/s/k/x", token, "late")
				qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusBadGateway, "unknown"})
				qt.Assert(t, time.Since(began) < 2*workTime+leaseTime.Duration()+time.Millisecond, qt.IsTrue)
				synctest.Wait()
				qt.Assert(t, c.runs.canceled, qt.Equals, 1)
			})
		})
	}
}

// Guards against a call that runs after its node lost ownership of the slot while the call waited for admission.
func TestOwnershipLostInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fileNodes+1, false)
		defer c.close()

		owner := c.vms[fileNodes]
		owner.guard.SetBackend(&guard.Backend{Addr: owner.backendListener.addr, ChecksGrants: true})

		token := issueToken(c)

		for range 8 {
			go c.send(0, http.MethodGet, "/s/k/x", "", "late")
		}

		time.Sleep(workTime)
		time.AfterFunc(workTime, owner.lease.stop)

		_, outcome, _, _ := c.send(fileNodes, http.MethodPost, "/s/k/x", token, "")

		c.runs.mu.Lock()
		runs := c.runs.tokens[token]
		c.runs.mu.Unlock()

		qt.Assert(t, outcome, qt.Equals, "not_run")
		qt.Assert(t, runs, qt.Equals, 0)
	})
}
