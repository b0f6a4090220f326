package shell

import (
	"context"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/change"
)

func (a *app) quarantineCommands(k *kingpin.Application) {
	q := k.Command("quarantine", "List and lift quarantines of requests that crash backend servers.")
	a.online(q.Command("list", "List the requests in quarantine."), a.listQuarantines)

	lift := q.Command("lift", "Lift the quarantine of a request.")
	fingerprint := lift.Arg("fingerprint", "Fingerprint from the list.").Required().String()
	a.online(lift, func(ctx context.Context, c *client) error { return a.liftQuarantine(ctx, c, *fingerprint) })
}

func (a *app) listQuarantines(ctx context.Context, c *client) error {
	list, err := read[admin.QuarantinesResult](ctx, c, admin.MethodQuarantines, admin.Empty{})
	if err != nil {
		return err
	}

	return a.print(list, func(w io.Writer) {
		printf(w, "FINGERPRINT\tREQUEST\tCRASHED\tUNTIL\tSTATE\n")

		for _, q := range list.Quarantines {
			state := "over"

			switch {
			case q.Lifted:
				state = "lifted by " + q.LiftedBy
			case q.Active:
				state = "in quarantine"
			}

			printf(w, "%s\t%s %s\t%d\t%s\t%s\n", q.Fingerprint, q.Method, q.Path, len(q.Victims), formatTime(q.UntilMs), state)
		}
	})
}

func (a *app) liftQuarantine(ctx context.Context, c *client, fingerprint string) error {
	list, err := read[admin.QuarantinesResult](ctx, c, admin.MethodQuarantines, admin.Empty{})
	if err != nil {
		return err
	}

	params := admin.QuarantineLiftParams{Fingerprint: fingerprint, By: a.by, Op: a.op}

	for _, q := range list.Quarantines {
		if q.Fingerprint == fingerprint {
			params.Revision = q.Revision
		}
	}

	result, err := send(ctx, c, a.op, admin.MethodQuarantineLift, params, func(r change.Result) change.Result { return r })
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) { printf(w, "accepted: %s\n", result.Detail) })
}
