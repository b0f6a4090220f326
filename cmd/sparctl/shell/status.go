package shell

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
)

// listed bounds the names in one line of the status, so that it fits one screen at any size.
const listed = 6

const pollPause = 250 * time.Millisecond

func (a *app) statusCommands(k *kingpin.Application) {
	a.on(k.Command("status", "Show what is in force, who owns how much, which nodes lag or are lost, what moves "+
		"and what is shed."), a.status)

	explain := k.Command("explain", "Show who owns a key, its epoch and lease, and its last moves.")
	params := admin.ExplainParams{}
	explain.Arg("key", "Key as callers send it.").Required().StringVar(&params.Key)
	explain.Flag("service", "Service; without it, every service that is divided by key.").StringVar(&params.Service)
	a.on(explain, func(ctx context.Context, c *client) error { return a.explain(ctx, c, params) })

	wait := k.Command("wait", "Wait until a generation is in force on every node, at most for --timeout. "+
		"Exits with 5 and names the nodes that lag.")
	generation := wait.Flag("generation", "Generation; without it, the one in force now.").Int64()
	a.on(wait, func(ctx context.Context, c *client) error { return a.wait(ctx, c, *generation) })
}

func (a *app) status(ctx context.Context, c *client) error {
	st, err := read[admin.Status](ctx, c, admin.MethodStatus, admin.Empty{})
	if err != nil {
		return err
	}

	return a.print(st, func(w io.Writer) {
		if st.InForce == nil {
			printf(w, "preset in force: none\n")
		} else {
			printf(w, "preset in force: %s, generation %d, by %s at %s\n",
				st.InForce.ID(), st.InForce.Generation, st.InForce.By, clock(st.InForce.AtMs))
		}

		printf(w, "seen by %s, table revision %d\n\n", st.AskedNode, st.Complete)
		printf(w, "SERVICE\tMODE\tZONE\tNODES\tSLOTS\tIN FLIGHT\tLIMIT\tQUEUED\tREFUSED LATELY\n")

		for _, g := range groups(st) {
			printf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n",
				g.service, g.mode, g.zone, g.nodes, g.slots, g.inFlight, g.limit, g.queued, orNone(g.refused))
		}

		printf(w, "\n")

		for _, s := range st.Services {
			if s.Unowned > 0 {
				printf(w, "%s: %d of %d slots have no owner\n", s.Service.Name, s.Unowned, s.Service.Slots)
			}
		}

		printNames(w, "lagging", names(st.Nodes, func(n admin.NodeStatus) bool { return n.Lagging }))
		printNames(w, "not reached", names(st.Nodes, func(n admin.NodeStatus) bool { return !n.Reached }))
		printNames(w, "lost", st.Lost)
		printNames(w, "moving", moves(st))

		out := make([]string, 0, len(st.Out))
		for _, o := range st.Out {
			out = append(out, o.Name+" by "+o.By)
		}

		printNames(w, "taken out", out)
	})
}

// group sums up the nodes of one service in one zone.
type group struct {
	service  string
	mode     spar.Mode
	zone     spar.Zone
	nodes    int
	slots    int
	inFlight int
	limit    int
	queued   int
	refused  []string
}

func groups(st admin.Status) []group {
	var list []group

	for _, n := range st.Nodes {
		i := slices.IndexFunc(list, func(g group) bool { return g.service == n.Node.Service && g.zone == n.Node.Zone })
		if i < 0 {
			i = len(list)
			list = append(list, group{service: n.Node.Service, zone: n.Node.Zone, mode: modeOf(st, n.Node.Service)})
		}

		g := &list[i]
		g.nodes++
		g.slots += n.Owned
		g.inFlight += n.Report.InFlight
		g.limit += n.Report.Limit
		g.queued += n.Report.Queued

		for _, c := range n.Report.Recent {
			g.refused = addCount(g.refused, c)
		}
	}

	slices.SortFunc(list, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
	})

	return list
}

// addCount adds a count to a list of "number label".
func addCount(list []string, c admin.Count) []string {
	for i, text := range list {
		var n int64

		number, label, _ := strings.Cut(text, " ")
		if _, err := fmt.Sscan(number, &n); err == nil && label == c.Label {
			list[i] = fmt.Sprintf("%d %s", n+c.Count, c.Label)

			return list
		}
	}

	return append(list, fmt.Sprintf("%d %s", c.Count, c.Label))
}

