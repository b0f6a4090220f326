package route_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/internal/prop"
)

func TestMain(m *testing.M) {
	prop.Main(m, 1, 150, 0)
}

// step is one action of a script.
type step struct {
	op    string
	key   string
	via   int
	other int
	fault string
	wait  time.Duration
}

func drawStep(t *rapid.T) step {
	return step{
		op: rapid.SampledFrom([]string{
			"post", "post", "post", "get", "resend", "resend", "resend", "move", "wait", "wait", "kill", "takeover",
		}).Draw(t, "op"),
		key:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
		via:   rapid.IntRange(0, 5).Draw(t, "via"),
		other: rapid.IntRange(0, 20).Draw(t, "other"),
		fault: rapid.SampledFrom([]string{
			"", "", "", "lose", "lose, shed", "cut", "cross", "cross hop", "late", "large", "large cut", "shed",
		}).Draw(t, "fault"),
		wait: time.Duration(rapid.SampledFrom([]int{1, 50, 110, 1000, 2500}).Draw(t, "wait")) * time.Millisecond,
	}
}

// request is what a caller sends, again and again under the same token.
type request struct {
	method string
	uri    string
	body   string
	token  string
}

// oracle judges the answers against what the backend servers ran.
type oracle struct {
	mu        sync.Mutex
	requests  []request
	next      map[string]string
	notRun    map[string]string
	completed map[string]bool
	dead      map[string]bool
	faults    []string
	counts    map[string]int
}

