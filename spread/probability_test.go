package spread_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/spread"
)

// Guards against probabilities shown to operators that differ from the choice of real requests, for zones with and
// without room, cold, failing and unknown servers, and a single server.
func TestProbabilitiesAgreeWithChoose(t *testing.T) {
	const (
		draws     = 40_000
		tolerance = 0.015
	)

	rnd := rand.New(rand.NewPCG(1, 2))

	for n := range 12 {
		servers := make([]spread.Server, n)
		for i := range servers {
			servers[i] = spread.Server{
				Slots: 1 + rnd.IntN(9), Load: rnd.IntN(9), ServiceTime: spar.Millis(rnd.IntN(3) * 30),
				Slowdown: rnd.Float64() * 3, Age: spar.Millis(rnd.IntN(200)), Sent: rnd.IntN(3),
				FailureRate: rnd.Float64() / 2, Penalty: spar.Millis(rnd.IntN(20)), Near: rnd.IntN(2) == 0,
				Cold: rnd.IntN(4) == 0,
			}
		}

		chosen := make([]float64, n)

		for range draws {
			if i := spread.Choose(servers, rnd.Float64); i >= 0 {
				chosen[i] += 1.0 / draws
			}
		}

		for i, p := range spread.Probabilities(servers) {
			qt.Assert(t, math.Abs(p-chosen[i]) < tolerance, qt.IsTrue,
				qt.Commentf("server %d of %d: %.3f, chosen %.3f", i, n, p, chosen[i]))
		}
	}
}
