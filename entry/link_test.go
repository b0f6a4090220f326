package entry_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/pace"
)

// Guards against a request that waits on this VM's busy link until its caller has left, and that the server runs for
// nobody: it is refused at once, with the time after which the link is free, and a request with enough time is served.
func TestBusyLinkRefusesWhatWouldBeLate(t *testing.T) {
	const (
		// rate is the rate of the link in bytes per millisecond.
		rate    = 100
		backlog = 1000 * rate
		// atOnce is much less than the deadline of the requests that are refused.
		atOnce = 200 * time.Millisecond
	)

	c := qt.New(t)
	link := pace.New(spar.RuntimeClock(), rate)

	var reached atomic.Int32

	addr := startEntryOn(c, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		partialNode(w, r)
	}), link)

	get := func(id string, deadline int) *http.Response {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr+"/long/?length=9&first=9", nil)
		c.Assert(err, qt.IsNil)

		r.Host = "a.example"
		r.Header.Set("Id", id)
		r.Header.Set("Deadline-Ms", strconv.Itoa(deadline))

		resp, err := http.DefaultClient.Do(r)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.Body.Close(), qt.IsNil)

		return resp
	}

	c.Assert(get("idle", 400).StatusCode, qt.Equals, http.StatusOK)

	link.Record(backlog)

	start := time.Now()
	resp := get("late", 400)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(time.Since(start) < atOnce, qt.IsTrue)
	c.Check(reached.Load(), qt.Equals, int32(1))

	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	c.Check(after > 0.7 && after <= 1, qt.IsTrue, qt.Commentf("Retry-After %g", after))

	c.Check(get("in time", 3000).StatusCode, qt.Equals, http.StatusOK)
	c.Check(reached.Load(), qt.Equals, int32(2))
}
