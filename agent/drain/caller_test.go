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

// densePause is a caller's mean pause where the wait of calls during a move of some milliseconds counts.
const densePause = 4 * time.Millisecond

// caller sends one request after the other for one key.
type caller struct {
	world        *world
	service, key string
	method       string
	suffix       string
	first        int
	token        string
	pause        time.Duration
	stop         chan struct{}
}

// traffic starts a caller for each key of each service; the function returned ends them.
func (w *world) traffic(keys int, pause time.Duration) func() {
	stop := make(chan struct{})

	var callers sync.WaitGroup

	for s, service := range services {
		for k := range keys {
			c := &caller{
				world: w, service: service, key: fmt.Sprintf("k%d", k), first: s + k, stop: stop, pause: pause,
				method: []string{http.MethodGet, http.MethodPost, http.MethodGet}[s],
			}
			if w.long && service == "cards" && k == 0 {
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
	random := rand.New(rand.NewPCG(uint64(c.first), 1)) //nolint:gosec // fixed seed

	for i := 0; ; i++ {
		pause := c.pause
		if c.world.dense.Load() {
			pause = densePause
		}

		select {
		case <-c.stop:
			return
		case <-time.After(pause/2 + time.Duration(random.Int64N(int64(pause)))):
			c.call(i)
		}
	}
}

// call sends request number i through one entry node after the other until one takes the connection.
func (c *caller) call(i int) {
	w, began := c.world, time.Now()
	path := fmt.Sprintf("/%s/%s/%d%s", c.service, c.key, i, c.suffix)
	fault, notRun := errRefused.Error(), false

	for n := range len(w.nodes) {
		entry := w.nodes[(c.first+i+n)%len(w.nodes)]

		status, body, err := c.send(entry, path)
		if errors.Is(err, errRefused) {
			continue
		}

		fault, notRun = "", strings.HasPrefix(body, string(spar.OutcomeNotRun))
		if err != nil || status != http.StatusOK || body != path {
			fault = fmt.Sprintf("%s %.3f %s through %s: %d %v", strings.TrimSpace(body),
				time.Since(w.began).Seconds(), path, entry.vm, status, err)
		}

		break
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	w.done++
	w.worst[c.service+"/"+c.key] = max(w.worst[c.service+"/"+c.key], time.Since(began))

	if notRun {
		w.refused = append(w.refused, path)
	}

	if fault != "" {
		w.failed = append(w.failed, fault)
		w.late = append(w.late, time.Since(w.began))
	}
}

// send sends the request, and again with the token that the answer hands out if it demands one.
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

// withdraw takes a zone out or puts it back.
func (w *world) withdraw(zone spar.Zone, out bool) {
	w.decide(fleet.ZoneKey(zone), out)
}

// decide writes an operator's decision and sends it to all nodes.
func (w *world) decide(key string, out bool) {
	row, _, _ := w.store.Memory.Get(w.ctx, key)
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: row.Revision}},
		Writes:     []spar.Write{{Key: key, Value: fleet.Encode(spar.Withdrawal{Name: key, Out: out})}},
	}
	w.push(fleet.RowsOf(txn, w.store.Memory.Commit(w.ctx, txn).Revision))
}

func (w *world) push(rows []spar.Row) {
	for _, n := range w.nodes {
		var result fleet.Empty

		_ = w.pool.Call(w.ctx, n.vm+":2", fleet.MethodPush, fleet.PushParams{From: "op", Rows: rows}, &result)
	}
}

// view reads the table.
func (w *world) view() *fleet.View {
	rows, revision, _ := w.store.Memory.Scan(w.ctx, "", 0)
	r := fleet.NewReplica()
	r.Merge(rows, revision)

	return r.View()
}

// owned counts the slots of the nodes that match.
func (w *world) owned(match func(*spard) bool) int {
	v, count := w.view(), 0

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

// close ends the fleet and returns what went wrong with requests: the refused and unanswered ones,
// runs on nodes that did not own the slot, runs of one slot on two nodes at once, second runs, and runs of
// requests that were refused as not run.
func (w *world) close() (failed, wrong []string) {
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
			wrong = append(wrong, "second run of "+r.path)
		}

		seen[r.path] = true

		if service == "shelf" {
			continue
		}

		owner := string(w.store.owners[fmt.Sprintf("%s/%d", slot, r.epoch)])
		if before := last[slot]; !strings.HasPrefix(owner, r.vm+".") ||
			before.vm != r.vm && (before.end.After(r.start) || before.epoch > r.epoch) {
			wrong = append(wrong, fmt.Sprintf("%s ran on %s at epoch %d of %s, after %+v", r.path, r.vm, r.epoch, owner, before))
		}

		last[slot] = r
	}

	for _, path := range w.refused {
		if seen[path] {
			wrong = append(wrong, path+" ran and was refused as not run")
		}
	}

	return w.failed, wrong
}

// failedAfter returns the faults of requests that ended later than a time since the start.
func (w *world) failedAfter(at time.Duration) []time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.DeleteFunc(slices.Clone(w.late), func(d time.Duration) bool { return d < at })
}