func modeOf(st admin.Status, service string) spar.Mode {
	for _, s := range st.Services {
		if s.Service.Name == service {
			return s.Service.Mode
		}
	}

	return ""
}

func names(nodes []admin.NodeStatus, which func(admin.NodeStatus) bool) []spar.NodeID {
	var list []spar.NodeID

	for _, n := range nodes {
		if which(n) {
			list = append(list, n.Node.ID)
		}
	}

	return list
}

func moves(st admin.Status) []string {
	var list []string

	for _, n := range st.Nodes {
		for _, m := range n.Report.Moving {
			list = append(list, fmt.Sprintf("%s slot %d %s -> %s", m.Service, m.Slot, m.From, m.To))
		}
	}

	return list
}

// printNames prints a line of names, the first few by name.
func printNames[T ~string](w io.Writer, what string, list []T) {
	if len(list) == 0 {
		printf(w, "%s: none\n", what)

		return
	}

	shown := make([]string, 0, listed)
	for _, n := range list[:min(listed, len(list))] {
		shown = append(shown, string(n))
	}

	more := ""
	if len(list) > listed {
		more = fmt.Sprintf(" and %d more (see --json)", len(list)-listed)
	}

	printf(w, "%s: %d: %s%s\n", what, len(list), strings.Join(shown, ", "), more)
}

func orNone(list []string) string {
	if len(list) == 0 {
		return "-"
	}

	return strings.Join(list, ", ")
}

func clock(ms int64) string {
	return time.UnixMilli(ms).Format(time.RFC3339)
}

func (a *app) explain(ctx context.Context, c *client, p admin.ExplainParams) error {
	result, err := read[admin.ExplainResult](ctx, c, admin.MethodExplain, p)
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) {
		for _, e := range result.Explanations {
			printExplanation(w, e)
		}

		printNames(w, "nodes without an answer", result.Missing)
	})
}

func printExplanation(w io.Writer, e admin.Explanation) {
	entry := "by its slot"
	if e.OwnEntry {
		entry = "by an entry of its own (hot key)"
	}

	printf(w, "%s, key %q: slot %d, assigned %s, table revision %d\n", e.Service.Name, e.Key, e.Slot, entry, e.Revision)

	switch {
	case !e.Assignment.Owned():
		printf(w, "  owner: none\n")
	case e.Owner == nil:
		printf(w, "  owner: %s, which is not known here\n", e.Assignment.Owner)
	default:
		printf(w, "  owner: %s in zone %s, state %s, taken out: %v\n", e.Owner.ID, e.Owner.Zone, e.Owner.State, e.Withdrawn)
	}

	printf(w, "  epoch %d, base %d\n", e.Assignment.Epoch, e.Assignment.Base)

	if e.Reached {
		printf(w, "  lease: %.0f ms left, generation in force there: %d\n",
			float64(e.Report.LeaseRemaining), e.Report.Generation)
	} else {
		printf(w, "  lease: owner did not answer\n")
	}

	for _, event := range e.Last {
		printf(w, "  %s\n", line(event))
	}
}

func (a *app) wait(ctx context.Context, c *client, generation int64) error {
	var (
		lagging []string
		asked   bool
		failed  error
	)

	for {
		st, err := read[admin.ForceStatus](ctx, c, admin.MethodForceStatus, admin.Empty{})

		switch {
		case err != nil:
			failed = err
		case generation == 0 && st.InForce == nil:
			return fail(ExitFailed, "no preset is in force")
		default:
			asked = true

			if generation == 0 {
				generation = st.InForce.Generation
			}

			if lagging = behind(st, generation); len(lagging) == 0 && len(st.Nodes) > 0 {
				return a.print(st, func(w io.Writer) {
					printf(w, "generation %d is in force on all %d nodes\n", generation, len(st.Nodes))
				})
			}
		}

		if !pause(ctx, pollPause) {
			if !asked {
				return failed
			}

			return fail(ExitLagging, "generation %d is not in force on %d nodes: %s",
				generation, len(lagging), strings.Join(lagging, ", "))
		}
	}
}

// behind names the nodes that have not reached a generation, and why.
func behind(st admin.ForceStatus, generation int64) []string {
	var list []string

	for _, n := range st.Nodes {
		switch {
		case !n.Reached:
			list = append(list, string(n.ID)+" (not reached)")
		case n.Generation < generation:
			list = append(list, fmt.Sprintf("%s (generation %d)", n.ID, n.Generation))
		}
	}

	return list
}
