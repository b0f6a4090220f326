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

var first = spar.Assignment{Owner: "a.1", Epoch: 3, Base: 3}

func testLimits() ledger.Limits {
	return ledger.Limits{Bytes: 4 << 10, Body: 64, Age: 1000}
}

// newLedger returns a ledger on a clock that the test sets.
func newLedger() (*ledger.Ledger, *spar.Millis) {
	now := new(spar.Millis)

	return ledger.New(spar.NewClock(func() spar.Millis { return *now }, nil), testLimits()), now
}

func answer(body string) ledger.Result {
	return ledger.Result{
		Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(body), Kept: true,
	}
}

// Guards against a second run of a token, and against a refusal that is not true.
func TestVerdicts(t *testing.T) {
	taken := first.Taken("b.1")

	for _, test := range []struct {
		name   string
		change func(l *ledger.Ledger, now *spar.Millis, r *ledger.Running)
		a      spar.Assignment
		key    string
		slot   spar.Slot
		digest uint64
		want   ledger.Verdict
	}{
		{"in progress", func(*ledger.Ledger, *spar.Millis, *ledger.Running) {}, first, "k", 1, 7, ledger.Wait},
		{"completed", complete, first, "k", 1, 7, ledger.Recorded},
		{"unknown", func(_ *ledger.Ledger, _ *spar.Millis, r *ledger.Running) {
			r.Unknown()
		}, first, "k", 1, 7, ledger.Unknown},
		{"aborted", func(_ *ledger.Ledger, _ *spar.Millis, r *ledger.Running) {
			r.Abort()
		}, first, "k", 1, 7, ledger.Run},
		{"other key", complete, first, "l", 1, 7, ledger.Foreign},
		{"other slot", complete, first, "k", 2, 7, ledger.Foreign},
		{"other request", complete, first, "k", 1, 8, ledger.Foreign},
		{"other base", complete, taken, "k", 1, 7, ledger.Unknown},
		{"too old", func(l *ledger.Ledger, now *spar.Millis, r *ledger.Running) {
			complete(l, now, r)

			*now += testLimits().Age
		}, first, "k", 1, 7, ledger.Unknown},
		{"dropped", func(l *ledger.Ledger, now *spar.Millis, r *ledger.Running) {
			complete(l, now, r)
			l.Drop("s", 1)
		}, first, "k", 1, 7, ledger.Unknown},
		{"delayed call under an earlier assignment", func(l *ledger.Ledger, _ *spar.Millis, r *ledger.Running) {
			r.Unknown()
			l.Issue("s", 1, first.Moved("b.1").Moved("a.1"), "k")
		}, first, "k", 1, 7, ledger.Stale},
		{"moved away and back without records", complete, first.Moved("b.1").Moved("a.1"), "k", 1, 7, ledger.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			l, now := newLedger()
			token := l.Issue("s", 1, first, "k")
			e := l.Begin("s", 1, first, "k", token, 7)
			qt.Assert(t, e.Verdict, qt.Equals, ledger.Run)
			test.change(l, now, e.Run)
			qt.Assert(t, l.Begin("s", test.slot, test.a, test.key, token, test.digest).Verdict, qt.Equals, test.want)
		})
	}
}

func complete(_ *ledger.Ledger, _ *spar.Millis, r *ledger.Running) {
	r.Complete(answer("done"))
}

// Guards against growth without bound, and against a second run of a token whose record went.
func TestBounds(t *testing.T) {
	l, _ := newLedger()

	tokens := make([]ledger.Token, 100)

	for i := range tokens {
		tokens[i] = l.Issue("s", 1, first, "k")
		e := l.Begin("s", 1, first, "k", tokens[i], 7)
		e.Run.Complete(answer(strings.Repeat("x", 60)))
		qt.Assert(t, l.Usage().Bytes <= testLimits().Bytes, qt.IsTrue)
	}

	qt.Assert(t, l.Begin("s", 1, first, "k", tokens[0], 7).Verdict, qt.Equals, ledger.Unknown)
	qt.Assert(t, l.Begin("s", 1, first, "k", tokens[99], 7).Verdict, qt.Equals, ledger.Recorded)

	large := l.Issue("s", 1, first, "k")
	l.Begin("s", 1, first, "k", large, 7).Run.Complete(answer(strings.Repeat("x", 65)))
	qt.Assert(t, l.Begin("s", 1, first, "k", large, 7).Result, qt.DeepEquals,
		ledger.Result{Status: 201, Header: http.Header{}})
}

