package drain_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// denseMeanInterval is the mean time between two requests of a caller while the test measures how long requests wait
// during a move, which takes some milliseconds.
const denseMeanInterval = 4 * time.Millisecond

// caller sends requests for one key, one after the other. The offset selects its first entry node.
type caller struct {
	world        *world
	service, key string
	method       string
	suffix       string
	offset       int
	token        string
	meanInterval time.Duration
	stop         chan struct{}
}

// startCallers starts a caller for each key of each service and returns a function that stops them.
func (w *world) startCallers(keys int, interval time.Duration) func() {
	stop := make(chan struct{})

	var callers sync.WaitGroup

	for s, service := range services {
		for k := range keys {
			c := &caller{
				world: w, service: service, key: fmt.Sprintf("k%d", k), offset: s + k, stop: stop, meanInterval: interval,
				method: []string{http.MethodGet, http.MethodPost, http.MethodGet}[s],
			}
			if w.longRequests && service == "cards" && k == 0 {
				c.suffix = "/long"
			}

			callers.Go(c.loop)
		}
	}

	return func() {
		close(stop)
		callers.Wait()
	}
}

func (c *caller) loop() {
	random := rand.New(rand.NewPCG(uint64(c.offset), 1)) //nolint:gosec // fixed seed

	for i := 0; ; i++ {
		interval := c.meanInterval
		if c.world.denseTraffic.Load() {
			interval = denseMeanInterval
		}

		select {
		case <-c.stop:
			return
		case <-time.After(interval/2 + time.Duration(random.Int64N(int64(interval)))):
			c.call(i)
		}
	}
}

// call sends request number i through the next entry nodes in turn until one accepts the connection, and records
// the result.
func (c *caller) call(i int) {
	w, started := c.world, time.Now()
	path := fmt.Sprintf("/%s/%s/%d%s", c.service, c.key, i, c.suffix)
	failure, notRun := errRefused.Error(), false

	for n := range len(w.nodes) {
		entry := w.nodes[(c.offset+i+n)%len(w.nodes)]

		status, body, err := c.send(entry, path)
		if errors.Is(err, errRefused) {
			continue
		}

		failure, notRun = "", strings.HasPrefix(body, string(spar.OutcomeNotRun))
		if err != nil || status != http.StatusOK || body != path {
			failure = fmt.Sprintf("%s %.3f %s through %s: %d %v", strings.TrimSpace(body),
				time.Since(w.started).Seconds(), path, entry.vm, status, err)
		}

		break
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.requestCount++
	w.longestWaits[c.service+"/"+c.key] = max(w.longestWaits[c.service+"/"+c.key], time.Since(started))

	if notRun {
		w.notRunPaths = append(w.notRunPaths, path)
	}

	if failure != "" {
		w.failed = append(w.failed, failure)
		w.failureTimes = append(w.failureTimes, time.Since(w.started))
	}
}

// send sends the request. If the response demands a token, send repeats it with the token of the response.
func (c *caller) send(entry *spard, path string) (int, string, error) {
	for {
		req, _ := http.NewRequest(c.method, "http://"+entry.vm+":1"+path, nil)
		req.Header.Set(spar.HeaderKey, c.key)
		req.Header.Set(spar.HeaderToken, c.token)

		if w := c.world; w.deadline != "" {
			req.Header.Set(spar.HeaderDeadline, w.deadline)
		}

		resp, err := c.world.client.RoundTrip(req)
		if err != nil {
			return 0, "", err
		}

		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		c.token = resp.Header.Get(spar.HeaderToken)

		if resp.StatusCode != http.StatusPreconditionRequired || c.token == "" {
			return resp.StatusCode, string(body), err
		}
	}
}

// setZoneWithdrawn withdraws a zone or restores it.
func (w *world) setZoneWithdrawn(zone spar.Zone, withdrawn bool) {
	w.setWithdrawn(fleet.ZoneKey(zone), withdrawn)
}

// setWithdrawn writes the withdrawal row with a key and sends it to all nodes, as an operator's command does.
func (w *world) setWithdrawn(key string, withdrawn bool) {
	row, _, _ := w.store.Memory.Get(w.ctx, key)
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: row.Revision}},
		Writes:     []spar.Write{{Key: key, Value: fleet.Encode(spar.Withdrawal{Name: key, Withdrawn: withdrawn})}},
	}
	w.pushRows(fleet.RowsOf(txn, w.store.Memory.Commit(w.ctx, txn).Revision))
}

// pushRows sends rows to all nodes.
func (w *world) pushRows(rows []spar.Row) {
	for _, n := range w.nodes {
		var result fleet.Empty

		_ = w.pool.Call(w.ctx, n.vm+":2", fleet.MethodPush, fleet.PushParams{From: "op", Rows: rows}, &result)
	}
}

// tableView returns the current content of the table.
func (w *world) tableView() *fleet.View {
	rows, revision, _ := w.store.Memory.Scan(w.ctx, "", 0)
	r := fleet.NewReplica()
	r.Merge(rows, revision)

	return r.View()
}

// countOwned returns the number of slots that the matching nodes own.
func (w *world) countOwned(match func(*spard) bool) int {
	v, count := w.tableView(), 0

	for _, s := range v.Services() {
		for slot := range s.Slots {
			owner := v.Assignment(s, spar.Slot(slot)).Owner
			if slices.ContainsFunc(w.nodes, func(n *spard) bool {
				return match(n) && strings.HasPrefix(string(owner), n.vm+".")
			}) {
				count++
			}
		}
	}

	return count
}

func (w *world) node(vm string) *spard {
	return w.nodes[slices.IndexFunc(w.nodes, func(n *spard) bool { return n.vm == vm })]
}

// close stops the fleet. It returns the requests that were refused or got no response, and the violations: runs on
// nodes that did not own the slot, runs for one slot on two nodes at once, duplicate runs, and runs of requests
// that were refused as not run.
func (w *world) close() (failed, violations []string) {
	w.end()
	w.client.CloseIdleConnections()
	w.pool.Close()

	for _, n := range w.nodes {
		n.crashBackend()
	}

	w.wg.Wait()

	slices.SortFunc(w.runs, func(a, b run) int { return a.start.Compare(b.start) })

	seen := map[string]bool{}
	last := map[string]run{}

	for _, r := range w.runs {
		service, _, _ := strings.Cut(r.path[1:], "/")
		slot := service + "/" + r.slot

		if service == "pledges" && seen[r.path] {
			violations = append(violations, "duplicate run of "+r.path)
		}

		seen[r.path] = true

		if service == "shelf" {
			continue
		}

		owner := string(w.store.owners[fmt.Sprintf("%s/%d", slot, r.epoch)])
		if before := last[slot]; !strings.HasPrefix(owner, r.vm+".") ||
			before.vm != r.vm && (before.end.After(r.start) || before.epoch > r.epoch) {
			violations = append(violations,
				fmt.Sprintf("%s ran on %s at epoch %d of %s, after %+v", r.path, r.vm, r.epoch, owner, before))
		}

		last[slot] = r
	}

	for _, path := range w.notRunPaths {
		if seen[path] {
			violations = append(violations, path+" ran and was refused as not run")
		}
	}

	return w.failed, violations
}

// failedAfter returns the end times of the requests that failed later than a time since the start.
func (w *world) failedAfter(at time.Duration) []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.DeleteFunc(slices.Clone(w.failureTimes), func(d time.Duration) bool { return d < at })
}
