package admin

import (
	"context"
	"encoding/json"
	"fmt"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
)

// The kinds of things that can be withdrawn.
const (
	KindZone   = "zone"
	KindServer = "server"
)

// maxWithdrawalHistory bounds the changes that a row keeps. If the reply to a change was lost, a repeated
// request finds the result in them, even after later changes.
const maxWithdrawalHistory = 16

// WithdrawalRow is the table's row of a withdrawal, with the number of its changes and the latest of
// them.
type WithdrawalRow struct {
	spar.Withdrawal

	ChangeCount int64              `json:"change"`
	AtMs        int64              `json:"at_ms"`
	History     []WithdrawalChange `json:"past,omitempty"`
}

// WithdrawalChange is one change of a withdrawal. The history includes the row's current change.
type WithdrawalChange struct {
	Number    int64  `json:"change"`
	Withdrawn bool   `json:"out"`
	By        string `json:"by"`
	Op        string `json:"op"`
}

// WithdrawalsResult holds the rows of all zones and backend servers that operators have ever withdrawn
// or returned to service.
type WithdrawalsResult struct {
	Zones   []WithdrawalRow `json:"zones"`
	Servers []WithdrawalRow `json:"servers"`
	Source  string          `json:"source"`
}

func (s *Service) withdrawals(ctx context.Context, _ Empty) (WithdrawalsResult, error) {
	zones, source := s.readRows(ctx, fleet.PrefixZone)
	servers, serverSource := s.readRows(ctx, fleet.PrefixServer)

	if serverSource == SourceReplica {
		source = serverSource
	}

	return WithdrawalsResult{
		Zones: decodeAll[WithdrawalRow](zones), Servers: decodeAll[WithdrawalRow](servers), Source: source,
	}, nil
}

// withdrawn returns the zones and backend servers that are withdrawn.
func withdrawn(v *fleet.View) []spar.Withdrawal {
	list := []spar.Withdrawal{}

	for _, prefix := range []string{fleet.PrefixZone, fleet.PrefixServer} {
		for _, row := range decodeAll[WithdrawalRow](v.Rows(prefix)) {
			if row.Withdrawn {
				list = append(list, row.Withdrawal)
			}
		}
	}

	return list
}

// WithdrawParams are the parameters for withdrawing a zone or a backend server, or for returning it to
// service.
type WithdrawParams struct {
	Kind      string `json:"kind"`
	Name      string `json:"name"`
	Withdrawn bool   `json:"out"`
	// Seen is the number of changes of the row that the operator saw, 0 for none.
	Seen int64 `json:"seen"`
	// SkipChecks permits a withdrawal of the last upstreams of a service, or of a zone without known nodes.
	SkipChecks bool   `json:"anyway"`
	DryRun     bool   `json:"dry_run"`
	By         string `json:"by"`
	Op         string `json:"op"`
}

func (p WithdrawParams) key() string {
	if p.Kind == KindZone {
		return fleet.ZoneKey(spar.Zone(p.Name))
	}

	return fleet.ServerKey(p.Name)
}

func (p WithdrawParams) direction() string {
	if p.Withdrawn {
		return "out"
	}

	return "in"
}

func (p WithdrawParams) event() spar.Event {
	if p.Kind == KindZone {
		return spar.Event{Kind: spar.EventZone}
	}

	return spar.Event{Kind: spar.EventServer}
}

// WithdrawResult holds the result of a change and its expected effect.
type WithdrawResult struct {
	Result change.Result  `json:"result"`
	Plan   WithdrawalPlan `json:"plan"`
}

func (s *Service) withdraw(ctx context.Context, p WithdrawParams) (WithdrawResult, error) {
	if p.Kind != KindZone && p.Kind != KindServer {
		return WithdrawResult{}, fmt.Errorf("kind %q: must be %s or %s", p.Kind, KindZone, KindServer)
	}

	plan := planWithdrawal(s.Replica.View(), p)
	if p.DryRun {
		return WithdrawResult{Plan: plan}, nil
	}

	if r, ok := requireIdentity(p.By, p.Op); !ok {
		return WithdrawResult{Result: r}, nil
	}

	ctx, cancel := s.changeContext(ctx)
	defer cancel()

	r := change.Resolve(ctx, s.Table, s.Clock, p.Op, func(ctx context.Context) (change.Step, error) {
		return s.withdrawalStep(ctx, p, plan)
	})

	return WithdrawResult{Result: s.publish(r, p.event()), Plan: plan}, nil
}