// Guards against a moved slot that forgets runs, and against a delayed copy that replaces a newer one.
func TestMove(t *testing.T) {
	from, _ := newLedger()
	to, _ := newLedger()
	moved := first.Moved("b.1")
	ran, unknown, unused := from.Issue("s", 1, first, "k"), from.Issue("s", 1, first, "k"), from.Issue("s", 1, first, "k")
	early := from.Export("s", 1)

	running := from.Begin("s", 1, first, "k", ran, 7).Run
	qt.Assert(t, from.Export("s", 1), qt.IsNil)
	running.Complete(answer("done"))
	from.Begin("s", 1, first, "k", unknown, 7).Run.Unknown()

	qt.Assert(t, to.Import("s", 1, moved.Epoch, from.Export("s", 1)), qt.IsNil)
	qt.Assert(t, to.Import("s", 1, moved.Epoch, early), qt.ErrorMatches, ".*newer ones are staged")

	// A slot that got no call between two moves must not lose its records.
	third, _ := newLedger()
	qt.Assert(t, third.Import("s", 1, moved.Epoch+1, to.Export("s", 1)), qt.IsNil)

	for l, a := range map[*ledger.Ledger]spar.Assignment{to: moved, third: moved.Moved("c.1")} {
		e := l.Begin("s", 1, a, "k", ran, 7)
		qt.Assert(t, e.Verdict, qt.Equals, ledger.Recorded)
		qt.Assert(t, e.Result, qt.DeepEquals, answer("done"))
		qt.Assert(t, l.Begin("s", 1, a, "k", unknown, 7).Verdict, qt.Equals, ledger.Unknown)
		qt.Assert(t, l.Begin("s", 1, a, "k", unused, 7).Verdict, qt.Equals, ledger.Run)
		qt.Assert(t, l.Issue("s", 1, a, "k").Number, qt.Equals, uint64(4))
	}

	qt.Assert(t, to.Import("s", 1, moved.Epoch, early), qt.ErrorMatches, ".*epoch 4 is over")

	// A slot without records is moved twice as well.
	qt.Assert(t, to.Import("s", 3, 4, from.Export("s", 3)), qt.IsNil)
	qt.Assert(t, third.Import("s", 3, 5, to.Export("s", 3)), qt.IsNil)
	qt.Assert(t, to.Import("s", 2, 4, json.RawMessage("null")), qt.ErrorMatches, ".*no records")
}

// Guards against tokens that parse although no owner wrote them so.
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
			t.Fatalf("%q read as %s", text, token)
		}
	})
}

// Guards against data from another node that panics, or that breaks the records of the slot later.
func FuzzImport(f *testing.F) {
	l, _ := newLedger()
	token := l.Issue("s", 1, first, "k")
	l.Begin("s", 1, first, "k", token, 7).Run.Complete(answer("done"))
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

		if e := l.Begin("s", 1, a, "k", l.Issue("s", 1, a, "k"), 7); e.Verdict == ledger.Run {
			e.Run.Complete(answer("done"))
		}

		if err := l.Import("s", 1, a.Epoch+1, l.Export("s", 1)); err != nil {
			t.Fatalf("own export can't be read: %v", err)
		}
	})
}

// BenchmarkCall measures what one non-idempotent call costs in the ledger, and the memory of its
// record: as the ledger counts it, and on the heap.
func BenchmarkCall(b *testing.B) {
	l := ledger.New(spar.RuntimeClock(), ledger.DefaultLimits())
	before := heap()

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		key, slot := "key-"+strconv.Itoa(i%1000), spar.Slot(i%25)
		e := l.Begin("s", slot, first, key, l.Issue("s", slot, first, key), 7)
		e.Run.Complete(answer(strings.Repeat("x", 200)))
	}

	b.StopTimer()

	u := l.Usage()
	b.ReportMetric(float64(u.Bytes)/float64(u.Records), "counted-B/record")
	b.ReportMetric(float64(heap()-before)/float64(u.Records), "heap-B/record")
	runtime.KeepAlive(l)
}

func heap() int64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return int64(m.HeapAlloc)
}
