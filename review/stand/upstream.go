package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// faults are the shares of a faulty backend server's answers.
type faults struct {
	// extra is the share of the answers that are sent a second time, where the next answer on the connection is due.
	extra float64
	// cut is the share of the answers that break off.
	cut float64
	// failing is true for a server that says 503 at its status check.
	failing bool
}

// upstreamSettings are the settings of one life of a backend server.
type upstreamSettings struct {
	id    string
	slots int
	queue int
	// work is the mean time of a request; the times lie between a half and one and a half of it.
	work  time.Duration
	keyed bool
	// idle is the time after which idle connections are closed.
	idle time.Duration
	// bodyBytes is the size of an answer's body.
	bodyBytes int
	// keeps is true for a server that finishes its work after the connection was closed.
	keeps bool
	// coldFor is how long the server says that it is cold after its start.
	coldFor time.Duration
	// deadly is the path of a request that crashes the server when it begins to run it; empty means none.
	deadly string
	// onCrash is called when the server has crashed on that request.
	onCrash func()
}

// upstream is a stand-in for one life of a backend server. It tells no load, so that a status check waits for a slot
// as any other request.
type upstream struct {
	cfg  upstreamSettings
	m    *machine
	rec  *record
	born int64
	ln   net.Listener
	ctx  context.Context
	end  context.CancelFunc

	mu       sync.Mutex
	faults   faults
	running  int
	waiting  []chan struct{}
	conns    map[net.Conn]bool
	seq      int64
	draining bool
	silent   bool
	// acked is when a status report that says draining, or a deregistration, was acknowledged.
	acked    time.Time
	holds    [][4]any
	until    time.Time
	released [][3]any
	// replySize is the size of the last reply to a status report, as far as it was read.
	replySize int
	runs      map[string]int
	// onRun is called with the id of each request that the server begins to run.
	onRun  func(id string)
	checks int
}

// startUpstream starts a backend server beside the relay of a machine.
func startUpstream(m *machine, rec *record, cfg upstreamSettings) (*upstream, error) {
	ln, err := net.Listen("tcp", m.addr(portApp))
	if err != nil {
		return nil, err
	}

	ctx, end := context.WithCancel(context.Background())
	u := &upstream{
		cfg: cfg, m: m, rec: rec, born: time.Now().UnixMilli(), ln: ln, ctx: ctx, end: end,
		conns: map[net.Conn]bool{}, runs: map[string]int{},
	}
	rec.line("server %s started beside %s", cfg.id, m.name)

	go u.accept()
	go u.report()

	return u, nil
}

func (u *upstream) setFaults(f faults) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.faults = f
}

// crash ends the server at once.
func (u *upstream) crash() {
	u.end()
	_ = u.ln.Close()

	u.mu.Lock()
	defer u.mu.Unlock()

	for c := range u.conns {
		_ = c.Close()
	}

	u.rec.line("server %s ended", u.cfg.id)
}

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}

		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()

		go u.serve(c)
	}
}

// errFull means that the queue of the server is full.
var errFull = errors.New("queue is full")

// enter waits for a slot.
func (u *upstream) enter(gone <-chan struct{}) error {
	u.mu.Lock()

	if u.running < u.cfg.slots {
		u.running++
		u.mu.Unlock()

		return nil
	}

	if len(u.waiting) >= u.cfg.queue {
		u.mu.Unlock()

		return errFull
	}

	w := make(chan struct{}, 1)
	u.waiting = append(u.waiting, w)
	u.mu.Unlock()

	select {
	case <-w:
		return nil
	case <-gone:
	case <-u.ctx.Done():
	}

	u.mu.Lock()
	defer u.mu.Unlock()

	if i := slices.Index(u.waiting, w); i >= 0 {
		u.waiting = slices.Delete(u.waiting, i, i+1)

		return context.Canceled
	}

	// The slot was given to the request meanwhile.
	u.leaveLocked()

	return context.Canceled
}

func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.leaveLocked()
}

func (u *upstream) leaveLocked() {
	if len(u.waiting) > 0 {
		u.waiting[0] <- struct{}{}
		u.waiting = u.waiting[1:]

		return
	}

	u.running--
}

