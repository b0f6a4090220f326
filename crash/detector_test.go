package crash_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/crash"
	"sardinespar.example/spar/internal/prop"
)

// TestMain sets rapid's seed and number of checks.
func TestMain(m *testing.M) {
	prop.Main(m, 1, 200, 0)
}

// timeOfDay is a clock in Unix milliseconds that a test moves.
type timeOfDay struct{ now int64 }

func (c *timeOfDay) unixMillis() int64 { return c.now }

const (
	second int64 = 1000
	minute       = 60 * second
	hour         = 60 * minute
)

var (
	deadly = crash.Request{Service: "s", Host: "h", Method: "GET", URI: "/a", Body: []byte("x")}
	other  = crash.Request{Service: "s", Host: "h", Method: "GET", URI: "/a", Body: []byte("y")}
)

// newDetector returns a detector and its clock.
func newDetector() (*crash.Detector, *timeOfDay) {
	clock := &timeOfDay{now: hour}

	return crash.NewDetector(clock.unixMillis), clock
}

func quarantined(d *crash.Detector, r crash.Request) bool {
	_, ok := d.Quarantined(r)

	return ok
}

// Guards against a request that crashes servers without end: it gets one further attempt after the first quarantine,
// and none for a day after its third crash.
func TestQuarantineGrowsWithCrashes(t *testing.T) {
	c := qt.New(t)
	d, clock := newDetector()

	d.RecordCrash("vm-1.i-1.1", []crash.Request{deadly})
	c.Check(quarantined(d, deadly), qt.IsFalse)

	// The same incarnation crashes only once.
	d.RecordCrash("vm-1.i-1.1", []crash.Request{deadly})
	c.Check(quarantined(d, deadly), qt.IsFalse)

	// Another incarnation under the same id counts.
	d.RecordCrash("vm-1.i-1.2", []crash.Request{deadly})
	c.Check(quarantined(d, deadly), qt.IsTrue)
	c.Check(quarantined(d, other), qt.IsFalse)

	clock.now += 31 * second
	c.Check(quarantined(d, deadly), qt.IsFalse)

	d.RecordCrash("vm-2.i-2.1", []crash.Request{deadly})

	clock.now += 23 * hour
	after, ok := d.Quarantined(deadly)
	c.Check(ok, qt.IsTrue)
	c.Check(after, qt.Equals, spar.Millis(hour))

	clock.now += 2 * hour
	c.Check(quarantined(d, deadly), qt.IsFalse)
}

// Guards against the quarantine of requests that were merely in flight when other requests crashed their servers.
func TestCompletionEndsSuspicion(t *testing.T) {
	c := qt.New(t)
	d, clock := newDetector()
	both := []crash.Request{deadly, other}

	c.Check(d.RecordCompletion(other), qt.IsFalse)
	d.RecordCrash("vm-1.i-1.1", both)

	clock.now += second
	c.Check(d.RecordCompletion(other), qt.IsTrue)
	c.Check(d.RecordCompletion(other), qt.IsFalse)

	d.RecordCrash("vm-2.i-2.1", both)
	c.Check(quarantined(d, deadly), qt.IsTrue)
	c.Check(quarantined(d, other), qt.IsFalse)
}

// Guards against a crash that is lost because the clock of the node that recorded the last completion is ahead.
func TestCrashAfterCompletionOnFastClock(t *testing.T) {
	c := qt.New(t)
	fast, fastClock := newDetector()
	slow, _ := newDetector()
	fastClock.now += 5 * second

	fast.RecordCrash("vm-1.i-1.1", []crash.Request{deadly})
	fast.RecordCompletion(deadly)
	c.Assert(slow.Merge(fast.Entries()), qt.IsNil)

	for _, victim := range []spar.NodeID{"vm-2.i-2.1", "vm-3.i-3.1"} {
		slow.RecordCrash(victim, []crash.Request{deadly})
	}

	c.Assert(fast.Merge(slow.Entries()), qt.IsNil)
	c.Check(quarantined(slow, deadly), qt.IsTrue)
	c.Check(quarantined(fast, deadly), qt.IsTrue)
}

// Guards against nodes that disagree after they have exchanged their entries, in any order and more than once.
func TestEntriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &timeOfDay{now: hour}
		nodes := []*crash.Detector{crash.NewDetector(clock.unixMillis), crash.NewDetector(clock.unixMillis)}

		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			clock.now += int64(rapid.IntRange(0, 2000).Draw(t, "gap"))
			d := rapid.SampledFrom(nodes).Draw(t, "node")
			r := rapid.SampledFrom([]crash.Request{deadly, other}).Draw(t, "request")

			switch rapid.SampledFrom([]string{"crash", "completion", "exchange"}).Draw(t, "step") {
			case "crash":
				victim := rapid.SampledFrom([]spar.NodeID{"a", "b", "c"}).Draw(t, "victim")
				d.RecordCrash(victim, []crash.Request{r})
			case "completion":
				d.RecordCompletion(r)
			default:
				_ = d.Merge(nodes[0].Entries())
			}
		}

		for _, step := range [][2]int{{0, 1}, {1, 0}, {0, 1}} {
			if err := nodes[step[1]].Merge(nodes[step[0]].Entries()); err != nil {
				t.Fatal(err)
			}
		}

		if nodes[0].Digest() != nodes[1].Digest() {
			t.Fatalf("entries differ: %+v and %+v", nodes[0].Entries(), nodes[1].Entries())
		}
	})
}

// Guards against entries of a faulty peer that quarantine requests for longer than any node would.
func TestInvalidEntriesAreRejected(t *testing.T) {
	c := qt.New(t)
	d, _ := newDetector()
	valid, _ := newDetector()
	valid.RecordCrash("vm-1.i-1.1", []crash.Request{deadly})
	valid.RecordCrash("vm-2.i-2.1", []crash.Request{deadly})

	e := valid.Entries()[0]
	e.UntilMs += 48 * hour
	c.Check(d.Merge([]crash.Record{e, {Fingerprint: "zz"}}), qt.IsNotNil)
	c.Check(d.Entries(), qt.HasLen, 0)
	c.Check(d.Digest(), qt.Equals, uint64(0))
}

// Guards against a digest that goes on naming an entry that has expired, so that nodes pull entries from each other
// without end.
func TestDigestFollowsExpiry(t *testing.T) {
	c := qt.New(t)
	d, clock := newDetector()

	d.RecordCrash("vm-1.i-1.1", []crash.Request{deadly})
	c.Check(d.Digest(), qt.Not(qt.Equals), uint64(0))

	clock.now += hour
	c.Check(d.Digest(), qt.Equals, uint64(0))
}
