package preset

import (
	"context"
	"fmt"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
)

// KeptGenerations is how many generations the history holds: two days at the target rate of 450
// changes a day. Older rows are deleted, so that the table does not grow without bound.
const KeptGenerations = 1000

// Store changes presets and the pointer in the table.
type Store struct {
	table spar.Table
	clock spar.Clock
	wall  func() int64
}

// NewStore returns a store over a table; wall returns the wall clock's milliseconds.
func NewStore(t spar.Table, clock spar.Clock, wall func() int64) Store {
	return Store{table: t, clock: clock, wall: wall}
}

// Create adds the next version of a preset. The same operation sent again returns the version that
// it made.
func (s Store) Create(ctx context.Context, name string, text []byte, by, op string) (Preset, change.Result) {
	p, faults := Parse(text)
	if !namePattern.MatchString(name) {
		faults = append(faults, Fault{Key: "name", Value: name, Accepted: "accepted: " + acceptedName})
	}

	if len(faults) > 0 {
		r := change.Refuse(op, "preset has %d faults", len(faults))
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

// nextVersion returns the step that adds p as the next version, unless its operation already did.
// An earlier attempt took the same version number or has lost it, so at most one takes effect.
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
			r := created(q)
			r.Revision, r.Rows = row.Revision, []spar.Row{row}

			return change.Done(r), nil
		}

		highest = max(highest, q.Version)
	}

	p.Version = highest + 1
	row := Key(p.Name, p.Version)

	return change.Step{
		Txn: spar.Txn{
			Conditions: []spar.Condition{{Key: row}},
			Writes:     []spar.Write{{Key: row, Value: fleet.Encode(*p)}},
		},
		Result: created(*p),
	}, nil
}

func created(p Preset) change.Result {
	return change.Result{Verdict: change.Accepted, Op: p.Op, Detail: "preset " + p.ID() + " is created"}
}

// Change asks to put a preset version in force.
type Change struct {
	Name    string `json:"name"`
	Version int    `json:"version"`
	// Seen is the generation in force that the operator saw, 0 for none.
	Seen int64  `json:"seen"`
	By   string `json:"by"`
	Op   string `json:"op"`
}

// Force puts a preset version in force if the generation in force is still the one that the
// operator saw.
func (s Store) Force(ctx context.Context, c Change) change.Result {
	return change.Resolve(ctx, s.table, s.clock, c.Op, func(ctx context.Context) (change.Step, error) {
		return s.force(ctx, c)
	})
}

// force decides by the history row of the next generation: whoever wrote it won, and a row without
// a writer is conditional for every attempt.
func (s Store) force(ctx context.Context, c Change) (change.Step, error) {
	history := ForceKey(c.Seen + 1)

	if row, ok, err := s.table.Get(ctx, history); err != nil || ok {
		return s.decided(ctx, c, row, err)
	}

	row, ok, err := s.table.Get(ctx, Key(c.Name, c.Version))
	if err != nil {
		return change.Step{}, err
	}

	if !ok {
		return change.Done(change.Refuse(c.Op, "preset %s/%d does not exist", c.Name, c.Version)), nil
	}

	p, err := decode[Preset](row)
	if err != nil {
		return change.Step{}, err
	}

	pointer, current, err := s.pointer(ctx)
	if err != nil {
		return change.Step{}, err
	}

	// The pointer may have moved after the history was read.
	if current.Generation > c.Seen {
		return s.late(ctx, c, current.Generation)
	}

	if current.Generation < c.Seen {
		return change.Done(change.Refuse(c.Op, "generation %d does not exist; in force is %d",
			c.Seen, current.Generation)), nil
	}

	f := Force{Generation: c.Seen + 1, Name: c.Name, Version: c.Version, By: c.By, Op: c.Op, AtMs: s.wall()}
	full := f
	full.Preset = &p
	txn := spar.Txn{
		Conditions: []spar.Condition{{Key: fleet.PrefixForce, Revision: pointer}, {Key: history}},
		Writes: []spar.Write{
			{Key: fleet.PrefixForce, Value: fleet.Encode(full)}, {Key: history, Value: fleet.Encode(f)},
		},
	}

	if old := f.Generation - KeptGenerations; old > 0 {
		txn.Writes = append(txn.Writes, spar.Write{Key: ForceKey(old)})
	}

	return change.Step{Txn: txn, Result: accepted(f)}, nil
}

// late decides a change whose generation has passed. Without its history row nobody can tell any
// more whether this operation wrote it.
func (s Store) late(ctx context.Context, c Change, current int64) (change.Step, error) {
	row, ok, err := s.table.Get(ctx, ForceKey(c.Seen+1))
	if err != nil || ok {
		return s.decided(ctx, c, row, err)
	}

	return change.Done(change.Result{
		Verdict: change.Unknown, Op: c.Op,
		Detail: fmt.Sprintf("in force is generation %d; the record of %d is gone", current, c.Seen+1),
	}), nil
}

// decided returns the end of a change whose generation has been written.
func (s Store) decided(ctx context.Context, c Change, row spar.Row, err error) (change.Step, error) {
	if err != nil {
		return change.Step{}, err
	}

	f, err := decode[Force](row)
	if err != nil {
		return change.Step{}, err
	}

	if f.Op != c.Op {
		return change.Done(change.Lost(c.Op, change.Winner{
			Generation: f.Generation, What: "preset " + f.ID(), By: f.By, Op: f.Op,
		})), nil
	}

	r := accepted(f)
	r.Revision = row.Revision

	if pointer, ok, err := s.table.Get(ctx, fleet.PrefixForce); err == nil && ok {
		r.Rows = []spar.Row{pointer, row}
	}

	return change.Done(r), nil
}

func (s Store) pointer(ctx context.Context) (spar.Revision, Force, error) {
	row, ok, err := s.table.Get(ctx, fleet.PrefixForce)
	if err != nil || !ok {
		return 0, Force{}, err
	}

	f, err := decode[Force](row)

	return row.Revision, f, err
}

func accepted(f Force) change.Result {
	return change.Result{
		Verdict: change.Accepted, Op: f.Op, Generation: f.Generation,
		Detail: fmt.Sprintf("preset %s is in force as generation %d", f.ID(), f.Generation),
	}
}
