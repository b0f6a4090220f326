package table_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/internal/prop"
	"sardinespar.example/spar/table"
)

func TestMain(m *testing.M) {
	prop.Main(m, 20261204, 200, 0)
}

// faultyTable drops requests or replies according to a list of faults, one for each call.
type faultyTable struct {
	spar.Table

	faults []faultKind
	next   int
}

type faultKind int

const (
	noFault faultKind = iota
	dropRequest
	dropReply
	dropRead
)

func (f *faultyTable) nextFault() faultKind {
	if f.next >= len(f.faults) {
		return noFault
	}

	f.next++

	return f.faults[f.next-1]
}

func (f *faultyTable) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	switch f.nextFault() {
	case dropRequest:
		return spar.Commit{Verdict: spar.VerdictUnknown}
	case dropReply:
		f.Table.Commit(ctx, txn)

		return spar.Commit{Verdict: spar.VerdictUnknown}
	default:
		return f.Table.Commit(ctx, txn)
	}
}

func (f *faultyTable) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if f.nextFault() == dropRead {
		return spar.Row{}, false, errors.New("read failed")
	}

	return f.Table.Get(ctx, key)
}

func setRow(key, value string, revision spar.Revision) spar.Txn {
	return spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: revision}},
		Writes:     []spar.Write{{Key: key, Value: json.RawMessage(value)}},
	}
}

// Guards against treating a lost reply as a rejection, and against applying a transaction twice when it is sent
// again.
func TestWriterResolvesLostReplies(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults []faultKind
		other  bool
		want   spar.Verdict
	}{
		{name: "delivered", want: spar.VerdictApplied},
		{name: "request lost", faults: []faultKind{dropRequest}, want: spar.VerdictApplied},
		{name: "reply lost", faults: []faultKind{dropReply}, want: spar.VerdictApplied},
		{name: "reply and read-back lost", faults: []faultKind{dropReply, noFault, dropRead}, want: spar.VerdictApplied},
		{name: "conflict", other: true, want: spar.VerdictRejected},
		{name: "conflict after lost request", other: true, faults: []faultKind{dropRequest}, want: spar.VerdictRejected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				store := table.NewMemory()
				w := table.NewWriter(&faultyTable{Table: store, faults: tc.faults}, spar.RuntimeClock(), "n.1", "test")

				if tc.other {
					store.Commit(ctx, setRow("row", `"other"`, 0))
				}

				got := w.Commit(ctx, setRow("row", `"mine"`, 0))
				qt.Assert(t, got.Verdict, qt.Equals, tc.want)

				row, _, err := store.Get(ctx, "row")
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(row.Value) == `"mine"`, qt.Equals, tc.want == spar.VerdictApplied)

				if tc.want == spar.VerdictApplied {
					qt.Assert(t, got.Revision, qt.Equals, row.Revision)
				}
			})
		})
	}
}

// Guards against verdicts of a writer that differ from what the table has applied, under any sequence of lost
// requests, lost replies and competing writes.
func TestWriterAgreesWithTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := table.NewMemory()
		faults := rapid.SliceOfN(rapid.SampledFrom([]faultKind{noFault, dropRequest, dropReply}), 0, 12).Draw(t, "fates")
		instant := spar.NewClock(func() spar.Millis { return 0 }, func(spar.Millis) *time.Timer { return time.NewTimer(0) })
		w := table.NewWriter(&faultyTable{Table: store, faults: faults}, instant, "n.1", "test")

		applied := 0

		for i := range rapid.IntRange(1, 8).Draw(t, "commits") {
			row, _, _ := store.Get(ctx, "count")
			if rapid.Bool().Draw(t, "race") {
				store.Commit(ctx, setRow("count", `"other"`, row.Revision))
			}

			txn := setRow("count", fmt.Sprintf("%d", i), row.Revision)
			txn.Writes = append(txn.Writes, spar.Write{Key: fmt.Sprintf("mine/%d", i), Value: json.RawMessage("1")})

			if w.Commit(ctx, txn).Verdict == spar.VerdictApplied {
				applied++
			}
		}

		rows, _, _ := store.Scan(ctx, "mine/", 0)
		if len(rows) != applied {
			t.Fatalf("writer counted %d applied transactions, table has %d", applied, len(rows))
		}
	})
}

// Guards against misinterpreting the table service: every failure after sending must give an unknown verdict,
// and a missing row is not an error.
func TestClientOverHTTP(t *testing.T) {
	store := table.NewMemory()
	fail := atomic.Bool{}
	h := table.Handler(store)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fail.Load() {
			h.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}

		h.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)

	ctx := t.Context()
	c := table.NewClient(server.URL, server.Client(), spar.BootClock(), 2000)

	_, ok, err := c.Get(ctx, "a")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ok, qt.IsFalse)

	qt.Assert(t, c.Commit(ctx, setRow("a", `1`, 0)).Verdict, qt.Equals, spar.VerdictApplied)
	qt.Assert(t, c.Commit(ctx, setRow("a", `2`, 0)), qt.Equals, spar.Commit{Verdict: spar.VerdictRejected, Conflict: "a"})

	fail.Store(true)
	qt.Assert(t, c.Commit(ctx, setRow("a", `3`, 1)).Verdict, qt.Equals, spar.VerdictUnknown)
	fail.Store(false)

	rows, revision, err := c.Scan(ctx, "", 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, revision, qt.Equals, spar.Revision(2))
	qt.Assert(t, rows, qt.HasLen, 1)
	qt.Assert(t, string(rows[0].Value), qt.Equals, `3`)
}
