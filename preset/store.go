package preset

import (
	"context"
	"fmt"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
)

// MaxHistory is the number of generations in the history, enough for two days at the target rate
// of 450 changes a day. Older rows are deleted so that the table does not grow without bound.
const MaxHistory = 1000

// Store creates presets in the table and puts them in force.
type Store struct {
	table      spar.Table
	clock      spar.Clock
	unixMillis func() int64
}

// NewStore returns a store on a table. unixMillis returns the time of day in Unix milliseconds.
func NewStore(t spar.Table, clock spar.Clock, unixMillis func() int64) Store {
	return Store{table: t, clock: clock, unixMillis: unixMillis}
}

// Create adds the next version of a preset. A repeated operation returns the version that it created
// the first time.
func (s Store) Create(ctx context.Context, name string, text []byte, by, op string) (Preset, change.Result) {
	p, faults := Parse(text)
	if !namePattern.MatchString(name) {
		faults = append(faults, Fault{Key: "name", Value: name, Accepted: "accepted: " + acceptedName})
	}

	if len(faults) > 0 {
		r := change.RefusedResult(op, "preset has %d faults", len(faults))
		for _, f := range faults {
			r.Faults = append(r.Faults, f.String())
		}

		return Preset{}, r
	}

	p.Name, p.By, p.Op = name, by, op

	r := change.Resolve(ctx, s.table, s.clock, op, func(ctx context.Context) (change.Step, error) {
		return s.nextVersion(ctx, &p)
	})

	return p, r
}

// nextVersion returns the step that adds p as the next version, unless an earlier attempt of the same
// operation has already done so. An earlier attempt used either the same version number or one that
// another operation has used since, so at most one attempt takes effect.
func (s Store) nextVersion(ctx context.Context, p *Preset) (change.Step, error) {
	rows, _, err := s.table.Scan(ctx, fleet.PrefixPreset+p.Name+"/", 0)
	if err != nil {
		return change.Step{}, err
	}

	highest := 0

	for _, row := range rows {
		q, err := decode[Preset](row)
		if err != nil {
			return change.Step{}, err
		}

		if q.Op == p.Op {
			*p = q
			r := createdResult(q)
			r.Revision, r.Rows = row.Revision, []spar.Row{row}

			return change.FinalStep(r), nil
		}

		highest = max(highest, q.Version)
	}

	p.Version = highest + 1
	rowKey := Key(p.Name, p.Version)

	return change.Step{
		Txn: spar.Txn{
			Conditions: []spar.Condition{{Key: rowKey}},
			Writes:     []spar.Write{{Key: rowKey, Value: fleet.Encode(*p)}},
		},
		Result: createdResult(*p),
	}, nil
}

func createdResult(p Preset) change.Result {
	return change.Result{Verdict: change.Accepted, Op: p.Op, Detail: "preset " + p.ID() + " is created"}
}

// ActivateParams is a request to put a preset version in force.
type ActivateParams struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
	// Seen is the generation that was in force when the operator last checked, or 0 for none.
	Seen int64  `json:"seen"`
	By   string `json:"by"`
	Op   string `json:"op"`
}

// Activate puts a preset version in force, provided that the generation in force is still c.Seen.
func (s Store) Activate(ctx context.Context, c ActivateParams) change.Result {
	return change.Resolve(ctx, s.table, s.clock, c.Op, func(ctx context.Context) (change.Step, error) {
		return s.activateStep(ctx, c)
	})
}

// activateStep returns the step that puts c's preset in force as generation c.Seen+1. If that generation has a
// history row, the operation that wrote the row has won. Otherwise the transaction writes the row on condition
// that there is still none.
func (s Store) activateStep(ctx context.Context, c ActivateParams) (change.Step, error) {
	historyKey := ActivationKey(c.Seen + 1)

	if row, ok, err := s.table.Get(ctx, historyKey); err != nil || ok {
		return s.recordedStep(ctx, c, row, err)
	}

	row, ok, err := s.table.Get(ctx, Key(c.Name, c.Version))
	if err != nil {
		return change.Step{}, err
	}

	if !ok {
		return change.FinalStep(change.RefusedResult(c.Op, "preset %s/%d does not exist", c.Name, c.Version)), nil
	}

	p, err := decode[Preset](row)
	if err != nil {
		return change.Step{}, err
	}

	pointerRevision, current, err := s.current(ctx)
	if err != nil {
		return change.Step{}, err
	}

	// The pointer may have changed since the history row was read.
	if current.Generation > c.Seen {
		return s.supersededStep(ctx, c, current.Generation)
	}

	if current.Generation < c.Seen {
		return change.FinalStep(change.RefusedResult(c.Op, "generation %d does not exist; in force is %d",
			c.Seen, current.Generation)), nil
	}

	a := Activation{Generation: c.Seen + 1, Name: c.Name, Version: c.Version, By: c.By, Op: c.Op, AtMs: s.unixMillis()}
	withPreset := a
	withPreset.Preset = &p
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: fleet.PrefixActivation, Revision: pointerRevision}, {Key: historyKey}},
		Writes: []spar.Write{
			{Key: fleet.PrefixActivation, Value: fleet.Encode(withPreset)}, {Key: historyKey, Value: fleet.Encode(a)},
		},
	}

	if old := a.Generation - MaxHistory; old > 0 {
		txn.Writes = append(txn.Writes, spar.Write{Key: ActivationKey(old)})
	}

	return change.Step{Txn: txn, Result: activatedResult(a)}, nil
}

// supersededStep returns the result of a change if a generation after c.Seen is in force. If the history row
// of generation c.Seen+1 has been deleted, it is unknown whether this operation wrote it.
func (s Store) supersededStep(ctx context.Context, c ActivateParams, current int64) (change.Step, error) {
	row, ok, err := s.table.Get(ctx, ActivationKey(c.Seen+1))
	if err != nil || ok {
		return s.recordedStep(ctx, c, row, err)
	}

	return change.FinalStep(change.Result{
		Verdict: change.Unknown, Op: c.Op,
		Detail: fmt.Sprintf("in force is generation %d; the record of %d is gone",
			current, c.Seen+1),
	}), nil
}

// recordedStep returns the result of a change whose generation already has a history row: accepted if
// this operation wrote the row, otherwise a conflict.
func (s Store) recordedStep(ctx context.Context, c ActivateParams, row spar.Row, err error) (change.Step, error) {
	if err != nil {
		return change.Step{}, err
	}

	a, err := decode[Activation](row)
	if err != nil {
		return change.Step{}, err
	}

	if a.Op != c.Op {
		return change.FinalStep(change.ConflictResult(c.Op, change.Winner{
			Generation: a.Generation, What: "preset " + a.ID(), By: a.By, Op: a.Op,
		})), nil
	}

	r := activatedResult(a)
	r.Revision = row.Revision

	if pointer, ok, err := s.table.Get(ctx, fleet.PrefixActivation); err == nil && ok {
		r.Rows = []spar.Row{pointer, row}
	}

	return change.FinalStep(r), nil
}

// current returns the pointer row's revision and content, both zero if there is no row.
func (s Store) current(ctx context.Context) (spar.Revision, Activation, error) {
	row, ok, err := s.table.Get(ctx, fleet.PrefixActivation)
	if err != nil || !ok {
		return 0, Activation{}, err
	}

	a, err := decode[Activation](row)

	return row.Revision, a, err
}

func activatedResult(a Activation) change.Result {
	return change.Result{
		Verdict: change.Accepted, Op: a.Op, Generation: a.Generation,
		Detail: fmt.Sprintf("preset %s is in force as generation %d", a.ID(), a.Generation),
	}
}
