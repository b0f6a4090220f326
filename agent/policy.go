package agent

import (
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/preset"
	"sardinespar.example/spar/route"
)

// policyLimiter is a limiter that follows the preset in force. The fixed limiter of the settings is not one,
// because it is the baseline for measurements.
type policyLimiter interface {
	SetPolicy(fixed bool, maxQueue int)
}

// servicePolicy returns the policy of the preset in force for requests to a service.
func (a *Agent) servicePolicy(service string) (route.ServicePolicy, bool) {
	p, ok := a.ops.follower.PolicyOf(service)

	return route.ServicePolicy{
		RoundRobin: p.Picker == config.PickerRoundRobin, Hedging: p.Hedging, Resume: p.Resume,
	}, ok
}

// maxMoves returns how many slots of a service may move to one node at a time under the preset in force.
func (a *Agent) maxMoves(service string) (int, bool) {
	p, ok := a.ops.follower.PolicyOf(service)

	return p.MaxConcurrentMoves, ok
}

// applyPreset applies the policy of an activated preset for the local service to the limiter.
func (a *Agent) applyPreset(active preset.Activation) {
	a.mu.Lock()
	r := a.registration
	a.mu.Unlock()

	l, ok := a.limiter.(policyLimiter)
	if !ok || active.Preset == nil || r == nil {
		return
	}

	self, _ := r.member.Self()
	p := active.Preset.PolicyOf(self.Service)
	l.SetPolicy(p.Admission == config.AdmissionFixed, p.MaxQueue)
}
