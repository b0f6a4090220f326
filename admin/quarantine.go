package admin

import (
	"context"
	"encoding/json"
	"fmt"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
)

// QuarantineRow is a quarantine with its row's revision.
type QuarantineRow struct {
	spar.Quarantine

	Active   bool          `json:"active"`
	Revision spar.Revision `json:"revision"`
}

// QuarantinesResult holds all quarantines.
type QuarantinesResult struct {
	Quarantines []QuarantineRow `json:"quarantines"`
	Source      string          `json:"source"`
}

func (s *Service) quarantines(ctx context.Context, _ Empty) (QuarantinesResult, error) {
	rows, source := s.current(ctx, fleet.PrefixQuarantine)
	result := QuarantinesResult{Source: source, Quarantines: []QuarantineRow{}}

	for _, row := range rows {
		var q spar.Quarantine
		if json.Unmarshal(row.Value, &q) == nil {
			result.Quarantines = append(result.Quarantines, QuarantineRow{
				Quarantine: q, Active: q.Active(s.Wall()), Revision: row.Revision,
			})
		}
	}

	return result, nil
}

// LiftParams asks to lift a quarantine as the operator saw it.
type LiftParams struct {
	Fingerprint string        `json:"fingerprint"`
	Revision    spar.Revision `json:"revision"`
	By          string        `json:"by"`
	Op          string        `json:"op"`
}

func (s *Service) lift(ctx context.Context, p LiftParams) (change.Result, error) {
	if r, ok := identified(p.By, p.Op); !ok {
		return r, nil
	}

	ctx, cancel := s.bounded(ctx)
	defer cancel()

	r := change.Resolve(ctx, s.Table, s.Clock, p.Op, func(ctx context.Context) (change.Step, error) {
		return s.lifted(ctx, p)
	})

	return s.finish(r, spar.Event{Kind: spar.EventQuarantined}), nil
}

func (s *Service) lifted(ctx context.Context, p LiftParams) (change.Step, error) {
	key := fleet.PrefixQuarantine + p.Fingerprint

	row, ok, err := s.Table.Get(ctx, key)
	if err != nil {
		return change.Step{}, err
	}

	if !ok {
		return change.Done(change.Refuse(p.Op, "no quarantine of %s", p.Fingerprint)), nil
	}

	var q spar.Quarantine
	if err := json.Unmarshal(row.Value, &q); err != nil {
		return change.Step{}, fmt.Errorf("decode row %s: %w", key, err)
	}

	done := change.Result{
		Verdict: change.Accepted, Op: p.Op, Detail: "quarantine of " + p.Fingerprint + " is lifted by " + p.By,
	}

	switch {
	case q.Lifted && (q.Op == p.Op || q.Op == ""):
		// A node that writes a lifted row again leaves out who lifted it.
		done.Revision, done.Rows = row.Revision, []spar.Row{row}

		return change.Done(done), nil
	case q.Lifted:
		return change.Done(change.Lost(p.Op, change.Winner{
			What: "quarantine of " + p.Fingerprint + " lifted", By: q.LiftedBy, Op: q.Op,
		})), nil
	case row.Revision != p.Revision:
		// The lift may have taken effect before the request was put into quarantine once more.
		return change.Done(change.Result{
			Verdict: change.Unknown, Op: p.Op,
			Detail: fmt.Sprintf("quarantine of %s was written anew at revision %d", p.Fingerprint, row.Revision),
		}), nil
	}

	return change.Step{
		Txn: spar.Txn{
			Conditions: []spar.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []spar.Write{{Key: key, Value: fleet.Encode(q.Lift(s.Wall(), p.By, p.Op))}},
		},
		Result: done,
	}, nil
}
