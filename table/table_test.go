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

// flaky drops requests or replies as told, in turn.
type flaky struct {
	spar.Table

	plan []fate
	next int
}

type fate int

const (
	deliver fate = iota
	dropRequest
	dropReply
	dropRead
)

func (f *flaky) fate() fate {
	if f.next >= len(f.plan) {
		return deliver
	}

	f.next++

	return f.plan[f.next-1]
}

func (f *flaky) Commit(ctx context.Context, txn spar.Txn) spar.Commit {
	switch f.fate() {
	case dropRequest:
		return spar.Commit{Verdict: spar.Unknown}
	case dropReply:
		f.Table.Commit(ctx, txn)

		return spar.Commit{Verdict: spar.Unknown}
	default:
		return f.Table.Commit(ctx, txn)
	}
}

func (f *flaky) Get(ctx context.Context, key string) (spar.Row, bool, error) {
	if f.fate() == dropRead {
		return spar.Row{}, false, errors.New("read failed")
	}

	return f.Table.Get(ctx, key)
}

func set(key, value string, revision spar.Revision) spar.Txn {
	return spar.Txn{
		Conditions: []spar.Condition{{Key: key, Revision: revision}},
		Writes:     []spar.Write{{Key: key, Value: json.RawMessage(value)}},
	}
}

// Guards against a lost reply being taken for a rejection, and against a transaction that is sent
// again taking effect twice.
func TestWriterResolvesLostReplies(t *testing.T) {
	for _, tc := range []struct {
		name  string
		plan  []fate
		other bool
		want  spar.Verdict
	}{
		{name: "delivered", want: spar.Applied},
		{name: "request lost", plan: []fate{dropRequest}, want: spar.Applied},
		{name: "reply lost", plan: []fate{dropReply}, want: spar.Applied},
		{name: "reply and read-back lost", plan: []fate{dropReply, deliver, dropRead}, want: spar.Applied},
		{name: "conflict", other: true, want: spar.Rejected},
		{name: "conflict after lost request", other: true, plan: []fate{dropRequest}, want: spar.Rejected},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				store := table.NewMemory()
				w := table.NewWriter(&flaky{Table: store, plan: tc.plan}, spar.RuntimeClock(), "n.1", "test")

				if tc.other {
					store.Commit(ctx, set("row", `"other"`, 0))
				}

				got := w.Commit(ctx, set("row", `"mine"`, 0))
				qt.Assert(t, got.Verdict, qt.Equals, tc.want)

				row, _, err := store.Get(ctx, "row")
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, string(row.Value) == `"mine"`, qt.Equals, tc.want == spar.Applied)

				if tc.want == spar.Applied {
					qt.Assert(t, got.Revision, qt.Equals, row.Revision)
				}
			})
		})
	}
}

// Guards against a writer whose idea of what it committed differs from the table's, under any
// order of lost requests, lost replies and competing writes.
func TestWriterAgreesWithTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := table.NewMemory()
		fates := rapid.SliceOfN(rapid.SampledFrom([]fate{deliver, dropRequest, dropReply}), 0, 12).Draw(t, "fates")
		instant := spar.NewClock(func() spar.Millis { return 0 }, func(spar.Millis) *time.Timer { return time.NewTimer(0) })
		w := table.NewWriter(&flaky{Table: store, plan: fates}, instant, "n.1", "test")

		applied := 0

		for i := range rapid.IntRange(1, 8).Draw(t, "commits") {
			row, _, _ := store.Get(ctx, "count")
			if rapid.Bool().Draw(t, "race") {
				store.Commit(ctx, set("count", `"other"`, row.Revision))
			}

			txn := set("count", fmt.Sprintf("%d", i), row.Revision)
			txn.Writes = append(txn.Writes, spar.Write{Key: fmt.Sprintf("mine/%d", i), Value: json.RawMessage("1")})

			if w.Commit(ctx, txn).Verdict == spar.Applied {
				applied++
			}
		}

		rows, _, _ := store.Scan(ctx, "mine/", 0)
		if len(rows) != applied {
			t.Fatalf("writer counted %d applied transactions, table has %d", applied, len(rows))
		}
	})
}

// Guards against replies of the table service being misread: every failure after sending is
// unknown, and an absent row is not an error.
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

	qt.Assert(t, c.Commit(ctx, set("a", `1`, 0)).Verdict, qt.Equals, spar.Applied)
	qt.Assert(t, c.Commit(ctx, set("a", `2`, 0)), qt.Equals, spar.Commit{Verdict: spar.Rejected, Conflict: "a"})

	fail.Store(true)
	qt.Assert(t, c.Commit(ctx, set("a", `3`, 1)).Verdict, qt.Equals, spar.Unknown)
	fail.Store(false)

	rows, revision, err := c.Scan(ctx, "", 1)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, revision, qt.Equals, spar.Revision(2))
	qt.Assert(t, rows, qt.HasLen, 1)
	qt.Assert(t, string(rows[0].Value), qt.Equals, `3`)
}
