package crash_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/fault"
	"sardinespar.example/spar/table"
)

// backupNode is one process of a node.
type backupNode struct {
	detector *crash.Detector
	backup   *crash.Backup
	stop     func()
}

// startBackup starts a process of a node that keeps its entries in a table.
func startBackup(node string, t spar.Table, first bool) backupNode {
	ctx, stop := context.WithCancel(context.Background())
	d := crash.NewDetector(func() int64 { return time.Now().UnixMilli() })
	cfg := crash.BackupSettings{Node: node, FirstStart: first, Timeout: 700}
	n := backupNode{
		detector: d, backup: crash.NewBackup(cfg, d, t, spar.RuntimeClock(), log.New(io.Discard)), stop: stop,
	}

	go n.backup.Run(ctx)

	return n
}

// crashed records that a backend server crashed while a request was in flight.
func (n backupNode) crashed(victim spar.NodeID, requests ...crash.Request) {
	n.backup.Add(n.detector.RecordCrash(victim, requests))
}

// inBubble runs f with a table in virtual time.
func inBubble(t *testing.T, f func(c *qt.C, memory *table.Memory, store *fault.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		memory := table.NewMemory()
		f(qt.New(t), memory, fault.NewStore(memory))
	})
}

// Guards against entries that are lost when all nodes end: of requests with one crash as well, and if the table is
// unavailable at the time of the crash or of the start.
func TestBackupSurvivesAllNodes(t *testing.T) {
	inBubble(t, func(c *qt.C, _ *table.Memory, store *fault.Store) {
		a, b := startBackup("a", store, true), startBackup("b", store, true)
		time.Sleep(10 * time.Second)
		reads, writes := store.Counts()
		c.Check([]int{reads, writes}, qt.DeepEquals, []int{0, 0})

		store.Set(fault.StoreFaults{Outage: true})
		a.crashed("a.1", deadly)
		time.Sleep(3 * time.Second)
		store.Set(fault.StoreFaults{})
		b.crashed("b.1", other)
		time.Sleep(2 * time.Second)
		a.stop()
		b.stop()

		store.Set(fault.StoreFaults{Outage: true})

		n := startBackup("c", store, false)
		defer n.stop()

		time.Sleep(time.Second)
		store.Set(fault.StoreFaults{})
		time.Sleep(2 * time.Second)
		c.Check(n.detector.Entries(), qt.HasLen, 2)

		n.crashed("c.1", deadly)
		c.Check(quarantined(n.detector, deadly), qt.IsTrue)
		c.Check(quarantined(n.detector, other), qt.IsFalse)
	})
}

// Guards against entries of requests that have completed since, or that have expired, and that stay in the table.
func TestBackupForgetsWhatIsOver(t *testing.T) {
	inBubble(t, func(c *qt.C, memory *table.Memory, store *fault.Store) {
		rows := func() int {
			all, _, err := memory.Scan(context.Background(), "crashes//", 0)
			c.Assert(err, qt.IsNil)

			return len(all)
		}

		a, gone := startBackup("a", store, true), startBackup("gone", store, true)
		a.crashed("a.1", deadly)
		gone.crashed("gone.1", other)
		time.Sleep(time.Second)
		gone.stop()
		c.Check(rows(), qt.Equals, 2)

		a.detector.RecordCompletion(deadly)
		time.Sleep(6 * time.Second)
		c.Check(rows(), qt.Equals, 1)

		time.Sleep(2 * time.Hour)
		a.stop()

		b := startBackup("b", store, false)
		defer b.stop()

		time.Sleep(time.Second)
		c.Check(rows(), qt.Equals, 0)
	})
}

// Guards against a write of an earlier process of the node that takes effect late and replaces that of a later one, and
// against a row that a restore of the table has lost.
func TestBackupKeepsNewestRow(t *testing.T) {
	for name, disturb := range map[string]func(m *table.Memory, s *fault.Store, earlier backupNode){
		"late write": func(_ *table.Memory, s *fault.Store, earlier backupNode) {
			s.Set(fault.StoreFaults{Delay: 500 * time.Millisecond})
			earlier.crashed("a.2", crash.Request{URI: "/third"})
			time.Sleep(100 * time.Millisecond)
			s.Set(fault.StoreFaults{})
			earlier.stop()
		},
		"restore": func(m *table.Memory, _ *fault.Store, earlier backupNode) {
			earlier.stop()
			m.Restore(table.NewMemory().Snapshot())
		},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(c *qt.C, memory *table.Memory, store *fault.Store) {
				earlier := startBackup("a", store, true)
				earlier.crashed("a.1", deadly)
				time.Sleep(time.Second)

				later := startBackup("a", store, false)
				time.Sleep(time.Second)
				disturb(memory, store, earlier)
				later.backup.Restored()
				later.crashed("a.3", other)
				time.Sleep(2 * time.Second)
				later.stop()

				n := startBackup("b", store, false)
				defer n.stop()

				time.Sleep(time.Second)
				n.crashed("b.1", deadly, other)
				c.Check(quarantined(n.detector, deadly), qt.IsTrue)
				c.Check(quarantined(n.detector, other), qt.IsTrue)
			})
		})
	}
}

// Guards against a row that is longer than the table allows, or that leaves out the requests with the most crashes.
func TestBackupFitsTableRow(t *testing.T) {
	inBubble(t, func(c *qt.C, memory *table.Memory, store *fault.Store) {
		n := startBackup("a", store, true)
		defer n.stop()

		suspects := make([]crash.Request, 1000)
		for i := range suspects {
			suspects[i] = crash.Request{Service: "s", URI: fmt.Sprint("/", i) + strings.Repeat("x", 8000)}
		}

		for i := range 3 {
			n.crashed(spar.NodeID(fmt.Sprint("a.", i)), deadly)
		}

		n.crashed("a.9", suspects...)
		time.Sleep(time.Second)

		row, found, err := memory.Get(context.Background(), "crashes//a")
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsTrue)
		c.Check(len(row.Value) <= 48<<10, qt.IsTrue)

		var entries []crash.Record
		c.Assert(json.Unmarshal(row.Value, &entries), qt.IsNil)
		c.Check(entries[0].Fingerprint, qt.Equals, deadly.Fingerprint())
		c.Check(len(entries) > 50, qt.IsTrue, qt.Commentf("%d entries", len(entries)))
	})
}

// Guards against a row that another writer has made unreadable and that hides the rows of other nodes, or the later
// crashes of its own node.
func TestBackupSurvivesInvalidRow(t *testing.T) {
	inBubble(t, func(c *qt.C, memory *table.Memory, store *fault.Store) {
		for _, key := range []string{"crashes//a", "crashes//b"} {
			memory.Commit(context.Background(), spar.Txn{Writes: []spar.Write{
				{Key: key, Value: json.RawMessage(`{"entries":7}`)},
			}})
		}

		n := startBackup("a", store, false)
		time.Sleep(time.Second)
		n.crashed("a.1", deadly)
		time.Sleep(time.Second)
		n.stop()

		later := startBackup("c", store, false)
		defer later.stop()

		time.Sleep(time.Second)
		c.Check(later.detector.Entries(), qt.HasLen, 1)
	})
}
