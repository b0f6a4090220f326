package preset

import (
	"context"
	"sync/atomic"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/fleet"
)

// Follower puts each generation in force on one node as soon as its replica shows it.
type Follower struct {
	replica    *fleet.Replica
	record     spar.Recorder
	apply      func(Preset)
	generation atomic.Int64
}

// NewFollower returns a follower that calls apply, if it is not nil, with each preset that comes
// into force.
func NewFollower(r *fleet.Replica, record spar.Recorder, apply func(Preset)) *Follower {
	return &Follower{replica: r, record: record, apply: apply}
}

// Generation returns the generation in force on this node, 0 for none.
func (f *Follower) Generation() int64 {
	return f.generation.Load()
}

// Run follows the replica until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loop(ctx)
}

func (f *Follower) loop(ctx context.Context) {
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

func (f *Follower) step() {
	v := f.replica.View()

	pointer, ok := Pointer(v)
	if !ok || pointer.Generation <= f.Generation() {
		return
	}

	if f.apply != nil {
		f.apply(*pointer.Preset)
	}

	f.generation.Store(pointer.Generation)

	row, _ := v.Row(fleet.PrefixForce)
	f.record.Record(spar.Event{
		Kind: spar.EventPreset, Revision: row.Revision,
		Detail: accepted(pointer).Detail + " by " + pointer.By,
	})
}
