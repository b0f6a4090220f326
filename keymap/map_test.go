package keymap_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Guards against keys with a wrong owner, changes to neighboring keys and epochs that don't increase, for any
// series of changes.
func TestMapKeepsSingleOwnerAndRisingEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m keymap.Map

		owners := make([]string, keymap.Keys)
		nodes := []string{"a", "b", "c", ""}

		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			from := rapid.IntRange(0, keymap.Keys-1).Draw(t, "from")
			span := keymap.Span{From: from, To: rapid.IntRange(from, keymap.Keys-1).Draw(t, "to")}
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			last := m.LastEpoch

			if node == "" {
				m = m.Without(span)
			} else {
				m = m.WithOwner(span, node, spar.Incarnation{ID: node}, "")
				r, _ := m.Find(span.From)
				if r.Epoch <= last {
					t.Fatalf("epoch %d is not greater than %d", r.Epoch, last)
				}
			}

			for k := span.From; k <= span.To; k++ {
				owners[k] = node
			}
		}

		for k := 0; k < keymap.Keys; k += 97 {
			r, _ := m.Find(k)
			if r.Node != owners[k] {
				t.Fatalf("key %d: owner %q, want %q", k, r.Node, owners[k])
			}
		}
	})
}

// Guards against a new incarnation of a backend server keeping the epoch of the previous one.
func TestWithIncarnationRaisesEpochs(t *testing.T) {
	c := qt.New(t)
	m := keymap.Map{}.
		WithOwner(keymap.Span{From: 0, To: 9}, "a", spar.Incarnation{ID: "x", StartedMs: 1}, "text").
		WithOwner(keymap.Span{From: 20, To: 29}, "b", spar.Incarnation{ID: "y", StartedMs: 1}, "")
	next := m.WithIncarnation("a", spar.Incarnation{ID: "x", StartedMs: 2})

	r, ok := next.Find(5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Epoch > m.LastEpoch, qt.IsTrue)
	c.Assert(r.Handover, qt.Equals, "")

	same, _ := next.Find(25)
	c.Assert(same.Epoch, qt.Equals, int64(2))
}

// Guards against splitting a span into parts that don't cover all its keys.
func TestSplitCoversSpan(t *testing.T) {
	c := qt.New(t)
	c.Assert(keymap.Span{From: 3, To: 12}.Split(3), qt.DeepEquals,
		[]keymap.Span{{From: 3, To: 5}, {From: 6, To: 8}, {From: 9, To: 12}})
	c.Assert(keymap.Span{From: 3, To: 4}.Split(9), qt.HasLen, 2)
	c.Assert(keymap.Merged([]keymap.Span{{From: 5, To: 6}, {From: 0, To: 4}, {From: 9, To: 9}}), qt.DeepEquals,
		[]keymap.Span{{From: 0, To: 6}, {From: 9, To: 9}})
}

// drawMap returns m after a series of random changes.
func drawMap(t *rapid.T, m keymap.Map, label string) keymap.Map {
	for range rapid.IntRange(0, 8).Draw(t, label) {
		from := rapid.IntRange(0, keymap.Keys-1).Draw(t, "from")
		span := keymap.Span{From: from, To: rapid.IntRange(from, keymap.Keys-1).Draw(t, "to")}

		node := rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "node")
		if node == "" {
			m = m.Without(span)

			continue
		}

		started := rapid.Int64Range(1, 3).Draw(t, "born")
		m = m.WithOwner(span, node, spar.Incarnation{ID: node, StartedMs: started},
			rapid.SampledFrom([]string{"", "text"}).Draw(t, "text"))
	}

	return m
}

// Guards against a change that doesn't reproduce the new map when applied to the old one, and against an
// encoding that loses data.
func TestChangeAndEncodingRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := drawMap(t, keymap.Map{}, "before")
		after := drawMap(t, before, "after")

		if got := before.WithChange(before.ChangeTo(after)); !reflect.DeepEqual(normalize(got), normalize(after)) {
			t.Fatalf("%+v with its change is %+v, not %+v", before, got, after)
		}

		data, err := json.Marshal(after)
		if err != nil {
			t.Fatal(err)
		}

		var read keymap.Map
		if err := json.Unmarshal(data, &read); err != nil || !reflect.DeepEqual(normalize(read), normalize(after)) {
			t.Fatalf("%s decodes to %+v: %v", data, read, err)
		}
	})
}

