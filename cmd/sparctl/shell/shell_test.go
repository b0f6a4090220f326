package shell_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/cmd/sparctl/shell"
	"sardinespar.example/spar/event"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/peers"
	"sardinespar.example/spar/table"
)

// faultyTable is an in-memory table that can be made unavailable.
type faultyTable struct {
	*table.Memory

	unavailable atomic.Bool
}

func (t *faultyTable) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if t.unavailable.Load() {
		return spar.Row{}, false, net.ErrClosed
	}

	return t.Memory.Get(ctx, key)
}

func (t *faultyTable) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	if t.unavailable.Load() {
		return nil, 0, net.ErrClosed
	}

	return t.Memory.Scan(ctx, prefix, since)
}

func (t *faultyTable) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	if t.unavailable.Load() {
		return spar.Commit{Verdict: spar.VerdictUnknown}
	}

	return t.Memory.Commit(ctx, txn)
}

// testNode is the operators' interface of one spard, reached over pipes at the address "node".
// lostReplies, if it is positive, is the number of connections that will still break at their first reply.
type testNode struct {
	ctx         context.Context //nolint:containedctx // lives as long as the test
	table       *faultyTable
	mux         *peers.Mux
	lostReplies atomic.Int64
	generation  atomic.Int64
}

func newTestNode(t *testing.T) *testNode {
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{ctx: ctx, table: &faultyTable{Memory: table.NewMemory()}, mux: peers.NewMux()}
	clock, replica := spar.RuntimeClock(), fleet.NewReplica()
	unixMillis := func() int64 { return time.Now().UnixMilli() }
	ring := event.NewRing(64, unixMillis)
	pool := peers.NewPool(n.dial, &peers.Traffic{})
	sync := fleet.NewSync(replica, n.table, pool, clock, ring)

	row := spar.Node{ID: "vm1.a", VM: "vm1", Zone: "a", Service: "desk", State: spar.NodeLive, PeerAddr: "node"}
	service := spar.Service{Name: "desk", Mode: spar.ModeKeyed, Slots: 8}
	n.table.Commit(ctx, spar.Txn{Writes: []spar.Write{
		{Key: fleet.NodeKey(row.ID), Value: fleet.Encode(row)},
		{Key: fleet.ServiceKey("desk"), Value: fleet.Encode(service)},
	}})
	sync.Scan(ctx)
	ring.SetNode(row.ID)
	ring.Record(spar.Event{Kind: spar.EventRegistered, Detail: "<script>"})

	admin.New(admin.Deps{
		Self: func() spar.NodeID { return row.ID }, Replica: replica, Sync: sync, Table: n.table, Caller: pool,
		Ring: ring, Clock: clock, UnixMillis: unixMillis,
		Report: func() admin.NodeReport { return admin.NodeReport{Generation: n.generation.Load()} },
	}).Register(n.mux)

	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})

	return n
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener chan net.Conn

func (l singleConnListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}

	return c, nil
}

func (l singleConnListener) Close() error {
	close(l)

	return nil
}

func (l singleConnListener) Addr() net.Addr {
	return &net.UnixAddr{}
}

// brokenConn is a server's connection that breaks when the first reply is written.
type brokenConn struct {
	net.Conn
}

func (b brokenConn) Write([]byte) (int, error) {
	_ = b.Close()

	return 0, net.ErrClosed
}

func (n *testNode) dial(_ context.Context, addr string) (net.Conn, error) {
	if addr != "node" {
		return nil, net.ErrClosed
	}

	client, server := net.Pipe()
	ln := make(singleConnListener, 1)

	if n.lostReplies.Add(-1) >= 0 {
		server = brokenConn{server}
	}

	ln <- server

	go func() { _ = peers.NewServer(n.mux, &peers.Traffic{}).Serve(n.ctx, ln) }()

	return client, nil
}

// run runs sparctl and returns its exit status, stdout and stderr.
func (n *testNode) run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer

	status := shell.Run(n.ctx, append([]string{"--node", "dead", "--node", "node", "--by", "ann"}, args...),
		&stdout, &stderr, n.dial)

	return status, stdout.String(), stderr.String()
}

func writePreset(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "day.ini")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)

	return name
}

const validPreset = "[department d]\nservice = desk\nobjective = churn_slots_per_hour\ntarget = 1\n"

