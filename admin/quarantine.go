package admin

import (
	"context"
	"encoding/json"
	"fmt"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
)

// QuarantineRow is a quarantine with the revision of its row.
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
	rows, source := s.readRows(ctx, fleet.PrefixQuarantine)
	result := QuarantinesResult{Source: source, Quarantines: []QuarantineRow{}}

	for _, row := range rows {
		var q spar.Quarantine
		if json.Unmarshal(row.Value, &q) == nil {
			result.Quarantines = append(result.Quarantines, QuarantineRow{
				Quarantine: q, Active: q.Active(s.UnixMillis()), Revision: row.Revision,
			})
		}
	}

	return result, nil
}

// QuarantineLiftParams are the parameters for lifting a quarantine. Revision is that of the row that the operator
// saw; a row that was written later is not lifted.
type QuarantineLiftParams struct {
	Fingerprint string        `json:"fingerprint"`
	Revision    spar.Revision `json:"revision"`
	By          string        `json:"by"`
	Op          string        `json:"op"`
}

func (s *Service) lift(ctx context.Context, p QuarantineLiftParams) (change.Result, error) {
	if r, ok := requireIdentity(p.By, p.Op); !ok {
		return r, nil
	}

	ctx, cancel := s.changeContext(ctx)
	defer cancel()

	r := change.Resolve(ctx, s.Table, s.Clock, p.Op, func(ctx context.Context) (change.Step, error) {
		return s.liftStep(ctx, p)
	})

	return s.publish(r, spar.Event{Kind: spar.EventQuarantined}), nil
}

// liftStep reads the quarantine's row and returns the transaction that lifts it, or the result if the
// row decides it already.
func (s *Service) liftStep(ctx context.Context, p QuarantineLiftParams) (change.Step, error) {
	key := fleet.PrefixQuarantine + p.Fingerprint

	row, ok, err := s.Table.Get(ctx, key)
	if err != nil {
		return change.Step{}, err
	}

	if !ok {
		return change.FinalStep(change.RefusedResult(p.Op, "no quarantine of %s", p.Fingerprint)), nil
	}

	var q spar.Quarantine
	if err := json.Unmarshal(row.Value, &q); err != nil {
		return change.Step{}, fmt.Errorf("decode row %s: %w", key, err)
	}

	result := change.Result{
		Verdict: change.Accepted, Op: p.Op, Detail: "quarantine of " + p.Fingerprint + " is lifted by " + p.By,
	}

	switch {
	case q.Lifted && (q.Op == p.Op || q.Op == ""):
		// A node that writes a lifted row again omits the operator and the operation. A lifted row
		// without an operation therefore counts as lifted by this one.
		result.Revision, result.Rows = row.Revision, []spar.Row{row}

		return change.FinalStep(result), nil
	case q.Lifted:
		return change.FinalStep(change.ConflictResult(p.Op, change.Winner{
			What: "quarantine of " + p.Fingerprint + " lifted", By: q.LiftedBy, Op: q.Op,
		})), nil
	case row.Revision != p.Revision:
		// An earlier attempt of this lift may have taken effect before the request was put into
		// quarantine again.
		return change.FinalStep(change.Result{
			Verdict: change.Unknown, Op: p.Op,
			Detail: fmt.Sprintf("quarantine of %s was written anew at revision %d", p.Fingerprint, row.Revision),
		}), nil
	}

	return change.Step{
		Txn: spar.Txn{
			Conditions: []spar.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []spar.Write{{Key: key, Value: fleet.Encode(q.WithLift(s.UnixMillis(), p.By, p.Op))}},
		},
		Result: result,
	}, nil
}
