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

// maxListed is the maximum number of names in one line of the status and of generations in the list of
// presets, so that the output fits on one screen for a fleet of any size.
const maxListed = 6

const pollInterval = 250 * time.Millisecond

func (a *app) statusCommands(k *kingpin.Application) {
	a.online(k.Command("status", "Show the preset in force, the slots and load of each service, nodes that lag or are "+
		"lost, moves in progress, and requests that were refused."), a.showStatus)

	explain := k.Command("explain", "Show the owner of a key, its epoch and lease, and its last moves.")
	params := admin.ExplainParams{}
	explain.Arg("key", "Key as callers send it.").Required().StringVar(&params.Key)
	explain.Flag("service", "Service; default: every keyed service.").StringVar(&params.Service)
	a.online(explain, func(ctx context.Context, c *client) error { return a.explainKey(ctx, c, params) })

	wait := k.Command("wait", "Wait until a generation is in force on every node. After --timeout, exit with "+
		"status 5 and name the nodes that lag.")
	generation := wait.Flag("generation", "Generation; default: the one in force now.").Int64()
	a.online(wait, func(ctx context.Context, c *client) error { return a.waitForGeneration(ctx, c, *generation) })
}

func (a *app) showStatus(ctx context.Context, c *client) error {
	st, err := read[admin.Status](ctx, c, admin.MethodStatus, admin.Empty{})
	if err != nil {
		return err
	}

	return a.print(st, func(w io.Writer) {
		if st.InForce == nil {
			printf(w, "preset in force: none\n")
		} else {
			printf(w, "preset in force: %s, generation %d, by %s at %s\n",
				st.InForce.ID(), st.InForce.Generation, st.InForce.By, formatTime(st.InForce.AtMs))
		}

		printf(w, "reported by %s, table revision %d\n\n", st.ReportedBy, st.Complete)
		printf(w, "SERVICE\tMODE\tZONE\tNODES\tSLOTS\tIN FLIGHT\tLIMIT\tQUEUED\tRECENTLY REFUSED\n")

		for _, g := range groupNodes(st) {
			printf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n",
				g.service, g.mode, g.zone, g.nodes, g.slots, g.inFlight, g.limit, g.queued, joinOrDash(g.refused))
		}

		printf(w, "\n")

		for _, s := range st.Services {
			if s.Unowned > 0 {
				printf(w, "%s: %d of %d slots have no owner\n", s.Service.Name, s.Unowned, s.Service.Slots)
			}
		}

		printNames(w, "lagging", nodeIDs(st.Nodes, func(n admin.NodeStatus) bool { return n.Lagging }))
		printNames(w, "not reached", nodeIDs(st.Nodes, func(n admin.NodeStatus) bool { return !n.Reached }))
		printNames(w, "lost", st.Lost)
		printNames(w, "moving", moveTexts(st))

		withdrawn := make([]string, 0, len(st.Withdrawals))
		for _, withdrawal := range st.Withdrawals {
			withdrawn = append(withdrawn, withdrawal.Name+" by "+withdrawal.By)
		}

		printNames(w, "withdrawn", withdrawn)
	})
}

// group holds the totals of the nodes of one service in one zone.
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

// groupNodes returns the totals of each service in each zone, sorted by service and zone.
func groupNodes(st admin.Status) []group {
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

		for _, c := range n.Report.RecentRefusals {
			g.refused = addCount(g.refused, c)
		}
	}

	slices.SortFunc(list, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.zone, b.zone))
	})

	return list
}

// addCount adds a count to a list of texts of the form "NUMBER LABEL".
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

func nodeIDs(nodes []admin.NodeStatus, selected func(admin.NodeStatus) bool) []spar.NodeID {
	var list []spar.NodeID

	for _, n := range nodes {
		if selected(n) {
			list = append(list, n.Node.ID)
		}
	}

	return list
}

