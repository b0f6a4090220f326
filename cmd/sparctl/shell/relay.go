package shell

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/explain"
)

const relayExplainHelp = `Show where a relay would send a request now, and why.

Nothing is sent to a backend server or to another node, and nothing is counted. --node is the peer address of the
relay at which the request arrives. The answer shows what that relay knows; another one may know something else. API
keys are neither accepted nor shown: name the tenant with --tenant.`

func (a *app) relayCommands(k *kingpin.Application) {
	cmd := k.Command("relay", "Inspect the relays of a fleet.").Command("explain", relayExplainHelp)
	p := explain.Params{}

	cmd.Flag("host", "Host of the request.").Required().StringVar(&p.Host)
	cmd.Flag("path", "Path of the request, with the query.").Required().StringVar(&p.Path)
	cmd.Flag("method", "Method of the request.").Default(http.MethodGet).StringVar(&p.Method)
	cmd.Flag("key", "Key of the request, if its service has keys.").StringVar(&p.Key)
	cmd.Flag("id", "Id of the request; it selects the service if the rule has several.").
		Default("explain").StringVar(&p.ID)
	cmd.Flag("time-left", "Milliseconds that remain to the request; default: the timeout of its rule.").
		StringVar(&p.TimeLeft)
	cmd.Flag("tenant", "Name of the tenant that sends the request.").StringVar(&p.Tenant)
	a.online(cmd, func(ctx context.Context, c *client) error { return a.explainRequest(ctx, c, p) })
}

func (a *app) explainRequest(ctx context.Context, c *client, p explain.Params) error {
	x, err := read[explain.Result](ctx, c, explain.Method, p)
	if err != nil {
		return err
	}

	return a.print(x, func(w io.Writer) { printRequest(w, x) })
}

func printRequest(w io.Writer, x explain.Result) {
	printResult(w, x)
	printEntry(w, x)
	printTenant(w, x.Tenant)
	printOwner(w, x.Owner)
	printGate(w, x.Gate)
	printCandidates(w, x.Candidates)
}

// printResult prints the choice or the refusal, and the notes.
func printResult(w io.Writer, x explain.Result) {
	if r := x.Refusal; r != nil {
		printf(w, "refused: %d %s: %s", r.Status, r.Reason, x.Reason)

		if r.RetryAfter > 0 {
			printf(w, "; retry after %s", formatMillis(r.RetryAfter))
		}

		printf(w, "\n")
	} else {
		printf(w, "goes to: %s: %s\n", x.Choice, x.Reason)
	}

	for _, n := range x.Notes {
		printf(w, "note: %s\n", n)
	}
}

// printEntry prints the state of the entry and the rule that matches.
func printEntry(w io.Writer, x explain.Result) {
	printf(w, "entry: %s in zone %s%s\n", x.Node, x.Zone,
		formatFlags(flag{"closing", x.Closing}, flag{"refuses requests", x.Closed}))
	printf(w, "rules: version %d", x.Rules.Version)

	if x.Rules.Behind {
		printf(w, ", peers announce newer ones for %s%s\n", formatMillis(x.Rules.Lag),
			formatFlags(flag{"stale", x.Rules.Stale}))
	} else {
		printf(w, ", no peer announces newer ones\n")
	}

	r := x.Rule
	if r == nil {
		return
	}

	printf(w, "rule: %s (%s%s), kind %s, timeout %s, objective %s, attempts %d, priority %d%s\n", r.Name, r.Host, r.Prefix,
		r.Kind, formatMillis(r.Timeout), formatMillis(r.Objective), r.Attempts, r.Priority,
		formatFlags(flag{"public", r.Public}))
	printf(w, "service: %s, %s\n", r.Service, r.ServiceReason)

	if r.TimeLeft > 0 {
		printf(w, "time left: %s, to the objective %s\n", formatMillis(r.TimeLeft), formatMillis(r.ObjectiveLeft))
	}
}

func printTenant(w io.Writer, t *explain.Tenant) {
	switch {
	case t == nil:
	case !t.Limited:
		printf(w, "tenant: %s, no limit\n", t.Name)
	default:
		printf(w, "tenant: %s, limit %g/s and a burst of %g; %d credits in stock, %d requests wait, coordinator %s, "+
			"next request for credits in %s\n", t.Name, t.Rate, t.Burst, t.Credits, t.Waiting, orNone(t.Coordinator),
			formatMillis(t.NextRequest))
	}
}

func printOwner(w io.Writer, o *explain.Owner) {
	if o == nil {
		return
	}

	printf(w, "key: %d, map revision %d (era %d)\n", o.Key, o.MapRevision.Version(), o.MapRevision.Era())

	if o.Node == "" {
		printf(w, "owner: none\n")

		return
	}

	printf(w, "owner: %s, instance %s, epoch %d%s\n", o.Node, o.Instance, o.Epoch, formatFlags(
		flag{"known", o.Known}, flag{"alive", o.Alive}, flag{"not known", !o.Known}, flag{"not alive", !o.Alive},
		flag{"ejected", o.Ejected}, flag{"zone withdrawn", o.Withdrawn}))
}

func printGate(w io.Writer, g *explain.Gate) {
	if g == nil {
		return
	}

	printf(w, "gate of the entry: %d slots, %d running, %d waiting, expected wait %s%s", g.Load.Slots, g.Load.Running,
		g.Load.Waiting, formatMillis(g.Wait), formatFlags(flag{"cold", g.Cold}))

	if g.Refusal != "" {
		printf(w, ", would refuse: %s", g.Refusal)
	}

	printf(w, "\n")
}

func printCandidates(w io.Writer, list []explain.Candidate) {
	if len(list) == 0 {
		return
	}

	printf(w, "\nNODE\tZONE\tCHOSEN\tSTATE\tSLOTS\tRUNNING\tWAITING\tSERVICE\tUSUAL\tSLOWDOWN\tREPORT AGE\tFAILED\t"+
		"IN FLIGHT\n")

	for _, c := range list {
		state := "ready"
		if c.Obstacle != "" {
			state = c.Obstacle
		}

		state += formatFlags(flag{"cold", c.Cold}, flag{"this node", c.Local})
		slowdown, age := "-", "-"

		if c.Load.Slowdown > 0 {
			slowdown = formatPercent(float64(c.Load.Slowdown) / percent)
		}

		// A node that has reported has at least one slot.
		if c.Load.Slots > 0 {
			age = formatMillis(c.ReportAge)
		}

		printf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%d\n", c.Node, c.Zone, formatPercent(c.Probability), state,
			c.Load.Slots, c.Load.Running, c.Load.Waiting, formatMillis(c.Load.MeanServiceTime), formatMillis(c.ServiceTime),
			slowdown, age, formatPercent(c.FailureRate), c.InFlight)
	}
}

const percent = 100

// flag is a fact that is printed only if it is set.
type flag struct {
	text string
	set  bool
}

// formatFlags returns the texts of the flags that are set, each after a comma.
func formatFlags(flags ...flag) string {
	var b strings.Builder

	for _, f := range flags {
		if f.set {
			b.WriteString(", " + f.text)
		}
	}

	return b.String()
}

func formatMillis(d spar.Millis) string {
	return strconv.FormatFloat(float64(d), 'f', 0, 64) + " ms"
}

func formatPercent(share float64) string {
	return strconv.FormatFloat(share*percent, 'f', 1, 64) + " %"
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}

	return text
}
