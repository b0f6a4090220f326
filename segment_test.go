package spar_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
)

// Guards against assignments that are changed by encoding and decoding.
func TestSegmentRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := spar.NewSegment(spar.Service{Name: "s", Slots: rapid.IntRange(1, 300).Draw(t, "slots")}, 0)

		for i := range g.Slots {
			g = g.WithAssignment(spar.Slot(i), spar.Assignment{
				Owner: rapid.SampledFrom([]spar.NodeID{"", "a.1", "b.2", "c.3"}).Draw(t, "owner"),
				Epoch: spar.Epoch(rapid.Int64Range(0, 1<<40).Draw(t, "epoch")),
				Base:  spar.Epoch(rapid.Int64Range(0, 1<<40).Draw(t, "base")),
			})
		}

		data, err := json.Marshal(g)
		if err != nil {
			t.Fatal(err)
		}

		var back spar.Segment
		if err := json.Unmarshal(data, &back); err != nil {
			t.Fatal(err)
		}

		if back.Service != g.Service || back.Index != g.Index || !slices.Equal(back.Slots, g.Slots) {
			t.Fatalf("got %+v, want %+v", back, g)
		}
	})
}

// Guards against malformed rows, and rows in another format, that are decoded as a segment.
func TestSegmentRejectsInvalidRows(t *testing.T) {
	for _, row := range []string{
		`{"service":"s","owners":["a"],"slots":[[1,1,1]]}`,
		`{"service":"s","owners":["a"],"slots":[[-2,1,1]]}`,
		`{"service":"s","slots":[{"owner":"a","epoch":1,"base":1}]}`,
	} {
		var g spar.Segment

		qt.Check(t, json.Unmarshal([]byte(row), &g), qt.IsNotNil, qt.Commentf("%s", row))
	}
}

// BenchmarkSegment reports the encoded size of a segment with six owners.
func BenchmarkSegment(b *testing.B) {
	g := spar.NewSegment(spar.Service{Name: "pattern-cards", Slots: spar.SegmentSize}, 0)
	for i := range g.Slots {
		owner := spar.NodeID(fmt.Sprintf("pattern-cards-%d.mp7kolqnz4", i%6))
		g = g.WithAssignment(spar.Slot(i), spar.Assignment{Owner: owner, Epoch: 3, Base: 1})
	}

	var data []byte

	for b.Loop() {
		data, _ = json.Marshal(g)
	}

	b.ReportMetric(float64(len(data)), "bytes")
}
