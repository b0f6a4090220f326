package keymap_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/keymap"
)

// Guards against keys with two owners, lost neighbors and epochs that don't rise, over any series of changes.
func TestMapKeepsOneOwnerAndRisingEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m keymap.Map

		owners := make([]string, keymap.Keys)
		nodes := []string{"a", "b", "c", ""}

		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			from := rapid.IntRange(0, keymap.Keys-1).Draw(t, "from")
			span := keymap.Span{From: from, To: rapid.IntRange(from, keymap.Keys-1).Draw(t, "to")}
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			last := m.Last

			if node == "" {
				m = m.Without(span)
			} else {
				m = m.WithOwner(span, node, spar.Life{ID: node}, "")
				r, _ := m.Find(span.From)
				if r.Epoch <= last {
					t.Fatalf("epoch %d does not rise above %d", r.Epoch, last)
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

// Guards against a new life of a backend server that keeps the epoch of the one before it.
func TestWithLifeRaisesEpochs(t *testing.T) {
	c := qt.New(t)
	m := keymap.Map{}.
		WithOwner(keymap.Span{From: 0, To: 9}, "a", spar.Life{ID: "x", Born: 1}, "text").
		WithOwner(keymap.Span{From: 20, To: 29}, "b", spar.Life{ID: "y", Born: 1}, "")
	next := m.WithLife("a", spar.Life{ID: "x", Born: 2})

	r, ok := next.Find(5)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.Epoch > m.Last, qt.IsTrue)
	c.Assert(r.Handover, qt.Equals, "")

	same, _ := next.Find(25)
	c.Assert(same.Epoch, qt.Equals, int64(2))
}

// Guards against keys that no cut of a span covers.
func TestEvenCoversSpan(t *testing.T) {
	c := qt.New(t)
	c.Assert(keymap.Span{From: 3, To: 12}.Even(3), qt.DeepEquals,
		[]keymap.Span{{From: 3, To: 5}, {From: 6, To: 8}, {From: 9, To: 12}})
	c.Assert(keymap.Span{From: 3, To: 4}.Even(9), qt.HasLen, 2)
	c.Assert(keymap.Merged([]keymap.Span{{From: 5, To: 6}, {From: 0, To: 4}, {From: 9, To: 9}}), qt.DeepEquals,
		[]keymap.Span{{From: 0, To: 6}, {From: 9, To: 9}})
}
