package owner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sardinespar.example/spar/owner"
)

// Guards against a hot range, whose load is several times what its server can handle, being halved from node to node,
// which takes several rounds and overloads the first receiver. After one round no receiver may have a higher
// utilization than the sender.
func TestBalanceSharesReachOneLevel(t *testing.T) {
	c := qt.New(t)
	c.Check(owner.BalanceShares(4, []float64{0, 0, 0}), qt.DeepEquals, []float64{1, 1, 1})
	c.Check(owner.BalanceShares(1, []float64{0.2, 0.3, 0.9}), qt.DeepEquals, []float64{0.3, 0.2})
	c.Check(owner.BalanceShares(0.5, []float64{0.6, 0.7}), qt.HasLen, 0)

	rapid.Check(t, func(t *rapid.T) {
		utilization := rapid.Float64Range(0, 20).Draw(t, "use")
		step := rapid.SliceOfN(rapid.Float64Range(0, 0.5), 0, 12).Draw(t, "steps")
		utilizations := make([]float64, 0, len(step))

		last := 0.0
		for _, s := range step {
			last += s
			utilizations = append(utilizations, last)
		}

		total, maxLevel := 0.0, 0.0

		for i, r := range owner.BalanceShares(utilization, utilizations) {
			if r <= 0 {
				t.Fatalf("share of %v is not positive", r)
			}

			total += r
			maxLevel = max(maxLevel, utilizations[i]+r)
		}

		if remaining := utilization - total; maxLevel > remaining+1e-9 {
			t.Fatalf("utilization of a receiver is %v, that of the sender %v", maxLevel, remaining)
		}
	})
}
