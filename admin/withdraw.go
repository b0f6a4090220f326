package admin

import (
	"context"
	"encoding/json"
	"fmt"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/change"
	"sardinespar.example/spar/fleet"
)

// What can be taken out.
const (
	KindZone   = "zone"
	KindServer = "server"
)

// withdrawalPast bounds the earlier changes kept in a row, by which a lost reply is resolved after
// later changes.
const withdrawalPast = 16

// WithdrawalRow is a withdrawal with the count of its changes and the last of them.
type WithdrawalRow struct {
	spar.Withdrawal

	Change int64        `json:"change"`
	AtMs   int64        `json:"at_ms"`
	Past   []PastChange `json:"past,omitempty"`
}

// PastChange is one change of a withdrawal, the row's current one included.
type PastChange struct {
	Change int64  `json:"change"`
	Out    bool   `json:"out"`
	By     string `json:"by"`
	Op     string `json:"op"`
}

// WithdrawalsResult holds the zones and backend servers on which operators decided.
type WithdrawalsResult struct {
	Zones   []WithdrawalRow `json:"zones"`
	Servers []WithdrawalRow `json:"servers"`
	Source  string          `json:"source"`
}

func (s *Service) withdrawals(ctx context.Context, _ Empty) (WithdrawalsResult, error) {
	zones, source := s.current(ctx, fleet.PrefixZone)
	servers, second := s.current(ctx, fleet.PrefixServer)

	if second == SourceReplica {
		source = second
	}

	return WithdrawalsResult{
		Zones: decodeAll[WithdrawalRow](zones), Servers: decodeAll[WithdrawalRow](servers), Source: source,
	}, nil
}

// out returns what operators have taken out.
func out(v *fleet.View) []spar.Withdrawal {
	list := []spar.Withdrawal{}

	for _, prefix := range []string{fleet.PrefixZone, fleet.PrefixServer} {
		for _, row := range decodeAll[WithdrawalRow](v.Rows(prefix)) {
			if row.Out {
				list = append(list, row.Withdrawal)
			}
		}
	}

	return list
}

// WithdrawParams asks to take a zone or a backend server out or in.
type WithdrawParams struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Out  bool   `json:"out"`
	// Seen is the count of changes that the operator saw, 0 for none.
	Seen int64 `json:"seen"`
	// Anyway takes out the last upstreams of a service too.
	Anyway bool   `json:"anyway"`
	DryRun bool   `json:"dry_run"`
	By     string `json:"by"`
	Op     string `json:"op"`
}

func (p WithdrawParams) key() string {
	if p.Kind == KindZone {
		return fleet.ZoneKey(spar.Zone(p.Name))
	}

	return fleet.ServerKey(p.Name)
}

func (p WithdrawParams) verb() string {
	if p.Out {
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

// WithdrawResult holds the outcome and what moves because of it.
type WithdrawResult struct {
	Result change.Result `json:"result"`
	Plan   WithdrawPlan  `json:"plan"`
}

func (s *Service) withdraw(ctx context.Context, p WithdrawParams) (WithdrawResult, error) {
	if p.Kind != KindZone && p.Kind != KindServer {
		return WithdrawResult{}, fmt.Errorf("kind %q: must be %s or %s", p.Kind, KindZone, KindServer)
	}

	plan := planWithdrawal(s.Replica.View(), p)
	if p.DryRun {
		return WithdrawResult{Plan: plan}, nil
	}

	if r, ok := identified(p.By, p.Op); !ok {
		return WithdrawResult{Result: r}, nil
	}

	ctx, cancel := s.bounded(ctx)
	defer cancel()

	r := change.Resolve(ctx, s.Table, s.Clock, p.Op, func(ctx context.Context) (change.Step, error) {
		return s.withdrawal(ctx, p, plan)
	})

	return WithdrawResult{Result: s.finish(r, p.event()), Plan: plan}, nil
}

// withdrawal decides by the row's count of changes: the change after the one that the operator saw
// belongs to whoever wrote it.
func (s *Service) withdrawal(ctx context.Context, p WithdrawParams, plan WithdrawPlan) (change.Step, error) {
	row, ok, err := s.Table.Get(ctx, p.key())
	if err != nil {
		return change.Step{}, err
	}

	var now WithdrawalRow

	if ok {
		if err := json.Unmarshal(row.Value, &now); err != nil {
			return change.Step{}, fmt.Errorf("decode row %s: %w", p.key(), err)
		}
	}

	switch {
	case now.Change > p.Seen:
		return change.Done(decidedWithdrawal(p, now, row)), nil
	case now.Change < p.Seen:
		return change.Done(change.Refuse(p.Op, "change %d of %s %s does not exist; the last is %d",
			p.Seen, p.Kind, p.Name, now.Change)), nil
	case p.Out && len(plan.Nodes) == 0 && p.Kind == KindZone && !p.Anyway:
		return change.Done(change.Refuse(p.Op, "no node in zone %s is known", p.Name)), nil
	case p.Out && len(plan.Emptied) > 0 && !p.Anyway:
		return change.Done(change.Refuse(p.Op, "no upstream would be left of %v", plan.Emptied)), nil
	}

	next := WithdrawalRow{
		Withdrawal: spar.Withdrawal{Name: p.Name, Out: p.Out, By: p.By, Op: p.Op},
		Change:     p.Seen + 1, AtMs: s.Wall(),
		Past: append(now.Past, PastChange{Change: p.Seen + 1, Out: p.Out, By: p.By, Op: p.Op}),
	}
	next.Past = next.Past[max(0, len(next.Past)-withdrawalPast):]

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
		Detail: fmt.Sprintf("%s %s is %s by %s (change %d)", p.Kind, p.Name, p.verb(), p.By, p.Seen+1),
	}
}

// decidedWithdrawal returns the result of a change whose place has been taken.
func decidedWithdrawal(p WithdrawParams, now WithdrawalRow, row spar.Row) change.Result {
	for _, c := range now.Past {
		if c.Change != p.Seen+1 {
			continue
		}

		if c.Op == p.Op {
			r := acceptedWithdrawal(p)
			r.Revision, r.Rows = row.Revision, []spar.Row{row}

			return r
		}

		q := p
		q.Out = c.Out

		return change.Lost(p.Op, change.Winner{
			Generation: c.Change, What: p.Kind + " " + p.Name + " " + q.verb(), By: c.By, Op: c.Op,
		})
	}

	return change.Result{
		Verdict: change.Unknown, Op: p.Op,
		Detail: fmt.Sprintf("%d changes came after the one seen; only %d are kept", now.Change-p.Seen, withdrawalPast),
	}
}
