package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/agent"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/meter"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/preset"
	"sardinespar.example/spar/table"
)

// pipeNet is a network in which connections are pipes.
type pipeNet struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// pipeListener listens on one address of a pipeNet.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.closed) })

	return nil
}

func (p *pipeListener) Addr() net.Addr {
	return &net.UnixAddr{}
}

func (w *pipeNet) listen(addr string) net.Listener {
	w.mu.Lock()
	defer w.mu.Unlock()

	p := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[addr] = p

	return p
}

func (w *pipeNet) dial(ctx context.Context, addr string) (net.Conn, error) {
	w.mu.Lock()
	p, ok := w.listeners[addr]
	w.mu.Unlock()

	if !ok {
		return nil, net.ErrClosed
	}

	near, far := net.Pipe()

	select {
	case p.conns <- far:
		return near, nil
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *pipeNet) transport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives: true,
		DialContext:       func(ctx context.Context, _, addr string) (net.Conn, error) { return w.dial(ctx, addr) },
	}
}

// startAgent starts an agent and announces a backend server to it.
func (w *pipeNet) startAgent(ctx context.Context, t *testing.T, wg *sync.WaitGroup, n int, store spar.Table) {
	addr := func(what string) string { return fmt.Sprintf("%s%d:1", what, n) }
	cfg := config.Settings{
		VM: fmt.Sprintf("vm%d", n), Zone: "a", HTTPAddr: addr("http"), PeerAddr: addr("peer"), LocalAddr: addr("local"),
		EventCount: 64, MaxQueue: 10, LeaseMode: config.LeaseTable, Admission: config.AdmissionFixed,
	}
	a := agent.New(cfg, agent.Deps{
		Clock: spar.RuntimeClock(), UnixMillis: func() int64 { return time.Now().UnixMilli() }, Table: store, Dial: w.dial,
		HTTP: w.transport(), Log: log.New(io.Discard), NewInstanceID: func() string { return "a" },
	})
	ln := agent.Listeners{HTTP: w.listen(addr("http")), Peer: w.listen(addr("peer")), Local: w.listen(addr("local"))}

	wg.Go(func() { _ = a.Run(ctx, ln) })

	announcement, err := json.Marshal(agent.Announcement{
		Service: "cards", Mode: spar.ModeAny, Addr: "10.0.0.9:1", Slots: 4, Conns: 9, State: agent.StateUp,
	})
	qt.Assert(t, err, qt.IsNil)

	status, _ := w.request(t, http.MethodPut, "http://"+addr("local")+"/announce", string(announcement))
	qt.Assert(t, status, qt.Equals, http.StatusNoContent)
}

func (w *pipeNet) request(t *testing.T, method, url, body string) (int, []byte) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)

	resp, err := w.transport().RoundTrip(req)
	qt.Assert(t, err, qt.IsNil)

	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)

	return resp.StatusCode, data
}

func (w *pipeNet) vars(t *testing.T, n int) map[string]json.RawMessage {
	_, data := w.request(t, http.MethodGet, fmt.Sprintf("http://local%d:1/debug/vars", n), "")

	var vars map[string]json.RawMessage
	qt.Assert(t, json.Unmarshal(data, &vars), qt.IsNil)

	return vars
}

// Guards against a metric of the catalog that an agent does not serve, metrics that agents of one process share,
// and a preset that does not come into force on every agent.
func TestOperatorsReachAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		w := &pipeNet{listeners: map[string]*pipeListener{}}
		store := table.NewMemory()

		var wg sync.WaitGroup

		for n := range 2 {
			w.startAgent(ctx, t, &wg, n, store)
		}

		time.Sleep(5 * time.Second)

		pool := peers.NewPool(w.dial, &peers.Traffic{})
		file := "[department d]\nservice = cards\nobjective = tail_latency_ms\ntarget = 13\n"

		var (
			made   admin.PresetCreateResult
			forced change.Result
		)

		qt.Assert(t, pool.Call(ctx, "peer0:1", admin.MethodPresetCreate,
			admin.PresetCreateParams{Name: "day", Text: file, By: "ann", Op: "1"}, &made), qt.IsNil)
		qt.Assert(t, pool.Call(ctx, "peer0:1", admin.MethodPresetForce,
			preset.ActivateParams{Name: "day", Version: 1, By: "ann", Op: "2"}, &forced), qt.IsNil)
		qt.Assert(t, forced.Verdict, qt.Equals, change.Accepted, qt.Commentf("%+v", forced))

		status, _ := w.request(t, http.MethodGet, "http://http0:1/nowhere/x", "")
		qt.Assert(t, status, qt.Equals, http.StatusNotFound)
		time.Sleep(8 * time.Second)

		vars := []map[string]json.RawMessage{w.vars(t, 0), w.vars(t, 1)}

		for _, m := range meter.Catalog() {
			_, ok := vars[0][m.Name]
			qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s", m.Name))
		}

		qt.Check(t, string(vars[0][meter.RefusalsByReason]), qt.Equals, `{"no_service":1}`)
		qt.Check(t, string(vars[1][meter.RefusalsByReason]), qt.Equals, `{}`)
		qt.Check(t, string(vars[0][meter.PresetInForce]), qt.Equals, "1")
		qt.Check(t, string(vars[1][meter.PresetInForce]), qt.Equals, "1")
		qt.Check(t, string(vars[1][meter.Limit]), qt.Equals, "4")
		qt.Check(t, vars[0]["memstats"], qt.IsNotNil)

		pool.Close()
		stop()
		wg.Wait()
	})
}
