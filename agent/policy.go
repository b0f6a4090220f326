package agent

import (
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/preset"
	"sardinespar.example/spar/route"
)

// governed is a limiter that follows the preset in force. The fixed limiter of the settings does
// not: it is the baseline of measurements.
type governed interface {
	Govern(fixed bool, maxQueue int)
}

// choices returns what the preset in force says of requests for a service.
func (a *Agent) choices(service string) (route.Choices, bool) {
	p, ok := a.ops.follower.PolicyOf(service)

	return route.Choices{
		RoundRobin: p.Picker == config.PickerRoundRobin, Hedging: p.Hedging, Resume: p.Resume,
	}, ok
}

// moves returns how many slots of a service the preset in force lets move to one node at a time.
func (a *Agent) moves(service string) (int, bool) {
	p, ok := a.ops.follower.PolicyOf(service)

	return p.Moves, ok
}

// apply puts a preset's policy for the local service in force on the limiter.
func (a *Agent) apply(f preset.Force) {
	a.mu.Lock()
	t := a.registration
	a.mu.Unlock()

	l, ok := a.limiter.(governed)
	if !ok || f.Preset == nil || t == nil {
		return
	}

	self, _ := t.member.Self()
	p := f.Preset.PolicyOf(self.Service)
	l.Govern(p.Admission == config.AdmissionFixed, p.MaxQueue)
}