func moveTexts(st admin.Status) []string {
	var list []string

	for _, n := range st.Nodes {
		for _, m := range n.Report.Moving {
			list = append(list, fmt.Sprintf("%s slot %d %s -> %s", m.Service, m.Slot, m.From, m.To))
		}
	}

	return list
}

// printNames prints a line with the number of names and the first maxListed of them.
func printNames[T ~string](w io.Writer, label string, list []T) {
	if len(list) == 0 {
		printf(w, "%s: none\n", label)

		return
	}

	shown := make([]string, 0, maxListed)
	for _, n := range list[:min(maxListed, len(list))] {
		shown = append(shown, string(n))
	}

	more := ""
	if len(list) > maxListed {
		more = fmt.Sprintf(" and %d more (see --json)", len(list)-maxListed)
	}

	printf(w, "%s: %d: %s%s\n", label, len(list), strings.Join(shown, ", "), more)
}

func joinOrDash(list []string) string {
	if len(list) == 0 {
		return "-"
	}

	return strings.Join(list, ", ")
}

func formatTime(ms int64) string {
	return time.UnixMilli(ms).Format(time.RFC3339)
}

func (a *app) explainKey(ctx context.Context, c *client, p admin.ExplainParams) error {
	result, err := read[admin.ExplainResult](ctx, c, admin.MethodExplain, p)
	if err != nil {
		return err
	}

	return a.print(result, func(w io.Writer) {
		for _, e := range result.Explanations {
			printExplanation(w, e)
		}

		printNames(w, "nodes that did not answer", result.Missing)
	})
}

func printExplanation(w io.Writer, e admin.Explanation) {
	entry := "with its slot"
	if e.OwnEntry {
		entry = "by its own entry (hot key)"
	}

	printf(w, "%s, key %q: slot %d, assigned %s, table revision %d\n", e.Service.Name, e.Key, e.Slot, entry, e.Revision)

	switch {
	case !e.Assignment.Owned():
		printf(w, "  owner: none\n")
	case e.Owner == nil:
		printf(w, "  owner: %s, unknown to the node that answered\n", e.Assignment.Owner)
	default:
		printf(w, "  owner: %s in zone %s, state %s, withdrawn: %v\n", e.Owner.ID, e.Owner.Zone, e.Owner.State, e.Withdrawn)
	}

	printf(w, "  epoch %d, base epoch %d\n", e.Assignment.Epoch, e.Assignment.Base)

	if e.Reached {
		printf(w, "  lease: %.0f ms left, generation in force there: %d\n",
			float64(e.Report.LeaseRemaining), e.Report.Generation)
	} else {
		printf(w, "  lease: owner did not answer\n")
	}

	for _, event := range e.LastEvents {
		printf(w, "  %s\n", formatEvent(event))
	}
}

// waitForGeneration waits until a generation is in force on all nodes, or the one in force now if
// generation is 0.
func (a *app) waitForGeneration(ctx context.Context, c *client, generation int64) error {
	var (
		lagging  []string
		answered bool
		lastErr  error
	)

	for {
		st, err := read[admin.ActivationStatus](ctx, c, admin.MethodActivationStatus, admin.Empty{})

		switch {
		case err != nil:
			lastErr = err
		case generation == 0 && st.InForce == nil:
			return fail(ExitFailed, "no preset is in force")
		default:
			answered = true

			if generation == 0 {
				generation = st.InForce.Generation
			}

			if lagging = laggingNodes(st, generation); len(lagging) == 0 && len(st.Nodes) > 0 {
				return a.print(st, func(w io.Writer) {
					printf(w, "generation %d is in force on all %d nodes\n", generation, len(st.Nodes))
				})
			}
		}

		if !sleep(ctx, pollInterval) {
			if !answered {
				return lastErr
			}

			return fail(ExitLagging, "generation %d is not in force on %d nodes: %s",
				generation, len(lagging), strings.Join(lagging, ", "))
		}
	}
}

// laggingNodes returns the nodes on which a generation is not known to be in force, with the reason.
func laggingNodes(st admin.ActivationStatus, generation int64) []string {
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
