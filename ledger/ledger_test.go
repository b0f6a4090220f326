package ledger_test

import (
	"encoding/json"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/ledger"
)

// initial is the assignment under which the slot is first used.
var initial = spar.Assignment{Owner: "a.1", Epoch: 3, Base: 3}

func testLimits() ledger.Limits {
	return ledger.Limits{MaxBytes: 4 << 10, MaxBodyBytes: 64, MaxAge: 1000}
}

// newLedger returns a ledger and its clock's time, which the test sets.
func newLedger() (*ledger.Ledger, *spar.Millis) {
	now := new(spar.Millis)

	return ledger.New(spar.NewClock(func() spar.Millis { return *now }, nil), testLimits()), now
}

func newResult(body string) ledger.Result {
	return ledger.Result{
		Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(body), Kept: true,
	}
}

// Guards against a token that runs twice, and against a refusal with a false reason.
func TestBeginReturnsVerdict(t *testing.T) {
	takenOver := initial.WithTakeover("b.1")

	for _, test := range []struct {
		name   string
		change func(l *ledger.Ledger, now *spar.Millis, r *ledger.ActiveRun)
		a      spar.Assignment
		key    string
		slot   spar.Slot
		digest uint64
		want   ledger.Verdict
	}{
		{
			"in progress", func(*ledger.Ledger, *spar.Millis, *ledger.ActiveRun) {},
			initial, "k", 1, 7, ledger.VerdictInProgress,
		},
		{"completed", complete, initial, "k", 1, 7, ledger.VerdictRecorded},
		{"unknown", func(_ *ledger.Ledger, _ *spar.Millis, r *ledger.ActiveRun) {
			r.Unknown()
		}, initial, "k", 1, 7, ledger.VerdictUnknown},
		{"aborted", func(_ *ledger.Ledger, _ *spar.Millis, r *ledger.ActiveRun) {
			r.Abort()
		}, initial, "k", 1, 7, ledger.VerdictRun},
		{"other key", complete, initial, "l", 1, 7, ledger.VerdictMismatch},
		{"other slot", complete, initial, "k", 2, 7, ledger.VerdictMismatch},
		{"other request", complete, initial, "k", 1, 8, ledger.VerdictMismatch},
		{"other base", complete, takenOver, "k", 1, 7, ledger.VerdictUnknown},
		{"record expired", func(l *ledger.Ledger, now *spar.Millis, r *ledger.ActiveRun) {
			complete(l, now, r)

			*now += testLimits().MaxAge
		}, initial, "k", 1, 7, ledger.VerdictUnknown},
		{"dropped", func(l *ledger.Ledger, now *spar.Millis, r *ledger.ActiveRun) {
			complete(l, now, r)
			l.Drop("s", 1)
		}, initial, "k", 1, 7, ledger.VerdictUnknown},
		{"delayed call under an earlier assignment", func(l *ledger.Ledger, _ *spar.Millis, r *ledger.ActiveRun) {
			r.Unknown()
			l.Issue("s", 1, initial.WithMove("b.1").WithMove("a.1"), "k")
		}, initial, "k", 1, 7, ledger.VerdictStale},
		{
			"moved away and back without records", complete,
			initial.WithMove("b.1").WithMove("a.1"), "k", 1, 7, ledger.VerdictUnknown,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, now := newLedger()
			token := l.Issue("s", 1, initial, "k")
			d := l.Begin("s", 1, initial, "k", token, 7)
			qt.Assert(t, d.Verdict, qt.Equals, ledger.VerdictRun)
			test.change(l, now, d.Run)
			qt.Assert(t, l.Begin("s", test.slot, test.a, test.key, token, test.digest).Verdict, qt.Equals, test.want)
		})
	}
}

func complete(_ *ledger.Ledger, _ *spar.Millis, r *ledger.ActiveRun) {
	r.Complete(newResult("done"))
}

// Guards against unbounded memory, and against a second run of a token whose record was dropped.
func TestLimitsBoundMemory(t *testing.T) {
	l, _ := newLedger()

	tokens := make([]ledger.Token, 100)

	for i := range tokens {
		tokens[i] = l.Issue("s", 1, initial, "k")
		d := l.Begin("s", 1, initial, "k", tokens[i], 7)
		d.Run.Complete(newResult(strings.Repeat("x", 60)))
		qt.Assert(t, l.Usage().Bytes <= testLimits().MaxBytes, qt.IsTrue)
	}

	qt.Assert(t, l.Begin("s", 1, initial, "k", tokens[0], 7).Verdict, qt.Equals, ledger.VerdictUnknown)
	qt.Assert(t, l.Begin("s", 1, initial, "k", tokens[99], 7).Verdict, qt.Equals, ledger.VerdictRecorded)

	large := l.Issue("s", 1, initial, "k")
	l.Begin("s", 1, initial, "k", large, 7).Run.Complete(newResult(strings.Repeat("x", 65)))
	qt.Assert(t, l.Begin("s", 1, initial, "k", large, 7).Result, qt.DeepEquals,
		ledger.Result{Status: 201, Header: http.Header{}})
}

