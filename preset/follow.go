package preset

import (
	"context"
	"sync"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// followPoll is the pause between two looks at the replica until its node may follow it.
const followPoll spar.Millis = 100

// Follower puts each generation in force on one node as soon as its replica shows it.
//
// A node that starts anew does so only once its replica has all rows up to the node's registration:
// peers and reads that lag could otherwise bring an older generation into force than the one that
// served on the same VM before.
type Follower struct {
	replica *fleet.Replica
	clock   spar.Clock
	record  spar.Recorder
	apply   func(Force)

	mu         sync.Mutex
	registered spar.Revision
	force      Force
}

// NewFollower returns a follower that calls apply, if it is not nil, with each pointer that comes
// into force.
func NewFollower(r *fleet.Replica, clock spar.Clock, record spar.Recorder, apply func(Force)) *Follower {
	return &Follower{replica: r, clock: clock, record: record, apply: apply}
}

// Registered tells the revision of the node's first registration.
func (f *Follower) Registered(revision spar.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.registered == 0 {
		f.registered = revision
	}
}

// Generation returns the generation in force on this node, 0 for none.
func (f *Follower) Generation() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.force.Generation
}

// InForce returns the preset in force on this node and its generation.
func (f *Follower) InForce() (Preset, int64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.force.Preset == nil {
		return Preset{}, 0, false
	}

	return *f.force.Preset, f.force.Generation, true
}

// PolicyOf returns the policy of a service on this node.
func (f *Follower) PolicyOf(service string) Policy {
	p, _, _ := f.InForce()

	return p.PolicyOf(service)
}

// Run follows the replica until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

func (f *Follower) loop(ctx context.Context) {
	for !f.complete() {
		if !f.clock.Sleep(ctx, followPoll) {
			return
		}
	}

	for {
		changed := f.replica.Changed()
		f.step()

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// complete reports whether the replica has all rows up to the node's registration.
func (f *Follower) complete() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.registered != 0 && f.replica.View().Complete() >= f.registered
}

func (f *Follower) step() {
	v := f.replica.View()

	pointer, ok := Pointer(v)
	if !ok || pointer.Generation == f.Generation() {
		return
	}

	f.mu.Lock()
	f.force = pointer
	f.mu.Unlock()

	if f.apply != nil {
		f.apply(pointer)
	}

	row, _ := v.Row(fleet.PrefixForce)
	f.record.Record(spar.Event{
		Kind: spar.EventPreset, Revision: row.Revision,
		Detail: accepted(pointer).Detail + " by " + pointer.By,
	})
}
