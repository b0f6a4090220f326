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

// store is a table that can be down.
type store struct {
	*table.Memory

	down atomic.Bool
}

func (s *store) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if s.down.Load() {
		return spar.Row{}, false, net.ErrClosed
	}

	return s.Memory.Get(ctx, key)
}

func (s *store) Scan(ctx context.Context, prefix string, since spar.Revision) ([]spar.Row, spar.Revision, error) {
	if s.down.Load() {
		return nil, 0, net.ErrClosed
	}

	return s.Memory.Scan(ctx, prefix, since)
}

func (s *store) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	if s.down.Load() {
		return spar.Commit{Verdict: spar.Unknown}
	}

	return s.Memory.Commit(ctx, txn)
}

// node is one spard's operators' part, reached over pipes at the address "node". Cut, if it is
// positive, is the number of replies that are still lost with their connection.
type node struct {
	ctx        context.Context //nolint:containedctx // lives as long as the test
	store      *store
	mux        *peers.Mux
	cut        atomic.Int64
	generation atomic.Int64
}

func newNode(t *testing.T) *node {
	ctx, stop := context.WithCancel(context.Background())
	n := &node{ctx: ctx, store: &store{Memory: table.NewMemory()}, mux: peers.NewMux()}
	clock, replica := spar.RuntimeClock(), fleet.NewReplica()
	wall := func() int64 { return time.Now().UnixMilli() }
	ring := event.NewRing(64, wall)
	pool := peers.NewPool(n.dial, &peers.Traffic{})
	spread := fleet.NewSync(replica, n.store, pool, clock, ring)

	row := spar.Node{ID: "vm1.a", VM: "vm1", Zone: "a", Service: "desk", State: spar.NodeLive, PeerAddr: "node"}
	service := spar.Service{Name: "desk", Mode: spar.ModeKeyed, Slots: 8}
	n.store.Commit(ctx, spar.Txn{Writes: []spar.Write{
		{Key: fleet.NodeKey(row.ID), Value: fleet.Encode(row)},
		{Key: fleet.ServiceKey("desk"), Value: fleet.Encode(service)},
	}})
	spread.Scan(ctx)
	ring.Named(row.ID)
	ring.Record(spar.Event{Kind: spar.EventRegistered, Detail: "<script>"})

	admin.New(admin.Deps{
		Self: func() spar.NodeID { return row.ID }, Replica: replica, Spread: spread, Table: n.store, Calls: pool,
		Ring: ring, Clock: clock, Wall: wall,
		Report: func() admin.NodeReport { return admin.NodeReport{Generation: n.generation.Load()} },
	}).Register(n.mux)

	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})

	return n
}

// one is a listener of one connection.
type one chan net.Conn

func (l one) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}

	return c, nil
}

func (l one) Close() error {
	close(l)

	return nil
}

func (l one) Addr() net.Addr {
	return &net.UnixAddr{}
}

// broken is a connection whose first reply is lost.
type broken struct {
	net.Conn
}

func (b broken) Write([]byte) (int, error) {
	_ = b.Close()

	return 0, net.ErrClosed
}

func (n *node) dial(_ context.Context, addr string) (net.Conn, error) {
	if addr != "node" {
		return nil, net.ErrClosed
	}

	near, far := net.Pipe()
	ln := make(one, 1)

	if n.cut.Add(-1) >= 0 {
		far = broken{far}
	}

	ln <- far

	go func() { _ = peers.NewServer(n.mux, &peers.Traffic{}).Serve(n.ctx, ln) }()

	return near, nil
}

// run runs a command line and returns its status and output.
func (n *node) run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer

	status := shell.Run(n.ctx, append([]string{"--node", "dead", "--node", "node", "--by", "ann"}, args...),
		&out, &errs, n.dial)

	return status, out.String(), errs.String()
}

func file(t *testing.T, text string) string {
	name := filepath.Join(t.TempDir(), "day.ini")
	qt.Assert(t, os.WriteFile(name, []byte(text), 0o600), qt.IsNil)

	return name
}

const day = "[department d]\nservice = desk\nobjective = churn_slots_per_hour\ntarget = 1\n"

// TestCommands guards against exit statuses and messages that a script or a newcomer can't use.
// The first node given never answers, so every command falls back to the second.
func TestCommands(t *testing.T) {
	good, bad := file(t, day), file(t, day+"speed = 3\n")

	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)

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
			{"status", shell.ExitOK, "taken out: 1: a by ann", ""},
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

// TestHelpIsPrintedOnce guards against help that repeats itself or shows another default each time.
func TestHelpIsPrintedOnce(t *testing.T) {
	var first, second bytes.Buffer

	for _, out := range []*bytes.Buffer{&first, &second} {
		qt.Assert(t, shell.Run(context.Background(), []string{"--help"}, out, out, nil), qt.Equals, shell.ExitOK)
	}

	qt.Assert(t, strings.Count(first.String(), "Exit statuses"), qt.Equals, 1)
	qt.Assert(t, first.String(), qt.Equals, second.String())
}

// TestLostReplies guards against a change that took effect and is reported as failed, and against
// one that was never sent and is reported as in doubt.
func TestLostReplies(t *testing.T) {
	good := file(t, day)

	synctest.Test(t, func(t *testing.T) {
		n := newNode(t)
		n.cut.Store(2)

		status, out, errs := n.run("preset", "create", "day", good)
		qt.Assert(t, status, qt.Equals, shell.ExitOK, qt.Commentf("%s", errs))
		qt.Assert(t, out, qt.Contains, "preset day/1")

		n.cut.Store(1000)

		status, _, errs = n.run("preset", "force", "day/1", "--seen", "0", "--op", "mine")
		qt.Assert(t, status, qt.Equals, shell.ExitUnknown)
		qt.Assert(t, errs, qt.Contains, "--op mine")

		n.cut.Store(0)

		status, out, _ = n.run("preset", "force", "day/1", "--seen", "0", "--op", "mine")
		qt.Assert(t, status, qt.Equals, shell.ExitOK)
		qt.Assert(t, out, qt.Contains, "generation 1")

		n.store.down.Store(true)

		status, _, errs = n.run("preset", "force", "day/1", "--seen", "1")
		qt.Assert(t, status, qt.Equals, shell.ExitUnavailable, qt.Commentf("%s", errs))
	})
}

// TestPage guards against a page that loads something from elsewhere or runs text from events.
func TestPage(t *testing.T) {
	name := filepath.Join(t.TempDir(), "t.html")

	synctest.Test(t, func(t *testing.T) {
		status, _, errs := newNode(t).run("timeline", "--html", name)
		qt.Assert(t, status, qt.Equals, shell.ExitOK, qt.Commentf("%s", errs))
	})

	data, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Contains, "&lt;script&gt;")
	qt.Assert(t, string(data), qt.Contains, "a vm1.a</text>")
	qt.Assert(t, strings.Count(string(data), "<script>"), qt.Equals, 1)

	for _, loads := range []string{"http:", "https:", "src=", "href=", "@import", "url("} {
		qt.Assert(t, strings.Contains(string(data), loads), qt.IsFalse, qt.Commentf("%s", loads))
	}
}
