package agent

import (
	crand "crypto/rand"
	"math/rand/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admit"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/pick"
	"sardinespar.example/spar/route"
)

// newLimiter returns the limiter that the settings select for requests to the backend server.
func newLimiter(cfg config.Settings, clock spar.Clock, events spar.Recorder) admit.Limiter {
	if cfg.Admission == config.AdmissionFixed {
		return admit.NewFixed(clock, cfg.MaxQueue)
	}

	return admit.NewAdaptive(clock, admit.Settings{
		StartLimit: cfg.AdmissionStart, Warmup: cfg.AdmissionWarmup, SlowRatio: cfg.AdmissionSlowRatio,
		MaxQueue: cfg.MaxQueue,
	}, events)
}

// newPicker returns the picker that the settings select for the choice of upstreams.
func newPicker(cfg config.Settings, clock spar.Clock, events spar.Recorder) pick.Picker {
	if cfg.Picker == config.PickerRoundRobin {
		return pick.NewRoundRobin()
	}

	var seed [32]byte

	_, _ = crand.Read(seed[:])

	return pick.NewTwoChoices(clock, pick.Settings{
		EjectRatio: cfg.EjectRatio, MaxEjectShare: cfg.MaxEjectShare,
		EjectBackoff: cfg.EjectBackoff, MaxEjectBackoff: max(cfg.EjectBackoff, cfg.MaxEjectBackoff),
	}, events, rand.NewChaCha8(seed))
}

// newPolicy returns the policy that the settings select for resent and hedged requests.
func newPolicy(cfg config.Settings, clock spar.Clock) *route.Policy {
	p := &route.Policy{Resends: pick.NewBudget(cfg.RetryBudget)}

	if cfg.Hedging {
		p.NewHedger = func() *pick.Hedger {
			return pick.NewHedger(clock, cfg.HedgeQuantile, pick.NewBudget(cfg.HedgeBudget))
		}
	}

	return p
}
