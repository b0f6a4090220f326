package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	fragmentNodes = 6
	// cutTime is how long the heartbeats of one upstream are cut off. The site files name 10 s and more for this.
	cutTime  = 7 * time.Second
	cutCount = 10
	// killDown is how long the processes are down in the final fault, recoverTime the bound recover_s, and measureTime
	// how long requests are counted after it.
	killDown    = time.Second
	recoverTime = 15 * time.Second
	measureTime = 5 * time.Second
	// requestRate is the number of requests per second of all clients together.
	requestRate   = 60
	requestBudget = 1200 * time.Millisecond
	clientRetries = 2
)

// counter counts the requests that were sent and served.
type counter struct{ sent, served atomic.Int64 }

func (c *counter) share() float64 {
	return float64(c.served.Load()) / float64(max(1, c.sent.Load()))
}

// fragments cuts off the heartbeats of one upstream after the other, and kills all processes at the end.
func fragments(rec *record, trouble bool) (bool, error) {
	services := make([]string, fragmentNodes)
	for i := range services {
		services[i] = "dele69a"
	}

	m := manifest(map[string]any{
		"host": "cubo38.example", "service": "dele69a", "kind": "safe", "slo_ms": 200, "timeout_ms": 1200, "keyed": true,
	})
	d, err := startDeployment(rec, m, services...)
	defer d.close()

	if err != nil {
		return false, err
	}

	var (
		before, recovery, after counter
		current                 atomic.Pointer[counter]
		wg                      sync.WaitGroup
	)

	current.Store(&before)

	stop := make(chan struct{})

	go d.sendRequests(&current, stop, &wg)

	for i := range cutCount {
		d.cutHeartbeats(i%fragmentNodes, trouble)
		d.reportKeys()
	}

	current.Store(&recovery)
	rec.say("before the final fault %d of %d requests were served", before.served.Load(), before.sent.Load())

	// The final fault follows the acknowledgement of a manifest, here one that changes nothing but its version.
	m["version"] = "0000000a"
	d.store.put("op", "config", m)
	err = d.killAll()

	time.Sleep(recoverTime)
	current.Store(&after)
	time.Sleep(measureTime)
	close(stop)
	wg.Wait()
	d.reportKeys()

	rec.say("later than %v after the final fault %d of %d requests were served", recoverTime, after.served.Load(),
		after.sent.Load())

	const quarter = 0.25

	if before.share() < quarter {
		rec.say("less than a quarter was served before the final fault, so the rule does not apply")

		return false, err
	}

	return after.share() < quarter, err
}

// cutHeartbeats drops the heartbeats of an upstream for cutTime.
func (d *deployment) cutHeartbeats(i int, trouble bool) {
	u := d.nodes[i].up

	if trouble {
		d.rec.add("heartbeats of upstream %s are cut off", u.id)
		u.cut.Store(true)
	}

	time.Sleep(cutTime)

	if trouble {
		u.cut.Store(false)
		d.rec.add("heartbeats of upstream %s get through again", u.id)
	}
}

// killAll kills all relays and starts them again.
func (d *deployment) killAll() error {
	for _, n := range d.nodes {
		n.signal(syscall.SIGKILL)
	}

	time.Sleep(killDown)

	for _, n := range d.nodes {
		<-n.exited

		if err := n.start(); err != nil {
			return err
		}
	}

	return nil
}

// reportKeys records what the store and the upstreams say of the keys.
func (d *deployment) reportKeys() {
	var m struct {
		Ranges []json.RawMessage `json:"ranges"`
	}

	d.store.mu.Lock()
	for id, r := range d.store.rows {
		if id.Table == "owners" {
			_ = json.Unmarshal(r.Value, &m)
			d.rec.add("map of owners has %d ranges and %d bytes", len(m.Ranges), len(r.Value))
		}
	}
	d.store.mu.Unlock()

	held, rows := 0, ""

	for _, n := range d.nodes {
		holds, _, _ := n.up.keys.report(time.Now())
		for _, h := range holds {
			held += int(h[1]-h[0]) + 1
		}

		rows += fmt.Sprintf(" %s: %d rows, %d long replies;", n.up.id, len(holds), n.up.tooLong.Load())
	}

	d.rec.add("upstreams hold %d of %d keys;%s", held, keyCount, rows)
}

// sendRequests sends requests for random keys at random nodes until stop is closed.
func (d *deployment) sendRequests(current *atomic.Pointer[counter], stop <-chan struct{}, wg *sync.WaitGroup) {
	ticker := time.NewTicker(time.Second / requestRate)
	defer ticker.Stop()

	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}

		n, c := d.nodes[rand.IntN(len(d.nodes))], current.Load()

		wg.Go(func() {
			c.sent.Add(1)

			if d.request(n) {
				c.served.Add(1)
			}
		})
	}
}

// request sends a request, and again as a client does after a refusal. It reports whether it was served.
func (d *deployment) request(n *node) bool {
	end := time.Now().Add(requestBudget)
	key := rand.IntN(keyCount)

	for try := 0; ; try++ {
		status, after := d.attempt(n, key, time.Until(end))
		if status == http.StatusOK {
			return true
		}

		left := time.Until(end)
		if try == clientRetries || left <= 0 {
			return false
		}

		time.Sleep(min(after, left/3))
	}
}

// attempt sends a request on a connection of its own. It returns its status, or 0, and the time that Retry-After names.
func (d *deployment) attempt(n *node, key int, left time.Duration) (status int, after time.Duration) {
	id := newID()
	client := &http.Client{
		Timeout: left, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}

	r, _ := http.NewRequest(http.MethodGet, "http://"+n.fields["listen.outbound"]+"/view?ms=20&bytes=800", nil)
	r.Host = "cubo38.example"
	r.Header.Set("Sardinespar-Request-Id", id)
	r.Header.Set("Sardinespar-Deadline-Ms", strconv.Itoa(int(left.Milliseconds())))
	r.Header.Set("Sardinespar-Shard-Key", strconv.Itoa(key))

	resp, err := client.Do(r)
	if err != nil {
		d.rec.add("client sends %s for key %d to %s: %v", id, key, n.name, err)

		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(resp.Body)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	d.rec.add("client sends %s for key %d to %s: status %d, %d bytes", id, key, n.name, resp.StatusCode, len(body))

	if err != nil || resp.StatusCode == http.StatusOK && string(body) != string(content(id, 800)) {
		return 0, 0
	}

	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}