// serve serves one connection, one request at a time.
func (u *upstream) serve(c net.Conn) {
	defer func() {
		_ = c.Close()

		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()

	var (
		r       = bufio.NewReader(c)
		pending []byte
	)

	for u.ctx.Err() == nil {
		_ = c.SetReadDeadline(time.Now().Add(u.cfg.idle))

		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}

		_ = c.SetReadDeadline(time.Time{})

		if pending != nil {
			u.rec.line("server %s sends an extra answer: %.60q", u.cfg.id, pending)

			if _, err := c.Write(pending); err != nil {
				return
			}

			pending = nil
		}

		answer, extra, cut := u.answer(c, r, req, body)
		if answer == nil {
			return
		}

		if _, err := c.Write(answer); err != nil || cut {
			return
		}

		pending = extra
	}
}

// closedSignal returns a channel that is closed when the peer closes the connection; stop ends the watch.
func closedSignal(c net.Conn, r *bufio.Reader) (gone <-chan struct{}, stop func()) {
	closed, done := make(chan struct{}), make(chan struct{})

	go func() {
		defer close(done)

		if _, err := r.Peek(1); err != nil && !isTimeout(err) {
			close(closed)
		}
	}()

	return closed, func() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

func isTimeout(err error) bool {
	var n net.Error

	return errors.As(err, &n) && n.Timeout()
}

// answer runs a request and returns the bytes of its answer, those of an extra one, and whether the answer breaks off.
func (u *upstream) answer(c net.Conn, r *bufio.Reader, req *http.Request, body []byte) (answer, extra []byte, cut bool) {
	gone, stop := closedSignal(c, r)
	defer stop()

	id := req.Header.Get("Sardinespar-Request-Id")

	if req.URL.Path == "/healthz" {
		answer = u.health(gone)

		u.mu.Lock()
		defer u.mu.Unlock()

		if rand.Float64() < u.faults.extra {
			extra = slices.Clone(answer)
		}

		return answer, extra, false
	}

	switch {
	case id == "":
		return head(http.StatusBadRequest, nil, "Sardinespar-Not-Executed: 1"), nil, false
	case req.Header.Get("Sardinespar-Expect-Instance") != "" && req.Header.Get("Sardinespar-Expect-Instance") != u.cfg.id,
		!u.holdsKey(req):
		return head(http.StatusMisdirectedRequest, nil, "Sardinespar-Request-Id: "+id, "Sardinespar-Not-Executed: 1",
			"Sardinespar-Instance-Id: "+u.cfg.id), nil, false
	}

	if err := u.enter(gone); err != nil {
		if errors.Is(err, errFull) {
			u.rec.line("server %s rejects %s", u.cfg.id, id)

			return head(http.StatusServiceUnavailable, nil, "Sardinespar-Request-Id: "+id, "Sardinespar-Not-Executed: 1"), nil, false
		}

		return nil, nil, false
	}

	u.mu.Lock()
	u.runs[id]++
	f := u.faults
	draining, acked, onRun := u.draining, u.acked, u.onRun
	u.mu.Unlock()

	if onRun != nil {
		onRun(id)
	}

	late := ""
	if draining && !acked.IsZero() {
		late = fmt.Sprintf(" %d ms after its leaving was acknowledged", time.Since(acked).Milliseconds())
	}

	u.rec.line("server %s runs %s %s %s of %s%s", u.cfg.id, id, req.Method, req.RequestURI,
		req.Header.Get("Sardinespar-Caller-Service"), late)

	if u.cfg.deadly != "" && req.URL.Path == u.cfg.deadly {
		u.rec.line("server %s crashes on %s", u.cfg.id, id)
		u.crash()
		u.cfg.onCrash()

		return nil, nil, false
	}

	took := time.Duration(float64(u.cfg.work) * (0.5 + rand.Float64()))
	select {
	case <-time.After(took):
	case <-u.ctx.Done():
	case <-ifNot(u.cfg.keeps, gone):
		u.leave()
		u.rec.line("server %s drops %s", u.cfg.id, id)

		return nil, nil, false
	}

	whole := head(http.StatusOK, answerBody(u.m.service, id, u.cfg.bodyBytes), "Sardinespar-Request-Id: "+id,
		"Sardinespar-Response-Seal: seal-"+id, fmt.Sprintf("Keep-Alive: timeout=%d", int(u.cfg.idle/time.Second)))
	u.leave()

	switch x := rand.Float64(); {
	case x < f.cut:
		u.rec.line("server %s breaks off the answer to %s", u.cfg.id, id)

		return whole[:len(whole)/2], nil, true
	case x < f.cut+f.extra:
		return whole, slices.Clone(whole), false
	}

	return whole, nil, false
}

// ifNot returns the channel, or one that is never ready.
func ifNot(not bool, c <-chan struct{}) <-chan struct{} {
	if not {
		return nil
	}

	return c
}

// answerBody is the complete body of an answer.
func answerBody(service, id string, size int) []byte {
	b := []byte(service + " answers " + id + "\n")

	return append(b, bytes.Repeat([]byte("x"), max(0, size-len(b)))...)
}

// health answers a status check, which waits for a slot or is rejected as any other request.
func (u *upstream) health(gone <-chan struct{}) []byte {
	u.mu.Lock()
	u.checks++
	bad := u.draining || u.faults.failing
	u.mu.Unlock()

	u.rec.line("server %s gets a status check", u.cfg.id)

	if err := u.enter(gone); err != nil {
		if errors.Is(err, errFull) {
			return head(http.StatusServiceUnavailable, nil, "Sardinespar-Not-Executed: 1")
		}

		return nil
	}

	time.Sleep(time.Millisecond)
	u.leave()

	status := http.StatusOK
	if bad {
		status = http.StatusServiceUnavailable
	}

	return head(status, []byte("status\n"), "Sardinespar-Instance-Id: "+u.cfg.id,
		"Sardinespar-Cold-Ms: "+strconv.FormatInt(u.coldLeft().Milliseconds(), 10),
		fmt.Sprintf("Keep-Alive: timeout=%d", int(u.cfg.idle/time.Second)))
}

func (u *upstream) coldLeft() time.Duration {
	return max(0, u.cfg.coldFor-time.Since(time.UnixMilli(u.born)))
}

// head returns an answer with its header and body.
func head(status int, body []byte, fields ...string) []byte {
	var b bytes.Buffer

	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))

	for _, f := range fields {
		b.WriteString(f + "\r\n")
	}

	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(body))
	b.Write(body)

	return b.Bytes()
}