// withdrawalStep reads the row and returns the transaction that changes it, or the result if the row
// decides it already. The changes of a row are numbered, and p can only become change p.Seen+1: if that
// change exists, the operation that wrote it has won.
func (s *Service) withdrawalStep(ctx context.Context, p WithdrawParams, plan WithdrawalPlan) (change.Step, error) {
	row, ok, err := s.Table.Get(ctx, p.key())
	if err != nil {
		return change.Step{}, err
	}

	var current WithdrawalRow

	if ok {
		if err := json.Unmarshal(row.Value, &current); err != nil {
			return change.Step{}, fmt.Errorf("decode row %s: %w", p.key(), err)
		}
	}

	switch {
	case current.ChangeCount > p.Seen:
		return change.FinalStep(resolvedWithdrawal(p, current, row)), nil
	case current.ChangeCount < p.Seen:
		return change.FinalStep(change.RefusedResult(p.Op, "change %d of %s %s does not exist; the last is %d",
			p.Seen, p.Kind, p.Name, current.ChangeCount)), nil
	case p.Withdrawn && len(plan.Nodes) == 0 && p.Kind == KindZone && !p.SkipChecks:
		return change.FinalStep(change.RefusedResult(p.Op, "no node in zone %s is known", p.Name)), nil
	case p.Withdrawn && len(plan.Emptied) > 0 && !p.SkipChecks:
		return change.FinalStep(change.RefusedResult(p.Op, "no upstream would be left of %v", plan.Emptied)), nil
	}

	next := WithdrawalRow{
		Withdrawal:  spar.Withdrawal{Name: p.Name, Withdrawn: p.Withdrawn, By: p.By, Op: p.Op},
		ChangeCount: p.Seen + 1, AtMs: s.UnixMillis(),
		History: append(current.History, WithdrawalChange{Number: p.Seen + 1, Withdrawn: p.Withdrawn, By: p.By, Op: p.Op}),
	}
	next.History = next.History[max(0, len(next.History)-maxWithdrawalHistory):]

	return change.Step{
		Txn: spar.Txn{
			Conditions: []spar.Condition{{Key: p.key(), Revision: row.Revision}},
			Writes:     []spar.Write{{Key: p.key(), Value: fleet.Encode(next)}},
		},
		Result: acceptedWithdrawal(p),
	}, nil
}

func acceptedWithdrawal(p WithdrawParams) change.Result {
	return change.Result{
		Verdict: change.Accepted, Op: p.Op, Generation: p.Seen + 1,
		Detail: fmt.Sprintf("%s %s is %s by %s (change %d)", p.Kind, p.Name, p.direction(), p.By, p.Seen+1),
	}
}

// resolvedWithdrawal returns the result of a change whose number is already in use: accepted if this
// operation wrote it, otherwise a conflict with the one that did.
func resolvedWithdrawal(p WithdrawParams, current WithdrawalRow, row spar.Row) change.Result {
	for _, c := range current.History {
		if c.Number != p.Seen+1 {
			continue
		}

		if c.Op == p.Op {
			r := acceptedWithdrawal(p)
			r.Revision, r.Rows = row.Revision, []spar.Row{row}

			return r
		}

		q := p
		q.Withdrawn = c.Withdrawn

		return change.ConflictResult(p.Op, change.Winner{
			Generation: c.Number, What: p.Kind + " " + p.Name + " " + q.direction(), By: c.By, Op: c.Op,
		})
	}

	return change.Result{
		Verdict: change.Unknown, Op: p.Op,
		Detail: fmt.Sprintf("%d changes came after the one seen; only %d are kept",
			current.ChangeCount-p.Seen, maxWithdrawalHistory),
	}
}
