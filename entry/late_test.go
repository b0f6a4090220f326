package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/entry"
	"sardinespar.example/spar/gate"
	"sardinespar.example/spar/httpd"
	"sardinespar.example/spar/mesh"
	"sardinespar.example/spar/owner"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/rules"
)

// partialNode is a node that sends the first part of a response, and the rest after a delay. Requests say what it does
// by the query: length, first (the bytes of the first part), wait (ms before the head), pause (ms before the rest) and
// cut (the connection ends in place of the rest).
func partialNode(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	number := func(name string) int {
		n, _ := strconv.Atoi(q.Get(name))

		return n
	}

	time.Sleep(spar.Millis(number("wait")).Duration())

	body := strings.Repeat("x", number("length"))

	h := w.Header()
	h.Set("Spar-Request", r.Header.Get("Spar-Request"))
	h.Set(spar.HeaderOutcome, string(spar.OutcomeCompleted))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body[:number("first")])
	_ = http.NewResponseController(w).Flush()

	if q.Has("cut") {
		panic(http.ErrAbortHandler)
	}

	select {
	case <-time.After(spar.Millis(number("pause")).Duration()):
		_, _ = io.WriteString(w, body[number("first"):])
	case <-r.Context().Done():
	}
}

// listenLoopback returns a listener on a free port.
func listenLoopback(c *qt.C) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })

	return ln
}

// startEntry serves an entry whose only other node is served by a handler. It returns the entry's address.
func startEntry(c *qt.C, node http.Handler) string {
	return startEntryOn(c, node, pace.New(spar.RuntimeClock(), 0))
}

// startEntryOn is startEntry with a given network link.
func startEntryOn(c *qt.C, node http.Handler, link *pace.Link) string {
	clock, l := spar.RuntimeClock(), log.New(io.Discard)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}

	rule := rules.Rule{
		Name: "long", Host: "a.example", Prefix: "/long/", Kind: rules.Safe, Timeout: 3000, Attempts: 2,
		Destinations: []rules.Destination{{Service: "desk", Weight: 1}},
	}
	short := rule
	short.Name, short.Prefix, short.Timeout = "short", "/short/", 300

	set, err := rules.New(1, []rules.Rule{rule, short}, []rules.Service{{Name: "desk"}}, rules.Limits{})
	c.Assert(err, qt.IsNil)

	inbound := listenLoopback(c)
	go func() { _ = http.Serve(inbound, node) }()

	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)

	// The other node tells its state by a call.
	mux, control := peers.NewMux(), listenLoopback(c)
	m := mesh.New("a", mesh.Deps{
		Clock: clock, Log: l, OnState: func(mesh.State) {}, Self: func() mesh.State { return mesh.State{} },
	})
	m.Register(mux)

	go func() { _ = peers.NewServer(mux, &peers.Traffic{}).Serve(ctx, control) }()

	c.Assert(peers.NewPool(dial, &peers.Traffic{}).Call(ctx, control.Addr().String(), "mesh.state", mesh.State{
		Node: "b", PeerAddr: control.Addr().String(), InboundAddr: inbound.Addr().String(), Service: "desk", Ready: true,
		ServerIncarnation: spar.Incarnation{ID: "i-b", StartedMs: 1}, Load: gate.Load{Slots: 9},
	}, &mesh.State{}), qt.IsNil)

	e := entry.New(entry.Settings{
		Node: "a", Names: spar.HeaderNames{RequestID: "Id", Deadline: "Deadline-Ms"}, MaxRulesAge: 1500,
	}, entry.Deps{
		Clock: clock, Log: l, Rules: func() *rules.Set { return set }, Maps: owner.NewMaps(), Mesh: m,
		Pool: conns.New(dial, clock, conns.Options{MaxIdle: 4, IdleTimeout: 5000}),
		Gate: gate.New(gate.Settings{}, gate.Deps{Clock: clock}), Link: link,

		Closed: func() bool { return false }, Closing: func() bool { return false },
		ZoneWithdrawn: func(string) bool { return false },
		RulesLag:      func() (spar.Millis, bool) { return 0, false },
		Quarantined:   func(gate.Request) (spar.Millis, bool) { return 0, false },
	})

	server := httpd.New(httpd.Settings{
		PipelineDepth: 8, PipelineBytes: 64 << 10, HeadBytes: 16 << 10, HeadTimeout: 5000, IdleTimeout: 10_000,
		MaxBodyBytes: 1 << 20,
	}, httpd.Deps{Clock: clock, Handler: e, Log: l})
	c.Cleanup(func() { _ = server.Close() })

	outbound := listenLoopback(c)
	go func() { _ = server.Serve(outbound) }()

	return outbound.Addr().String()
}

// pipelined is a request that is sent without waiting for the responses before, how long its caller waits for the
// response, and the status that it gets.
type pipelined struct {
	target   string
	deadline int
	want     int
}

// Guards against a response that does not arrive in time or completely, and that takes the responses behind it on its
// connection along: as long as nothing of it has been sent, its caller gets the truth in its place.
func TestLateResponseLeavesOthersWhole(t *testing.T) {
	whole := pipelined{target: "/long/?length=9000&first=9000", deadline: 3000, want: http.StatusOK}

	for name, tt := range map[string][]pipelined{
		"rest missing": {
			{"/long/?length=9000&first=4500&pause=9000", 400, http.StatusGatewayTimeout}, whole, whole,
		},
		"rest of a long one missing": {
			{"/long/?length=90000&first=9000&pause=9000", 400, http.StatusGatewayTimeout}, whole, whole,
		},
		"broken off": {
			{"/long/?length=9000&first=4500&cut", 2000, http.StatusBadGateway}, whole, whole,
		},
		"long one broken off": {
			{"/long/?length=90000&first=9000&cut", 2000, http.StatusBadGateway}, whole, whole,
		},
		"rest just after the deadline": {
			{"/short/?length=9000&first=4500&pause=310", 3000, http.StatusOK}, whole, whole,
		},
		"rest just after the caller's own deadline": {
			{"/long/?length=9000&first=4500&pause=450", 400, http.StatusGatewayTimeout}, whole, whole,
		},
		"late while it waits for its turn": {
			{"/long/?length=9000&first=9000&wait=900", 3000, http.StatusOK},
			{"/long/?length=90000&first=30000&pause=9000", 400, http.StatusGatewayTimeout},
			whole,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			c := qt.New(t)
			conn, err := net.Dial("tcp", startEntry(c, http.HandlerFunc(partialNode)))
			c.Assert(err, qt.IsNil)
			defer conn.Close()

			for i, p := range tt {
				_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nId: r%d\r\nDeadline-Ms: %d\r\n\r\n",
					p.target, i, p.deadline)
				c.Assert(err, qt.IsNil)
			}

			r := bufio.NewReader(conn)

			for i, p := range tt {
				resp, err := http.ReadResponse(r, nil)
				c.Assert(err, qt.IsNil, qt.Commentf("response %d", i))
				c.Check(resp.StatusCode, qt.Equals, p.want, qt.Commentf("response %d", i))

				body, err := io.ReadAll(resp.Body)
				c.Check(err, qt.IsNil)

				if p.want == http.StatusOK {
					c.Check(len(body), qt.Equals, 9000)
				}
			}
		})
	}
}