func (o *oracle) fail(format string, args ...any) {
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// call sends the request to a node and judges the answer; it returns the answer's token.
func (w *world) call(o *oracle, via int, r request, fault string) string {
	o.mu.Lock()
	wasDead := o.dead[r.token]
	o.mu.Unlock()

	req, _ := http.NewRequest(r.method, "http://"+w.vms[via].http.addr+r.uri, strings.NewReader(r.body))
	req.Header.Set(spar.HeaderDeadline, "2000")
	req.Header.Set("X-Fault", fault)
	// The transports must not take this header for leave to send the request twice.
	req.Header.Set("Idempotency-Key", "k")

	if r.token != "" {
		req.Header.Set(spar.HeaderToken, r.token)
	}

	resp, err := w.caller.RoundTrip(req)
	if err != nil {
		return ""
	}

	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()

	o.mu.Lock()
	defer o.mu.Unlock()

	token := resp.Header.Get(spar.HeaderToken)

	if err != nil {
		o.counts["aborted"]++

		return ""
	}

	outcome := resp.Header.Get(spar.HeaderOutcome)
	o.counts[outcome]++

	switch outcome {
	case string(spar.OutcomeCompleted):
		o.judge(resp, r, body)
		o.completed[r.token] = true

		if wasDead || r.token != "" && token == "" {
			o.fail("%v completed after unknown: %v, next token %q", r, wasDead, token)
		}
	case string(spar.OutcomeNotRun):
		o.notRun[resp.Header.Get(spar.HeaderRequest)] = string(body)

		// A token that its owner issued for this key is never taken for a wrong one: its caller would
		// believe that the request did not run before.
		if r.token != "" && resp.StatusCode >= 400 && resp.StatusCode < 429 {
			o.fail("%v was refused with status %d: %s", r, resp.StatusCode, body)
		}
	default:
		o.dead[r.token] = o.dead[r.token] || resp.StatusCode == http.StatusConflict
	}

	return token
}

// judge checks that a completed answer is whole and belongs to its request.
func (o *oracle) judge(resp *http.Response, r request, body []byte) {
	if resp.StatusCode == http.StatusGone && resp.Header.Get(spar.HeaderReason) == string(spar.ReasonNotKept) {
		o.counts["not kept"]++

		return
	}

	if resp.StatusCode != http.StatusOK || !bytes.Equal(body, content(r.method, r.uri, []byte(r.body), 100)) &&
		!bytes.Equal(body, content(r.method, r.uri, []byte(r.body), 100<<10)) {
		o.fail("%v answered by %d bytes: %.60q", r, len(body), body)
	}
}

// post sends a new request, after it got a token.
func (w *world) post(o *oracle, s step) {
	o.mu.Lock()
	token := o.next[s.key]
	delete(o.next, s.key)
	r := request{http.MethodPost, fmt.Sprintf("/s/%s/%d", s.key, len(o.requests)), "pledge", token}
	o.requests = append(o.requests, r)
	n := len(o.requests) - 1
	o.mu.Unlock()

	for range 3 {
		if r.token == "" {
			r.token = w.call(o, s.via, r, "")
		}
	}

	o.mu.Lock()
	o.requests[n] = r
	o.mu.Unlock()

	if r.token != "" {
		token = w.call(o, s.via, r, s.fault)
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	if token != "" && token != r.token {
		o.next[s.key] = token
	}
}

func (w *world) step(o *oracle, calls *sync.WaitGroup, s step) {
	slot := keyed.SlotOf(s.key)
	late := func(v *vm) bool { return v == w.vms[s.other%len(w.vms)] }
	target := w.vms[fileNodes+s.other%(len(w.vms)-fileNodes)]

	switch s.op {
	case "post":
		calls.Go(func() { w.post(o, s) })
	case "get":
		r := request{http.MethodGet, "/s/" + s.key + "/x", "", ""}
		calls.Go(func() { w.call(o, s.via, r, s.fault) })
	case "resend":
		o.mu.Lock()
		defer o.mu.Unlock()

		if len(o.requests) > 0 {
			if r := o.requests[s.other%len(o.requests)]; r.token != "" {
				calls.Go(func() { w.call(o, s.via, r, s.fault) })
			}
		}
	case "move":
		calls.Go(func() { w.move(slot, target, late) })
	case "wait":
		time.Sleep(s.wait)
	case "kill", "takeover":
		for _, v := range w.vms {
			if v.lease.stopped() {
				return
			}
		}

		if s.op == "kill" {
			w.kill(target)
		}

		calls.Go(func() { w.takeover(target) })
	}
}

// run runs a script and returns what the oracle found wrong.
func runScript(t *testing.T, steps []step, counts map[string]int) []string {
	t.Helper()

	o := &oracle{
		next: map[string]string{}, notRun: map[string]string{}, completed: map[string]bool{}, dead: map[string]bool{},
		counts: counts,
	}

	synctest.Test(t, func(*testing.T) {
		w := newWorld(fileNodes+3, false)

		var calls sync.WaitGroup

		for _, s := range steps {
			w.step(o, &calls, s)
		}

		calls.Wait()
		time.Sleep(10 * time.Second)
		w.close()
		synctest.Wait()

		for token, n := range w.runs.tokens {
			if token != "" && n > 1 {
				o.fail("token %s ran %d times", token, n)
			}
		}

		for id, detail := range o.notRun {
			if n := w.runs.requests[id]; n > 0 {
				o.fail("call %s was refused with %q and ran %d times", id, detail, n)
			}
		}

		for token := range o.completed {
			if token != "" && w.runs.tokens[token] != 1 {
				o.fail("token %s was answered as completed and ran %d times", token, w.runs.tokens[token])
			}
		}
	})

	return o.faults
}

// Guards promises P5, P6 and P7: a second run of a token, a refusal "not run" that is not true, and
// an answer that is cut or another request's.
func TestRequests(t *testing.T) {
	counts := map[string]int{}

	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 50).Draw(rt, "steps")
		if faults := runScript(t, steps, counts); len(faults) > 0 {
			rt.Fatalf("%s", strings.Join(faults, "\n"))
		}
	})

	t.Logf("answers: %v", counts)

	for _, kind := range []string{"completed", "not_run", "unknown", "aborted", "not kept"} {
		qt.Check(t, counts[kind] > 0, qt.IsTrue, qt.Commentf("no answer was %s", kind))
	}
}