func (u *upstream) holdsKey(req *http.Request) bool {
	if !u.cfg.keyed {
		return true
	}

	key, err := strconv.Atoi(req.Header.Get("Sardinespar-Shard-Key"))
	if err != nil {
		return false
	}

	u.mu.Lock()
	defer u.mu.Unlock()

	return time.Now().Before(u.until) && slices.ContainsFunc(u.holds, func(h [4]any) bool {
		return number(h[0]) <= key && key <= number(h[1])
	})
}

func number(v any) int {
	f, _ := v.(float64)

	return int(f)
}

const heartbeatInterval = 870 * time.Millisecond

// report sends status reports until the server ends.
func (u *upstream) report() {
	for u.ctx.Err() == nil {
		u.mu.Lock()
		silent := u.silent
		u.mu.Unlock()

		if !silent {
			u.sendReport(u.statusReport())
		}

		interval := heartbeatInterval

		u.mu.Lock()
		if len(u.released) > 0 {
			interval = 90 * time.Millisecond
		}
		u.mu.Unlock()

		select {
		case <-u.ctx.Done():
		case <-time.After(interval):
		}
	}
}

// statusReport returns the body of the next status report.
func (u *upstream) statusReport() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.seq++

	state := "ready"
	if u.draining {
		state = "draining"
	}

	holds := [][3]any{}
	if time.Now().Before(u.until) {
		for _, h := range u.holds {
			holds = append(holds, [3]any{h[0], h[1], h[2]})
		}
	}

	released := slices.Clone(u.released)
	if released == nil {
		released = [][3]any{}
	}

	data, _ := json.Marshal(map[string]any{
		"address": u.m.addr(portApp), "born": u.born, "holds": holds, "released": released,
		"info": map[string]any{"service": u.m.service, "version": "v1", "zone": u.m.zone, "slots": u.cfg.slots},
		"status": map[string]any{
			"state": state, "seq": u.seq, "cold_ms": u.coldLeft().Milliseconds(),
		},
	})

	return data
}

