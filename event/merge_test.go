package event_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/event"
)

// vectorClock holds the number of events of each ring that may have caused an event, itself included.
type vectorClock [3]int

// TestMergeIsCausal guards against an effect that is ordered before its cause. The wall clocks of the rings differ
// by seconds, and the test tracks the causes of each event with vector clocks.
func TestMergeIsCausal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := int64(1_000_000)
		rings := make([]*event.Ring, 3)
		known := make([]vectorClock, 3)
		causes := map[string]vectorClock{}

		for i := range rings {
			skew := rapid.Int64Range(-5000, 5000).Draw(rt, "skew")
			rings[i] = event.NewRing(1000, func() int64 { return now + skew })
			rings[i].SetNode(spar.NodeID(fmt.Sprint(i)))
		}

		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += rapid.Int64Range(0, 3).Draw(rt, "pass")
			from := rapid.IntRange(0, 2).Draw(rt, "from")
			to := rapid.IntRange(0, 2).Draw(rt, "to")

			if from != to {
				rings[to].Observe(rings[from].Now())

				for i := range known[to] {
					known[to][i] = max(known[to][i], known[from][i])
				}

				continue
			}

			known[from][from]++
			name := fmt.Sprintf("%d/%d", from, known[from][from])
			causes[name] = known[from]
			rings[from].Record(spar.Event{Detail: name})
		}

		shown := vectorClock{}

		for _, e := range event.Merge(rings[0].Events(), rings[1].Events(), rings[2].Events()) {
			var ring int
			if _, err := fmt.Sscan(string(e.Node), &ring); err != nil {
				rt.Fatal(err)
			}

			shown[ring]++

			for i, n := range causes[e.Detail] {
				if shown[i] < n {
					rt.Fatalf("%s is shown before event %d/%d that may have caused it", e.Detail, i, n)
				}
			}
		}
	})
}

// Guards against a filter that selects too many events or too few, such as those of vm12 for vm1.
func TestFilter(t *testing.T) {
	slot := spar.Slot(7)
	events := []spar.Event{
		{
			Timestamp: spar.Timestamp{Wall: 10}, Node: "vm1.a", Service: "desk", Slot: &slot, Kind: spar.EventMoved,
			Peer: "vm2.b",
		},
		{Timestamp: spar.Timestamp{Wall: 20}, Node: "vm12.c", Request: "r1"},
		{Timestamp: spar.Timestamp{Wall: 30}, Node: "vm2.b"},
	}

	for _, test := range []struct {
		name   string
		filter event.Filter
		want   []int64
	}{
		{"all", event.Filter{}, []int64{10, 20, 30}},
		{"slot", event.Filter{Slot: &slot}, []int64{10}},
		{"vm without its namesakes", event.Filter{Node: "vm1"}, []int64{10}},
		{"node as peer", event.Filter{Node: "vm2.b"}, []int64{10, 30}},
		{"request", event.Filter{Request: "r1"}, []int64{20}},
		{"kind", event.Filter{Kind: spar.EventMoved}, []int64{10}},
		{"time", event.Filter{FromMs: 20, ToMs: 20}, []int64{20}},
		{"newest", event.Filter{Newest: 2}, []int64{20, 30}},
		{"service", event.Filter{Service: "cards"}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			var walls []int64
			for _, e := range test.filter.Apply(events) {
				walls = append(walls, e.Timestamp.Wall)
			}

			qt.Assert(t, walls, qt.DeepEquals, test.want)
		})
	}
}

// TestRingCountsDroppedEvents guards against events that are dropped without being counted.
func TestRingCountsDroppedEvents(t *testing.T) {
	r := event.NewRing(2, func() int64 { return 1 })

	for range 5 {
		r.Record(spar.Event{Kind: spar.EventMoved})
	}

	qt.Assert(t, r.Dropped(), qt.Equals, int64(3))
	qt.Assert(t, r.Counts()[spar.EventMoved], qt.Equals, int64(5))
	qt.Assert(t, r.Events(), qt.HasLen, 2)
}
