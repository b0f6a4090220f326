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

// step is one action of a generated script.
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

// request is a request that a caller may send several times with the same token.
type request struct {
	method string
	uri    string
	body   string
	token  string
}

// oracle checks the answers against the runs of the backend servers.
type oracle struct {
	mu       sync.Mutex
	requests []request
	// nextToken holds unused tokens by key.
	nextToken map[string]string
	// notRun holds the refusals of calls that were not run, by request id.
	notRun map[string]string
	// completed holds the tokens of completed calls.
	completed map[string]bool
	// unknownTokens holds the tokens that were answered with status 409, after which none may complete.
	unknownTokens map[string]bool
	violations    []string
	// counts holds the number of answers by kind.
	counts map[string]int
}

func (o *oracle) fail(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// call sends the request to a node and checks the answer. It returns the answer's token.
func (c *cluster) call(o *oracle, via int, r request, fault string) string {
	o.mu.Lock()
	wasUnknown := o.unknownTokens[r.token]
	o.mu.Unlock()

	req, _ := http.NewRequest(r.method, "http://"+c.vms[via].httpListener.addr+r.uri, strings.NewReader(r.body))
	req.Header.Set(spar.HeaderDeadline, "2000")
	req.Header.Set("X-Fault", fault)
	// With this header, net/http's transports may send a request twice; ours must not.
	req.Header.Set("Idempotency-Key", "k")

	if r.token != "" {
		req.Header.Set(spar.HeaderToken, r.token)
	}

	resp, err := c.caller.RoundTrip(req)
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
		o.checkCompleted(resp, r, body)
		o.completed[r.token] = true

		if wasUnknown || r.token != "" && token == "" {
			o.fail("%v completed after unknown: %v, next token %q", r, wasUnknown, token)
		}
	case string(spar.OutcomeNotRun):
		o.notRun[resp.Header.Get(spar.HeaderRequest)] = string(body)

		// A valid token must never be refused as a wrong one, since the caller would conclude that the request
		// has not run before.
		if r.token != "" && resp.StatusCode >= 400 && resp.StatusCode < 429 {
			o.fail("%v was refused with status %d: %s", r, resp.StatusCode, body)
		}
	default:
		o.unknownTokens[r.token] = o.unknownTokens[r.token] || resp.StatusCode == http.StatusConflict
	}

	return token
}

// checkCompleted checks that a completed answer is not truncated and belongs to its request.
func (o *oracle) checkCompleted(resp *http.Response, r request, body []byte) {
	if resp.StatusCode == http.StatusGone && resp.Header.Get(spar.HeaderReason) == string(spar.ReasonNotKept) {
		o.counts["not kept"]++

		return
	}

	if resp.StatusCode != http.StatusOK || !bytes.Equal(body, responseBody(r.method, r.uri, []byte(r.body), 100)) &&
		!bytes.Equal(body, responseBody(r.method, r.uri, []byte(r.body), 100<<10)) {
		o.fail("%v answered by %d bytes: %.60q", r, len(body), body)
	}
}

// post sends a new request after getting a token for it.
func (c *cluster) post(o *oracle, s step) {
	o.mu.Lock()
	token := o.nextToken[s.key]
	delete(o.nextToken, s.key)
	r := request{http.MethodPost, fmt.Sprintf("/s/%s/%d", s.key, len(o.requests)), "pledge", token}
	o.requests = append(o.requests, r)
	n := len(o.requests) - 1
	o.mu.Unlock()

	for range 3 {
		if r.token == "" {
			r.token = c.call(o, s.via, r, "")
		}
	}

	o.mu.Lock()
	o.requests[n] = r
	o.mu.Unlock()

	if r.token != "" {
		token = c.call(o, s.via, r, s.fault)
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	if token != "" && token != r.token {
		o.nextToken[s.key] = token
	}
}

// applyStep performs one step. Calls, moves and takeovers run concurrently and are added to calls.
func (c *cluster) applyStep(o *oracle, calls *sync.WaitGroup, s step) {
	slot := keyedService.SlotOf(s.key)
	lagging := func(v *vm) bool { return v == c.vms[s.other%len(c.vms)] }
	target := c.vms[fileNodes+s.other%(len(c.vms)-fileNodes)]

	switch s.op {
	case "post":
		calls.Go(func() { c.post(o, s) })
	case "get":
		r := request{http.MethodGet, "/s/" + s.key + "/x", "", ""}
		calls.Go(func() { c.call(o, s.via, r, s.fault) })
	case "resend":
		o.mu.Lock()
		defer o.mu.Unlock()

		if len(o.requests) > 0 {
			if r := o.requests[s.other%len(o.requests)]; r.token != "" {
				calls.Go(func() { c.call(o, s.via, r, s.fault) })
			}
		}
	case "move":
		calls.Go(func() { c.move(slot, target, lagging) })
	case "wait":
		time.Sleep(s.wait)
	case "kill", "takeover":
		for _, v := range c.vms {
			if v.lease.stopped() {
				return
			}
		}

		if s.op == "kill" {
			c.kill(target)
		}

		calls.Go(func() { c.takeover(target) })
	}
}

// runScript runs a script and returns the violations that the oracle found.
func runScript(t *testing.T, steps []step, counts map[string]int) []string {
	t.Helper()

	o := &oracle{
		nextToken: map[string]string{}, notRun: map[string]string{}, completed: map[string]bool{},
		unknownTokens: map[string]bool{},
		counts:        counts,
	}

	synctest.Test(t, func(*testing.T) {
		c := newCluster(fileNodes+3, false)

		var calls sync.WaitGroup

		for _, s := range steps {
			c.applyStep(o, &calls, s)
		}

		calls.Wait()
		time.Sleep(10 * time.Second)
		c.close()
		synctest.Wait()

		for token, n := range c.runs.tokens {
			if token != "" && n > 1 {
				o.fail("token %s ran %d times", token, n)
			}
		}

		for id, detail := range o.notRun {
			if n := c.runs.requests[id]; n > 0 {
				o.fail("call %s was refused with %q and ran %d times", id, detail, n)
			}
		}

		for token := range o.completed {
			if token != "" && c.runs.tokens[token] != 1 {
				o.fail("token %s was answered as completed and ran %d times", token, c.runs.tokens[token])
			}
		}
	})

	return o.violations
}

// Guards against violations of the guarantees P5, P6 and P7: a second run with the same token, the outcome "not run"
// for a call that ran, and an answer that is truncated or belongs to another request.
func TestRequests(t *testing.T) {
	counts := map[string]int{}

	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 10, 50).Draw(rt, "steps")
		if violations := runScript(t, steps, counts); len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})

	t.Logf("answers: %v", counts)

	for _, kind := range []string{"completed", "not_run", "unknown", "aborted", "not kept"} {
		qt.Check(t, counts[kind] > 0, qt.IsTrue, qt.Commentf("no answer was %s", kind))
	}
}
