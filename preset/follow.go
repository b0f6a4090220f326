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
	self    func() spar.NodeID
	clock   spar.Clock
	record  spar.Recorder
	apply   func(Force)

	mu    sync.Mutex
	force Force
}

// NewFollower returns a follower on the node that self names. It calls apply, if it is not nil, with
// each pointer that comes into force.
func NewFollower(
	r *fleet.Replica, self func() spar.NodeID, clock spar.Clock, record spar.Recorder, apply func(Force),
) *Follower {
	return &Follower{replica: r, self: self, clock: clock, record: record, apply: apply}
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

// PolicyOf returns the policy of a service on this node, and whether a preset is in force; the
// node's settings hold without one.
func (f *Follower) PolicyOf(service string) (Policy, bool) {
	p, _, ok := f.InForce()

	return p.PolicyOf(service), ok
}

// Run follows the replica until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

func (f *Follower) loop(ctx context.Context) {
	if !f.await(ctx) {
		return
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

// await waits until the replica has all rows up to the node's first registration, and reports false
// if ctx ended first.
func (f *Follower) await(ctx context.Context) bool {
	var registered spar.Revision

	for {
		v := f.replica.View()
		if n, ok := v.Node(f.self()); ok && registered == 0 {
			registered = n.Revision
		}

		if registered != 0 && v.Complete() >= registered {
			return true
		}

		if !f.clock.Sleep(ctx, followPoll) {
			return false
		}
	}
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