// Guards against a merge of two maps that gives a key to the owner of the lower epoch, or prefers the restored map
// where both have issued the same epoch, and against one whose change or encoding loses the era.
func TestWithNewestTakesHigherEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		common := drawMap(t, keymap.Map{}, "common")
		stored, known := drawMap(t, common, "stored"), drawMap(t, common, "known")
		merged := stored.WithNewest(known)

		for k := 0; k < keymap.Keys; k += 89 {
			want, ok := stored.Find(k)
			if r, found := known.Find(k); found && (!ok || r.Epoch >= want.Epoch) {
				want, ok = r, true
			}

			got, found := merged.Find(k)
			if got.Node != want.Node || got.Epoch != want.Epoch || found != ok {
				t.Fatalf("key %d: %+v, want %+v", k, got, want)
			}
		}

		for i, r := range merged.Ranges {
			if !r.Valid() || i > 0 && merged.Ranges[i-1].To >= r.From {
				t.Fatalf("ranges overlap or are out of order: %+v", merged.Ranges)
			}
		}

		if merged.LastEpoch != max(stored.LastEpoch, known.LastEpoch) {
			t.Fatalf("last epoch is %d", merged.LastEpoch)
		}

		merged.Era, merged.Base, merged.Known = 4, merged.LastEpoch, 7
		if got := stored.WithChange(stored.ChangeTo(merged)); !reflect.DeepEqual(normalize(got), normalize(merged)) {
			t.Fatalf("%+v with its change is %+v, not %+v", stored, got, merged)
		}

		data, err := json.Marshal(merged)
		if err != nil {
			t.Fatal(err)
		}

		var read keymap.Map
		if err := json.Unmarshal(data, &read); err != nil || !reflect.DeepEqual(normalize(read), normalize(merged)) {
			t.Fatalf("%s decodes to %+v: %v", data, read, err)
		}
	})
}

// normalize returns m with nil ranges if it has none, so that empty maps compare equal.
func normalize(m keymap.Map) keymap.Map {
	if len(m.Ranges) == 0 {
		m.Ranges = nil
	}

	return m
}

// Guards against an encoded map that is too long for a row of the table: 600 ranges must take less than 45 KiB.
func TestEncodingFitsTableRow(t *testing.T) {
	c := qt.New(t)

	var m keymap.Map

	for i := range 600 {
		node := fmt.Sprintf("sidecar-dakar-a-%d", i%40)
		m = m.WithOwner(keymap.Span{From: i * 100, To: i*100 + 99}, node,
			spar.Incarnation{ID: node, StartedMs: 1781129509000}, "7a21d94b36f85c0e")
	}

	data, err := json.Marshal(m)
	c.Assert(err, qt.IsNil)
	c.Check(len(data) < 45<<10, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
}

// Guards against decoding maps with ranges that are out of order, invalid or without an owner.
func TestDecodeRejectsInvalidMaps(t *testing.T) {
	for _, text := range []string{
		`{"last":1,"owners":[],"ranges":[[0,5,1,0,""]]}`,
		`{"last":1,"owners":[{"node":"a"}],"ranges":[[5,4,1,0,""]]}`,
		`{"last":1,"owners":[{"node":"a"}],"ranges":[[0,65536,1,0,""]]}`,
		`{"last":1,"owners":[{"node":"a"}],"ranges":[[0,5,1,0,""],[5,6,1,0,""]]}`,
		`{"last":1,"owners":[{"node":"a"}],"ranges":[["x",5,1,0,""]]}`,
	} {
		var m keymap.Map
		qt.Check(t, json.Unmarshal([]byte(text), &m), qt.IsNotNil, qt.Commentf(text))
	}
}