// call makes a call to the relay beside the server and returns the body of a 2xx answer.
func (u *upstream) call(name string, body []byte) ([]byte, bool) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := client.Post("http://"+u.m.addr(portControl)+"/sardinespar/rpc?call="+name+"&of="+u.cfg.id,
		"application/json", bytes.NewReader(body))
	if err != nil {
		return nil, false
	}
	defer resp.Body.Close()

	const maxReply = 4 << 10

	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReply+1))

	return data, err == nil && resp.StatusCode/100 == 2 && len(data) <= maxReply
}

// sendReport sends a status report and applies the reply. It returns whether the report was acknowledged.
func (u *upstream) sendReport(body []byte) bool {
	sent := time.Now()

	data, ok := u.call("instances.heartbeat", body)

	u.mu.Lock()
	u.replySize = len(data)
	u.mu.Unlock()

	if !ok {
		return false
	}

	var g struct {
		Holds  *[][4]any `json:"holds"`
		HoldMS int       `json:"hold_ms"`
	}

	if json.Unmarshal(data, &g) != nil {
		return false
	}

	u.mu.Lock()
	defer u.mu.Unlock()

	u.released = nil

	if u.draining && u.acked.IsZero() && bytes.Contains(body, []byte(`"draining"`)) {
		u.acked = time.Now()
		u.rec.line("server %s: leaving acknowledged", u.cfg.id)
	}

	if g.Holds == nil {
		return true
	}

	for _, old := range u.holds {
		if !slices.ContainsFunc(*g.Holds, func(n [4]any) bool {
			return number(n[0]) <= number(old[0]) && number(old[1]) <= number(n[1])
		}) {
			u.released = append(u.released, [3]any{old[0], old[1], fmt.Sprintf("%016x", rand.Uint64())})
		}
	}

	u.holds, u.until = *g.Holds, sent.Add(time.Duration(g.HoldMS)*time.Millisecond)

	return true
}

// lastWords returns the body of the deregistration. The server sends no status report from then on.
func (u *upstream) lastWords() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.draining, u.silent = true, true
	data, _ := json.Marshal(map[string]any{"born": u.born})

	return data
}

// sendLastWords sends the deregistration and returns whether it was acknowledged.
func (u *upstream) sendLastWords(body []byte) bool {
	_, ok := u.call("instances.deregister", body)

	u.mu.Lock()
	defer u.mu.Unlock()

	if ok {
		u.acked = time.Now()
		u.rec.line("server %s, born %d: deregistration acknowledged", u.cfg.id, u.born)
	}

	return ok
}

// deregister says that the server has left, and returns whether that was acknowledged.
func (u *upstream) deregister() bool {
	return u.sendLastWords(u.lastWords())
}

// setOnRun sets the function that is called with the id of each request that the server begins to run.
func (u *upstream) setOnRun(f func(id string)) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.onRun = f
}

// setSilent stops or resumes the status reports.
func (u *upstream) setSilent(silent bool) {
	u.mu.Lock()
	defer u.mu.Unlock()

	u.silent = silent
}

// reports returns how many status reports were sent.
func (u *upstream) reports() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.seq
}

// heldRanges returns how many ranges of keys the server holds.
func (u *upstream) heldRanges() int {
	u.mu.Lock()
	defer u.mu.Unlock()

	if time.Now().After(u.until) {
		return 0
	}

	return len(u.holds)
}

// replyBytes returns the size of the last reply to a status report.
func (u *upstream) replyBytes() int {
	u.mu.Lock()
	defer u.mu.Unlock()

	return u.replySize
}
