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

// send sends a request to a node and returns the status, outcome, reason and token of the answer.
func (c *cluster) send(via int, method, uri, token, fault string) (int, string, string, string) {
	req, _ := http.NewRequest(method, "http://"+c.vms[via].httpListener.addr+uri, strings.NewReader("pledge"))
	req.Header.Set("X-Fault", fault)

	if token != "" {
		req.Header.Set(spar.HeaderToken, token)
	}

	resp, err := c.caller.RoundTrip(req)
	if err != nil {
		return 0, "", "", ""
	}

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	h := resp.Header

	return resp.StatusCode, h.Get(spar.HeaderOutcome), h.Get(spar.HeaderReason), h.Get(spar.HeaderToken)
}

// Guards against a request that crashes more than two backend servers when its caller sends it again through
// other nodes, and against the loss of a quarantine while the table is unavailable.
func TestCrashIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fileNodes+1, false)
		defer c.close()

		c.table.unavailable.Store(true)

		status, outcome, _, _ := c.send(fileNodes, http.MethodGet, "/f/x?1", "", "crash")
		qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusBadGateway, "unknown"})
		qt.Assert(t, c.runs.crashes, qt.Equals, 2)

		for via := range c.vms {
			status, outcome, reason, _ := c.send(via, http.MethodGet, "/f/x?2", "", "crash")
			qt.Assert(t, []any{status, outcome, reason}, qt.DeepEquals, []any{422, "not_run", "quarantined"})
		}

		qt.Assert(t, c.runs.crashes, qt.Equals, 2)

		c.table.unavailable.Store(false)
		time.Sleep(3 * time.Second)

		list := c.vms[0].crashes.List()
		qt.Assert(t, list, qt.HasLen, 1)
		qt.Assert(t, list[0].Victims, qt.HasLen, 2)

		rows, _, _ := c.table.Scan(t.Context(), fleet.PrefixQuarantine, 0)
		qt.Assert(t, rows, qt.HasLen, 1)
		qt.Assert(t, rows[0].Key, qt.Equals, crash.Key(list[0].Fingerprint))

		// A node that got no notification from its peers reads the quarantine from the table.
		lastNode := c.vms[fileNodes]
		qt.Assert(t, lastNode.crashes.Lift(list[0].Fingerprint), qt.IsNil)
		qt.Assert(t, lastNode.crashes.Lift(list[0].Fingerprint), qt.ErrorIs, crash.ErrNotFound)
		time.Sleep(time.Second)

		status, _, _, _ = c.send(fileNodes, http.MethodGet, "/f/x", "", "")
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	})
}

// Guards against a second run of a non-idempotent request that crashed its backend server.
func TestCrashOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fileNodes+3, false)
		defer c.close()

		_, _, _, token := c.send(0, http.MethodPost, "/s/k/x", "", "")
		status, outcome, _, _ := c.send(0, http.MethodPost, "/s/k/x", token, "crash")
		qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusBadGateway, "unknown"})

		owner := c.vms[c.runs.latest()]
		c.startBackend(owner, c.runs.latest())

		for via := range c.vms {
			status, outcome, _, _ = c.send(via, http.MethodPost, "/s/k/x", token, "crash")
			qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusConflict, "unknown"})

			_, _, _, unusedToken := c.send(via, http.MethodPost, "/s/k/x", "", "")
			status, outcome, _, _ = c.send(via, http.MethodPost, "/s/k/x", unusedToken, "crash")
			qt.Assert(t, []any{status, outcome}, qt.DeepEquals, []any{http.StatusUnprocessableEntity, "not_run"})
		}

		qt.Assert(t, c.runs.crashes, qt.Equals, 1)

		time.Sleep(11 * time.Minute)
		status, _, _, _ = c.send(1, http.MethodPost, "/s/k/x", issueToken(c), "")
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	})
}

// issueToken gets a new token for the key k.
func issueToken(c *cluster) string {
	_, _, _, token := c.send(0, http.MethodPost, "/s/k/x", "", "")

	return token
}

// Guards against the quarantine of requests that were merely in flight when another request crashed the server.
func TestInFlightCallsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(fileNodes+1, false)
		defer c.close()

		var all sync.WaitGroup

		for range 2 * fileNodes {
			all.Go(func() {
				status, _, _, _ := c.send(fileNodes, http.MethodGet, "/f/popular", "", "")
				qt.Check(t, status, qt.Equals, http.StatusOK)
			})
		}

		time.Sleep(workTime / 2)
		c.vms[0].backend.crash()
		all.Wait()
		time.Sleep(time.Second)
		qt.Assert(t, c.vms[1].crashes.List(), qt.HasLen, 0)
	})
}
