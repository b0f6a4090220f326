package shell

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/change"
)

func (a *app) withdrawCommands(k *kingpin.Application) {
	for _, kind := range []string{admin.KindZone, admin.KindServer} {
		what, arg := "zone", "Name of the availability zone."
		if kind == admin.KindServer {
			what, arg = "backend server", "Name of the VM on which the backend server runs."
		}

		cmd := k.Command(kind, "Take a "+what+" out and in.")
		a.on(cmd.Command("list", "List the decisions on each "+what+"."),
			func(ctx context.Context, c *client) error { return a.withdrawals(ctx, c, kind) })

		for _, out := range []bool{true, false} {
			name, help := "in", "Bring a "+what+" back; its share of slots returns step by step."
			if out {
				name, help = "out", "Take a "+what+" out; its slots move away and it gets no new work."
			}

			a.withdrawCommand(cmd.Command(name, help), admin.WithdrawParams{Kind: kind, Out: out}, arg)
		}
	}
}

func (a *app) withdrawCommand(cmd *kingpin.CmdClause, p admin.WithdrawParams, arg string) {
	cmd.Arg("name", arg).Required().StringVar(&p.Name)
	cmd.Flag("seen", "Count of changes that you saw in the list; without it, the one read now.").
		Default("-1").Int64Var(&p.Seen)
	cmd.Flag("dry-run", "Show what would move and change nothing.").BoolVar(&p.DryRun)

	if p.Out {
		cmd.Flag("anyway", "Do it even if a service is left without upstreams.").BoolVar(&p.Anyway)
	}

	a.on(cmd, func(ctx context.Context, c *client) error { return a.withdraw(ctx, c, p) })
}

func (a *app) withdrawals(ctx context.Context, c *client, kind string) error {
	rows, err := a.decisions(ctx, c, kind)
	if err != nil {
		return err
	}

	return a.print(rows, func(w io.Writer) {
		printf(w, "NAME\tOUT\tBY\tCHANGE\tAT\n")

		for _, r := range rows {
			printf(w, "%s\t%v\t%s\t%d\t%s\n", r.Name, r.Out, r.By, r.Change, clock(r.AtMs))
		}
	})
}

func (a *app) decisions(ctx context.Context, c *client, kind string) ([]admin.WithdrawalRow, error) {
	list, err := read[admin.WithdrawalsResult](ctx, c, admin.MethodWithdrawals, admin.Empty{})
	if kind == admin.KindZone {
		return list.Zones, err
	}

	return list.Servers, err
}

func (a *app) withdraw(ctx context.Context, c *client, p admin.WithdrawParams) error {
	if p.Seen < 0 {
		rows, err := a.decisions(ctx, c, p.Kind)
		if err != nil {
			return err
		}

		p.Seen = seen(rows, p.Name, a.op)
	}

	p.By, p.Op = a.by, a.op

	if p.DryRun {
		result, err := read[admin.WithdrawResult](ctx, c, admin.MethodWithdraw, p)
		if err != nil {
			return err
		}

		return a.print(result.Plan, func(w io.Writer) { printPlan(w, result.Plan) })
	}

	result, err := send(ctx, c, a.op, admin.MethodWithdraw, p,
		func(r admin.WithdrawResult) change.Result { return r.Result })
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) {
		printf(w, "accepted: %s\n", result.Result.Detail)
		printPlan(w, result.Plan)
	})
}

// seen returns the count of changes to replace: the last one, or the one before the operation's own
// if an earlier run already made it.
func seen(rows []admin.WithdrawalRow, name, op string) int64 {
	for _, r := range rows {
		if r.Name != name {
			continue
		}

		for _, p := range r.Past {
			if p.Op == op {
				return p.Change - 1
			}
		}

		return r.Change
	}

	return 0
}

func printPlan(w io.Writer, p admin.WithdrawPlan) {
	if len(p.Services) == 0 {
		printf(w, "nothing moves\n")

		return
	}

	for _, s := range p.Services {
		printf(w, "\n%s (%s): %d slots move, %d upstreams serve\n", s.Service, s.Mode, s.Slots, s.Left)
		printf(w, "NODE\tZONE\tSLOTS NOW\tSLOTS THEN\n")

		for _, n := range s.Nodes {
			printf(w, "%s\t%s\t%d\t%d\n", n.ID, n.Zone, n.Before, n.After)
		}
	}

	if len(p.Emptied) > 0 {
		printNames(w, "without any upstream", p.Emptied)
	}
}
