package shell

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/change"
)

func (a *app) withdrawalCommands(k *kingpin.Application) {
	for _, kind := range []string{admin.KindZone, admin.KindServer} {
		target, nameHelp := "zone", "Name of the availability zone."
		if kind == admin.KindServer {
			target, nameHelp = "backend server", "Name of the VM on which the backend server runs."
		}

		cmd := k.Command(kind, "Withdraw a "+target+" from service, or return it.")
		a.online(cmd.Command("list", "List the last withdrawal or return of each "+target+"."),
			func(ctx context.Context, c *client) error { return a.listWithdrawals(ctx, c, kind) })

		for _, withdrawn := range []bool{true, false} {
			name, help := "in", "Return a "+target+" to service; its share of slots returns step by step."
			if withdrawn {
				name, help = "out", "Withdraw a "+target+"; its slots move away and it gets no new work."
			}

			a.withdrawalCommand(cmd.Command(name, help), admin.WithdrawParams{Kind: kind, Withdrawn: withdrawn}, nameHelp)
		}
	}
}

func (a *app) withdrawalCommand(cmd *kingpin.CmdClause, p admin.WithdrawParams, nameHelp string) {
	cmd.Arg("name", nameHelp).Required().StringVar(&p.Name)
	cmd.Flag("seen", "Change number that the list shows; default: the current one.").
		Default("-1").Int64Var(&p.Seen)
	cmd.Flag("dry-run", "Show which slots would move, but change nothing.").BoolVar(&p.DryRun)

	if p.Withdrawn {
		cmd.Flag("anyway", "Apply the change even if it leaves a service without upstreams.").BoolVar(&p.SkipChecks)
	}

	a.online(cmd, func(ctx context.Context, c *client) error { return a.withdraw(ctx, c, p) })
}

func (a *app) listWithdrawals(ctx context.Context, c *client, kind string) error {
	rows, err := a.readWithdrawals(ctx, c, kind)
	if err != nil {
		return err
	}

	return a.print(rows, func(w io.Writer) {
		printf(w, "NAME\tOUT\tBY\tCHANGE\tAT\n")

		for _, r := range rows {
			printf(w, "%s\t%v\t%s\t%d\t%s\n", r.Name, r.Withdrawn, r.By, r.ChangeCount, formatTime(r.AtMs))
		}
	})
}

// readWithdrawals returns the withdrawals of zones or of backend servers.
func (a *app) readWithdrawals(ctx context.Context, c *client, kind string) ([]admin.WithdrawalRow, error) {
	list, err := read[admin.WithdrawalsResult](ctx, c, admin.MethodWithdrawals, admin.Empty{})
	if kind == admin.KindZone {
		return list.Zones, err
	}

	return list.Servers, err
}

func (a *app) withdraw(ctx context.Context, c *client, p admin.WithdrawParams) error {
	if p.Seen < 0 {
		rows, err := a.readWithdrawals(ctx, c, p.Kind)
		if err != nil {
			return err
		}

		p.Seen = seenChange(rows, p.Name, a.op)
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

// seenChange returns the number of the change to replace: the latest, or the one before the operation's
// own change if an earlier run of the operation already made that.
func seenChange(rows []admin.WithdrawalRow, name, op string) int64 {
	for _, r := range rows {
		if r.Name != name {
			continue
		}

		for _, c := range r.History {
			if c.Op == op {
				return c.Number - 1
			}
		}

		return r.ChangeCount
	}

	return 0
}

func printPlan(w io.Writer, p admin.WithdrawalPlan) {
	if len(p.Services) == 0 {
		printf(w, "no slots move\n")

		return
	}

	for _, s := range p.Services {
		printf(w, "\n%s (%s): %d slots move, %d upstreams serve\n", s.Service, s.Mode, s.MovedSlots, s.Remaining)
		printf(w, "NODE\tZONE\tSLOTS NOW\tSLOTS AFTER\n")

		for _, n := range s.Nodes {
			printf(w, "%s\t%s\t%d\t%d\n", n.ID, n.Zone, n.Before, n.After)
		}
	}

	if len(p.Emptied) > 0 {
		printNames(w, "services without an upstream", p.Emptied)
	}
}
