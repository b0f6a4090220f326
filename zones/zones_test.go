package zones_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/internal/prop"
	"sardinespar.example/spar/zones"
)

// TestMain sets rapid's seed and number of checks.
func TestMain(m *testing.M) {
	prop.Main(m, 1, 500, 0)
}

// table is the history of an operators' table.
type table []zones.Change

// snapshot returns the withdrawn zones as of a revision.
func (t table) snapshot(revision spar.Revision) zones.Snapshot {
	s := zones.Snapshot{Revision: revision}

	for _, c := range t {
		if c.Revision > revision {
			break
		}

		s.Withdrawn = slices.DeleteFunc(s.Withdrawn, func(zone string) bool { return zone == c.Zone })
		if c.Withdrawn {
			s.Withdrawn = append(s.Withdrawn, c.Zone)
		}
	}

	slices.Sort(s.Withdrawn)

	return s
}

// changes returns the changes after one revision up to another.
func (t table) changes(after, last spar.Revision) []zones.Change {
	var list []zones.Change

	for _, c := range t {
		if c.Revision > after && c.Revision <= last {
			list = append(list, c)
		}
	}

	return list
}

// drawTable draws a history and returns it with its last revision.
func drawTable(t *rapid.T) (table, spar.Revision) {
	var last spar.Revision

	n := rapid.IntRange(1, 10).Draw(t, "changes")
	history := make(table, 0, n)

	for range n {
		last += spar.Revision(rapid.IntRange(1, 3).Draw(t, "gap"))
		history = append(history, zones.Change{
			Zone:      rapid.SampledFrom([]string{"za", "zb", "zc"}).Draw(t, "zone"),
			Withdrawn: rapid.Bool().Draw(t, "withdrawn"), Revision: last,
		})
	}

	return history, last
}

// Guards against a zone that returns to an earlier state because one source, the long poll, a scan or a peer,
// delivers what another one has already superseded: the known zones are always those as of the known revision, which
// never decreases.
func TestNewestKnowledgeWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history, last := drawTable(t)
		nodes := []*zones.Set{zones.New(), zones.New()}

		for range rapid.IntRange(0, 15).Draw(t, "deliveries") {
			n := rapid.SampledFrom(nodes).Draw(t, "node")
			at := spar.Revision(rapid.IntRange(0, int(last)).Draw(t, "revision"))
			before := n.Snapshot()

			var changed bool

			switch rapid.SampledFrom([]string{"scan", "changes", "peer"}).Draw(t, "source") {
			case "scan":
				changed = n.Replace(history.snapshot(at))
			case "changes":
				// A feed goes on from what an earlier read delivered, which may be older than what is known.
				from := spar.Revision(rapid.IntRange(0, int(before.Revision)).Draw(t, "from"))
				changed = n.Apply(history.changes(from, at))
			default:
				changed = n.Replace(nodes[0].Snapshot())
			}

			after := n.Snapshot()
			want := history.snapshot(after.Revision)

			switch {
			case after.Revision < before.Revision:
				t.Fatalf("revision went from %d to %d", before.Revision, after.Revision)
			case !slices.Equal(after.Withdrawn, want.Withdrawn):
				t.Fatalf("zones %v as of revision %d, want %v", after.Withdrawn, after.Revision, want.Withdrawn)
			case changed != (before.Digest() != after.Digest()):
				t.Fatalf("changed=%t from %v to %v", changed, before.Withdrawn, after.Withdrawn)
			}
		}
	})
}

// Guards against knowledge from before a restore that outweighs the restored table because its version was higher, and
// against a zone whose withdrawal the restore lost being used before operators write the row again.
func TestReplaceAfterRestore(t *testing.T) {
	c := qt.New(t)
	revision := func(era, version int64) spar.Revision {
		r, err := spar.NewRevision(era, version)
		c.Assert(err, qt.IsNil)

		return r
	}

	z := zones.New()
	z.Replace(zones.Snapshot{Withdrawn: []string{"a", "b", "c"}, Revision: revision(0, 90)})
	c.Check(z.Retained(), qt.HasLen, 0)

	restored := zones.Snapshot{Withdrawn: []string{"b"}, Revision: revision(1, 40)}
	c.Check(z.Replace(restored), qt.IsTrue)
	c.Check(z.Snapshot(), qt.DeepEquals, restored)
	c.Check(z.Retained(), qt.DeepEquals, []string{"a", "c"})
	c.Check([]bool{z.Withdrawn("a"), z.Withdrawn("b"), z.Withdrawn("c")}, qt.DeepEquals, []bool{true, true, true})
	c.Check(z.Replace(zones.Snapshot{Revision: revision(0, 99)}), qt.IsFalse)

	z.Apply([]zones.Change{{Zone: "a", Withdrawn: true, Revision: revision(1, 41)}})
	z.Release()
	c.Check([]bool{z.Withdrawn("a"), z.Withdrawn("b"), z.Withdrawn("c")}, qt.DeepEquals, []bool{true, true, false})
}