// TestCommands guards against wrong exit statuses and unhelpful messages. The first node given never
// answers, so every command falls back to the second.
func TestCommands(t *testing.T) {
	good, bad := writePreset(t, validPreset), writePreset(t, validPreset+"speed = 3\n")

	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(t)

		for _, step := range []struct {
			args      string
			status    int
			out, errs string
		}{
			{"preset check " + bad, shell.ExitUsage, `line 5: [department d] speed = "3": unknown key`, "has 1 faults"},
			{"preset create day " + bad, shell.ExitUsage, "", `line 5: [department d] speed`},
			{"preset create day " + good, shell.ExitOK, "accepted: preset day/1", ""},
			{"preset force day", shell.ExitUsage, "", "give --seen 0"},
			{"preset force day --seen 0 --op first", shell.ExitOK, "generation 1", ""},
			{"preset force day --seen 0 --op first", shell.ExitOK, "generation 1", ""},
			{"preset force day --seen 0", shell.ExitConflict, "", "generation 1 is preset day/1 by ann (operation first)"},
			{"preset force day", shell.ExitUsage, "", "give --seen 1"},
			{"preset force night --seen 1", shell.ExitFailed, "", "preset night does not exist"},
			{"wait --timeout 2s", shell.ExitLagging, "", "vm1.a (generation 0)"},
			{"zone out a --dry-run", shell.ExitOK, "desk (keyed): 0 slots move, 0 upstreams serve", ""},
			{"zone out a", shell.ExitUsage, "", "no upstream would be left of [desk]"},
			{"zone out a --anyway --op z", shell.ExitOK, "zone a is out by ann (change 1)", ""},
			{"zone out a --anyway --op z", shell.ExitOK, "(change 1)", ""},
			{"zone in a --seen 0", shell.ExitConflict, "", "zone a out by ann"},
			{"zone list", shell.ExitOK, "a     true  ann  1", ""},
			{"status", shell.ExitOK, "withdrawn: 1: a by ann", ""},
			{"explain k", shell.ExitOK, "owner: none", ""},
			{"timeline --slot 3", shell.ExitUsage, "", "need --service"},
			{"timeline --from soon", shell.ExitUsage, "", "accepted: RFC 3339"},
			{"--version", 0, "sparctl ", ""},
			{"zone --help", 0, "zone out", ""},
			{"nonsense", shell.ExitUsage, "", "see sparctl --help"},
			{"quarantine lift f", shell.ExitUsage, "", "no quarantine of f"},
		} {
			status, out, errs := n.run(strings.Fields(step.args)...)
			comment := qt.Commentf("%s: %s%s", step.args, out, errs)
			qt.Assert(t, status, qt.Equals, step.status, comment)
			qt.Assert(t, out, qt.Contains, step.out, comment)
			qt.Assert(t, errs, qt.Contains, step.errs, comment)
		}

		n.generation.Store(1)

		status, out, _ := n.run("wait", "--json")
		qt.Assert(t, status, qt.Equals, shell.ExitOK)
		qt.Assert(t, json.Valid([]byte(out)), qt.IsTrue)
	})
}

// TestHelpIsStable guards against help that repeats a section or shows a different default each time.
func TestHelpIsStable(t *testing.T) {
	var first, second bytes.Buffer

	for _, out := range []*bytes.Buffer{&first, &second} {
		qt.Assert(t, shell.Run(context.Background(), []string{"--help"}, out, out, nil), qt.Equals, shell.ExitOK)
	}

	qt.Assert(t, strings.Count(first.String(), "Exit statuses"), qt.Equals, 1)
	qt.Assert(t, first.String(), qt.Equals, second.String())
}

// TestLostReplies guards against reporting a change that took effect as failed, and against reporting a
// change that was never sent as unknown.
func TestLostReplies(t *testing.T) {
	good := writePreset(t, validPreset)

	synctest.Test(t, func(t *testing.T) {
		n := newTestNode(t)
		n.lostReplies.Store(2)

		status, out, errs := n.run("preset", "create", "day", good)
		qt.Assert(t, status, qt.Equals, shell.ExitOK, qt.Commentf("%s", errs))
		qt.Assert(t, out, qt.Contains, "preset day/1")

		n.lostReplies.Store(1000)

		status, _, errs = n.run("preset", "force", "day/1", "--seen", "0", "--op", "mine")
		qt.Assert(t, status, qt.Equals, shell.ExitUnknown)
		qt.Assert(t, errs, qt.Contains, "--op mine")

		n.lostReplies.Store(0)

		status, out, _ = n.run("preset", "force", "day/1", "--seen", "0", "--op", "mine")
		qt.Assert(t, status, qt.Equals, shell.ExitOK)
		qt.Assert(t, out, qt.Contains, "generation 1")

		n.table.unavailable.Store(true)

		status, _, errs = n.run("preset", "force", "day/1", "--seen", "1")
		qt.Assert(t, status, qt.Equals, shell.ExitUnavailable, qt.Commentf("%s", errs))
	})
}

// TestPage guards against a page that loads other resources or runs text from events as a script.
func TestPage(t *testing.T) {
	name := filepath.Join(t.TempDir(), "t.html")

	synctest.Test(t, func(t *testing.T) {
		status, _, errs := newTestNode(t).run("timeline", "--html", name)
		qt.Assert(t, status, qt.Equals, shell.ExitOK, qt.Commentf("%s", errs))
	})

	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Contains, "&lt;script&gt;")
	qt.Assert(t, string(data), qt.Contains, "a vm1.a</text>")
	qt.Assert(t, strings.Count(string(data), "<script>"), qt.Equals, 1)

	for _, external := range []string{"http:", "https:", "src=", "href=", "@import", "url("} {
		qt.Assert(t, strings.Contains(string(data), external), qt.IsFalse, qt.Commentf("%s", external))
	}
}
