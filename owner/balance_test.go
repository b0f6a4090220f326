package owner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sardinespar.example/spar/owner"
)

// Replays a hot range whose load is several times what its server bears. Guards against it being handed
// on by halves, which takes several rounds and overloads the first receiver: after one round no receiver
// is above the level that the giver is left with.
func TestRoomReachesOneLevel(t *testing.T) {
	c := qt.New(t)
	c.Check(owner.Room(4, []float64{0, 0, 0}), qt.DeepEquals, []float64{1, 1, 1})
	c.Check(owner.Room(1, []float64{0.2, 0.3, 0.9}), qt.DeepEquals, []float64{0.3, 0.2})
	c.Check(owner.Room(0.5, []float64{0.6, 0.7}), qt.HasLen, 0)

	rapid.Check(t, func(t *rapid.T) {
		use := rapid.Float64Range(0, 20).Draw(t, "use")
		step := rapid.SliceOfN(rapid.Float64Range(0, 0.5), 0, 12).Draw(t, "steps")
		uses := make([]float64, 0, len(step))

		last := 0.0
		for _, s := range step {
			last += s
			uses = append(uses, last)
		}

		given, most := 0.0, 0.0

		for i, r := range owner.Room(use, uses) {
			if r <= 0 {
				t.Fatalf("room of %v", r)
			}

			given += r
			most = max(most, uses[i]+r)
		}

		if left := use - given; most > left+1e-9 {
			t.Fatalf("a receiver is used %v, the giver %v", most, left)
		}
	})
}