// Guards against runs that are lost when a slot moves, and against a delayed export that replaces a
// newer one.
func TestExportAndImport(t *testing.T) {
	from, _ := newLedger()
	to, _ := newLedger()
	moved := initial.WithMove("b.1")
	ran, unknown, unused := from.Issue("s", 1, initial, "k"), from.Issue("s", 1, initial, "k"),
		from.Issue("s", 1, initial, "k")
	outdated := from.Export("s", 1)

	running := from.Begin("s", 1, initial, "k", ran, 7).Run
	qt.Assert(t, from.Export("s", 1), qt.IsNil)
	running.Complete(newResult("done"))
	from.Begin("s", 1, initial, "k", unknown, 7).Run.Unknown()

	qt.Assert(t, to.Import("s", 1, moved.Epoch, from.Export("s", 1)), qt.IsNil)
	qt.Assert(t, to.Import("s", 1, moved.Epoch, outdated), qt.ErrorMatches, ".*newer ones are staged")

	// A slot that is not used between two moves must keep its records.
	third, _ := newLedger()
	qt.Assert(t, third.Import("s", 1, moved.Epoch+1, to.Export("s", 1)), qt.IsNil)

	for l, a := range map[*ledger.Ledger]spar.Assignment{to: moved, third: moved.WithMove("c.1")} {
		e := l.Begin("s", 1, a, "k", ran, 7)
		qt.Assert(t, e.Verdict, qt.Equals, ledger.VerdictRecorded)
		qt.Assert(t, e.Result, qt.DeepEquals, newResult("done"))
		qt.Assert(t, l.Begin("s", 1, a, "k", unknown, 7).Verdict, qt.Equals, ledger.VerdictUnknown)
		qt.Assert(t, l.Begin("s", 1, a, "k", unused, 7).Verdict, qt.Equals, ledger.VerdictRun)
		qt.Assert(t, l.Issue("s", 1, a, "k").Number, qt.Equals, uint64(4))
	}

	qt.Assert(t, to.Import("s", 1, moved.Epoch, outdated), qt.ErrorMatches, ".*epoch 4 is over")

	// A slot without records can also be moved twice.
	qt.Assert(t, to.Import("s", 3, 4, from.Export("s", 3)), qt.IsNil)
	qt.Assert(t, third.Import("s", 3, 5, to.Export("s", 3)), qt.IsNil)
	qt.Assert(t, to.Import("s", 2, 4, json.RawMessage("null")), qt.ErrorMatches, ".*no records")
}

// Guards against malformed text that is accepted as a token: only the exact text form may parse.
func FuzzParseToken(f *testing.F) {
	for _, text := range []string{
		"1.3.42.00000000deadbeef", "", "1.1.1", "01.1.1.0000000000000000", "1.0.1.0000000000000000",
		"1.1.0.0000000000000000", "1.1.1.000000000000000A", "+1.1.1.0000000000000000", "65536.1.1.0000000000000000",
	} {
		f.Add(text)
	}

	f.Fuzz(func(t *testing.T, text string) {
		token, err := ledger.ParseToken(text)
		if err == nil && (token.String() != text || token.Base < 1 || token.Number < 1 || token.Slot > 65535) {
			t.Fatalf("%q parsed as %s", text, token)
		}
	})
}

// Guards against data from another node that causes a panic or leaves the slot's records invalid.
func FuzzImport(f *testing.F) {
	l, _ := newLedger()
	token := l.Issue("s", 1, initial, "k")
	l.Begin("s", 1, initial, "k", token, 7).Run.Complete(newResult("done"))
	f.Add([]byte(l.Export("s", 1)))
	f.Add([]byte(`{"base":0,"version":0,"issued":0,"dropped":0}`))
	f.Add([]byte(`{"base":1,"issued":1,"records":[{"number":2}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, _ := newLedger()
		a := spar.Assignment{Owner: "b.1", Epoch: 4, Base: 3}

		if l.Import("s", 1, a.Epoch, data) != nil {
			return
		}

		l.Begin("s", 1, a, "k", token, 7)

		if e := l.Begin("s", 1, a, "k", l.Issue("s", 1, a, "k"), 7); e.Verdict == ledger.VerdictRun {
			e.Run.Complete(newResult("done"))
		}

		if err := l.Import("s", 1, a.Epoch+1, l.Export("s", 1)); err != nil {
			t.Fatalf("import of the ledger's own export: %v", err)
		}
	})
}

// BenchmarkCall measures the time of one non-idempotent call in the ledger and the memory of its
// record, both as the ledger accounts for it and on the heap.
func BenchmarkCall(b *testing.B) {
	l := ledger.New(spar.RuntimeClock(), ledger.DefaultLimits())
	before := heapBytes()

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		key, slot := "key-"+strconv.Itoa(i%1000), spar.Slot(i%25)
		d := l.Begin("s", slot, initial, key, l.Issue("s", slot, initial, key), 7)
		d.Run.Complete(newResult(strings.Repeat("x", 200)))
	}

	b.StopTimer()

	u := l.Usage()
	b.ReportMetric(float64(u.Bytes)/float64(u.Records), "counted-B/record")
	b.ReportMetric(float64(heapBytes()-before)/float64(u.Records), "heap-B/record")
	runtime.KeepAlive(l)
}

func heapBytes() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}
