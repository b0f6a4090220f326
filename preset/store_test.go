package preset_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
	"sardinespar.example/spar/preset"
	"sardinespar.example/spar/table"
)

// TestHistoryIsBounded guards against a history that grows without bound. It also checks that an old
// operation that is repeated after its history row was deleted has no effect and an unknown result.
func TestHistoryIsBounded(t *testing.T) {
	ctx := context.Background()
	memory := table.NewMemory()
	store := preset.NewStore(memory, spar.RuntimeClock(), func() int64 { return 1 })

	_, r := store.Create(ctx, "day", []byte(valid), "ann", "create")
	qt.Assert(t, r.Verdict, qt.Equals, change.Accepted)

	force := func(seen int64) change.Result {
		return store.Activate(ctx, preset.ActivateParams{
			Name: "day", Version: 1, Seen: seen, By: "ann", Op: fmt.Sprint(seen),
		})
	}

	const generations = preset.MaxHistory + 5
	for seen := range int64(generations) {
		qt.Assert(t, force(seen).Verdict, qt.Equals, change.Accepted)
	}

	rows, revision, _ := memory.Scan(ctx, fleet.PrefixActivation, 0)
	qt.Assert(t, len(rows), qt.Equals, preset.MaxHistory+1)

	qt.Assert(t, force(0).Verdict, qt.Equals, change.Unknown)
	qt.Assert(t, force(generations-1).Verdict, qt.Equals, change.Accepted)
	qt.Assert(t, force(generations-1).Generation, qt.Equals, int64(generations))

	_, after, _ := memory.Scan(ctx, "", 0)
	qt.Assert(t, after, qt.Equals, revision)
}

// TestReplicaOmitsHistory guards against replicas whose memory grows with every change, because they
// keep preset versions and history rows.
func TestReplicaOmitsHistory(t *testing.T) {
	p := preset.Preset{Name: "day", Version: 1}
	r := fleet.NewReplica()
	r.Merge([]spar.Row{
		{Key: preset.Key("day", 1), Value: fleet.Encode(p), Revision: 1},
		{Key: preset.ActivationKey(1), Value: fleet.Encode(preset.Activation{Generation: 1}), Revision: 2},
		{Key: fleet.PrefixActivation, Value: fleet.Encode(preset.Activation{Generation: 1, Preset: &p}), Revision: 2},
	}, 2)

	qt.Assert(t, r.View().Rows(""), qt.HasLen, 1)

	got, generation, ok := preset.InForce(r.View())
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, generation, qt.Equals, int64(1))
	qt.Assert(t, got.ID(), qt.Equals, "day/1")
}
