package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	upstreamSlots     = 9
	heartbeatInterval = 870 * time.Millisecond
	// heartbeatTimeout is the time within which a reply acknowledges a heartbeat, and maxReplyBytes the longest one.
	heartbeatTimeout  = time.Second
	maxReplyBytes     = 4 << 10
	maxHeartbeatReply = 1 << 20
	// releaseInterval is the time between two heartbeats while released keys are to be reported.
	releaseInterval = 90 * time.Millisecond
)

// upstream is a stand-in for a sound backend server. The query of a request says how long it works (ms) and how long its
// response is (bytes).
type upstream struct {
	id      string
	service string
	zone    string
	addr    string
	control string
	born    int64
	rec     *record
	slots   chan struct{}
	running atomic.Int32
	seq     atomic.Int64
	acked   atomic.Int64
	// tooLong counts the replies to heartbeats that are longer than an acknowledgement may be.
	tooLong atomic.Int64

	mu   sync.Mutex
	runs map[string]int
	// done are the requests whose response was passed to the kernel completely.
	done map[string]bool

	// keys are the keys that are held; nil for a service that is not divided by key.
	keys *keys
	// cut drops all heartbeats while it is true.
	cut atomic.Bool

	server *http.Server
	stop   context.CancelFunc
}

func startUpstream(id, service, zone, addr, control string, keyed bool, rec *record) (*upstream, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}

	ctx, stop := context.WithCancel(context.Background())
	u := &upstream{
		id: id, service: service, zone: zone, addr: addr, control: control, born: time.Now().UnixMilli(), rec: rec,
		slots: make(chan struct{}, upstreamSlots), runs: map[string]int{}, done: map[string]bool{}, stop: stop,
	}

	if keyed {
		u.keys = newKeys(id)
	}

	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}

	go func() { _ = u.server.Serve(ln) }()
	go u.beat(ctx)

	return u, nil
}

func (u *upstream) close() {
	u.stop()
	_ = u.server.Close()
}

// beat sends heartbeats until ctx ends.
func (u *upstream) beat(ctx context.Context) {
	client := &http.Client{Timeout: heartbeatTimeout}

	for ctx.Err() == nil {
		if !u.cut.Load() {
			u.heartbeat(client)
		}

		pause := heartbeatInterval
		if u.keys != nil && !u.cut.Load() && u.keys.hasReleased() {
			pause = releaseInterval
		}

		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// heartbeat sends a heartbeat. A reply acknowledges it if it is a success, at most maxReplyBytes long, and in time.
func (u *upstream) heartbeat(client *http.Client) {
	sent := time.Now()
	message := map[string]any{
		"address": u.addr, "born": u.born,
		"info":   map[string]any{"service": u.service, "zone": u.zone, "version": "v1", "slots": upstreamSlots},
		"status": map[string]any{"state": "ready", "seq": u.seq.Add(1), "cold_ms": 0},
	}

	reported := 0
	if u.keys != nil {
		message["holds"], message["released"], reported = u.keys.report(sent)
	}

	body, _ := json.Marshal(message)

	resp, err := client.Post("http://"+u.control+"/sardinespar/rpc?call=instances.heartbeat&of="+u.id,
		"application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()

	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHeartbeatReply))
	if err != nil || resp.StatusCode/100 != 2 {
		return
	}

	if len(data) > maxReplyBytes {
		if u.tooLong.Add(1)%10 == 1 {
			u.rec.add("upstream %s gets a reply of %d bytes to its heartbeat, which is no acknowledgement", u.id, len(data))
		}

		return
	}

	if u.keys != nil {
		u.keys.apply(data, sent, reported)
	}

	u.acked.Add(1)
}

func (u *upstream) load() string {
	running := int(u.running.Load())

	return fmt.Sprintf("%d,%d,%d", min(running, upstreamSlots), max(0, running-upstreamSlots), upstreamSlots)
}

// ran returns how often a request ran here, and whether its response was written completely.
func (u *upstream) ran(id string) (n int, complete bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.runs[id], u.done[id]
}

// ServeHTTP handles status checks and requests.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()

	if r.URL.Path == "/healthz" {
		h.Set("Sardinespar-Instance-Id", u.id)
		h.Set("Sardinespar-Server-Load", u.load())

		return
	}

	id := r.Header.Get("Sardinespar-Request-Id")
	h.Set("Sardinespar-Request-Id", id)

	if expect := r.Header.Get("Sardinespar-Expect-Instance"); expect != "" && expect != u.id {
		h.Set("Sardinespar-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if u.keys != nil {
		key, err := strconv.Atoi(r.Header.Get("Sardinespar-Shard-Key"))
		if err != nil || !u.keys.holds(key, time.Now()) {
			h.Set("Sardinespar-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)

			return
		}
	}

	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}

	ctx := r.Context()

	if ms, err := strconv.ParseFloat(r.Header.Get("Sardinespar-Deadline-Ms"), 64); err == nil {
		var cancel context.CancelFunc

		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}

	u.running.Add(1)
	defer u.running.Add(-1)

	select {
	case u.slots <- struct{}{}:
	case <-ctx.Done():
		h.Set("Sardinespar-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}

	defer func() { <-u.slots }()

	u.run(ctx, w, r, id)
}

// run works on a request and responds.
func (u *upstream) run(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) {
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	u.rec.add("upstream %s runs %s", u.id, id)

	work, _ := strconv.Atoi(r.URL.Query().Get("ms"))
	size, _ := strconv.Atoi(r.URL.Query().Get("bytes"))

	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-ctx.Done():
		u.rec.add("upstream %s stops %s: %v", u.id, id, ctx.Err())

		if r.Context().Err() != nil {
			return
		}

		w.Header().Set("Sardinespar-Response-Seal", seal(id, http.StatusGatewayTimeout, nil))
		w.WriteHeader(http.StatusGatewayTimeout)

		return
	}

	body := content(id, size)
	h := w.Header()
	h.Set("Sardinespar-Response-Seal", seal(id, http.StatusOK, body))
	h.Set("Sardinespar-Server-Load", u.load())
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(body)))

	_, err := w.Write(body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}

	u.rec.add("upstream %s has answered %s with 200 and %d bytes, error %v", u.id, id, len(body), err)

	if err == nil {
		u.mu.Lock()
		u.done[id] = true
		u.mu.Unlock()
	}
}

// content returns the body of the response to a request, which depends on its id.
func content(id string, size int) []byte {
	line := id + " 0123456789abcdefghijklmnopqrstuvwxyz\n"

	return []byte(strings.Repeat(line, size/len(line)+1)[:size])
}

// seal returns the receipt of a response, which covers its status and body.
func seal(id string, status int, body []byte) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d ", id, status)
	_, _ = h.Write(body)

	return fmt.Sprintf("%x.%d", h.Sum64(), len(body))
}
