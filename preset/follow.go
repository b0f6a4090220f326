package preset

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// pollInterval is the interval at which a starting node checks whether its replica is recent enough.
const pollInterval spar.Millis = 100

// Follower applies each new generation on one node as soon as the node's replica contains it.
//
// After a restart it waits until the replica has all rows up to the node's registration. Otherwise
// lagging peers or stale reads could put an older generation in force than the one that was in force
// on the same VM before the restart.
type Follower struct {
	replica *fleet.Replica
	self    func() spar.NodeID
	clock   spar.Clock
	record  spar.Recorder
	apply   func(Activation)

	mu     sync.Mutex
	active Activation
}

// NewFollower returns a follower for the node whose id self returns. It calls apply, unless nil, for
// each generation that comes into force on the node.
func NewFollower(
	r *fleet.Replica, self func() spar.NodeID, clock spar.Clock, record spar.Recorder, apply func(Activation),
) *Follower {
	return &Follower{replica: r, self: self, clock: clock, record: record, apply: apply}
}

// Generation returns the generation in force on this node, or 0 if there is none.
func (f *Follower) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.active.Generation
}

// InForce returns the preset in force on this node and its generation.
func (f *Follower) InForce() (Preset, int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.active.Preset == nil {
		return Preset{}, 0, false
	}

	return *f.active.Preset, f.active.Generation, true
}

// PolicyOf returns the policy of a service on this node and whether a preset is in force. Without a
// preset, the node's settings apply.
func (f *Follower) PolicyOf(service string) (Policy, bool) {
	p, _, ok := f.InForce()

	return p.PolicyOf(service), ok
}

// Run follows the replica until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

func (f *Follower) loop(ctx context.Context) {
	if !f.awaitReplica(ctx) {
		return
	}

	for {
		changed := f.replica.Changed()
		f.applyCurrent()

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// awaitReplica waits until the replica has all rows up to the node's first registration. It reports
// false if ctx ended first.
func (f *Follower) awaitReplica(ctx context.Context) bool {
	var registered spar.Revision

	for {
		v := f.replica.View()
		if n, ok := v.Node(f.self()); ok && registered == 0 {
			registered = n.Revision
		}

		if registered != 0 && v.CompleteRevision() >= registered {
			return true
		}

		if !f.clock.Sleep(ctx, pollInterval) {
			return false
		}
	}
}

// applyCurrent puts the replica's current generation in force if it differs from the node's.
func (f *Follower) applyCurrent() {
	v := f.replica.View()

	current, ok := CurrentActivation(v)
	if !ok || current.Generation == f.Generation() {
		return
	}

	f.mu.Lock()
	f.active = current
	f.mu.Unlock()

	if f.apply != nil {
		f.apply(current)
	}

	row, _ := v.Row(fleet.PrefixActivation)
	f.record.Record(spar.Event{
		Kind: spar.EventPreset, Revision: row.Revision,
		Detail: activatedResult(current).Detail + " by " + current.By,
	})
}
