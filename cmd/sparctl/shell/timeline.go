package shell

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/admin"
	"sardinespar.example/spar/cmd/sparctl/page"
)

// timelineFlags holds the flags of the timeline command.
type timelineFlags struct {
	params   admin.EventsParams
	slot     int
	node     string
	kind     string
	from, to string
	html     string
}

func (a *app) timelineCommand(k *kingpin.Application) {
	t := timelineFlags{}
	cmd := k.Command("timeline", "Print the events of all nodes in causal order.")
	cmd.Flag("service", "Only events of a service.").StringVar(&t.params.Filter.Service)
	cmd.Flag("key", "Only events of a key's slot; requires --service.").StringVar(&t.params.Key)
	cmd.Flag("slot", "Only events of a slot; requires --service.").Default("-1").IntVar(&t.slot)
	cmd.Flag("of", "Only events of a node or VM, or events that name it.").StringVar(&t.node)
	cmd.Flag("request", "Only events of a request id.").StringVar(&t.params.Filter.Request)
	cmd.Flag("kind", "Only events of a kind, for example moved.").StringVar(&t.kind)
	cmd.Flag("from", "Only events since a time, in RFC 3339 or as a duration ago, for example 5m.").StringVar(&t.from)
	cmd.Flag("to", "Only events up to a time, in the same formats as --from.").StringVar(&t.to)
	cmd.Flag("newest", "At most this many events, the newest ones; 0 for all.").Default("0").
		IntVar(&t.params.Filter.Newest)
	cmd.Flag("html", "Write one self-contained HTML page with a lane for each node to this file.").StringVar(&t.html)
	a.online(cmd, func(ctx context.Context, c *client) error { return a.printTimeline(ctx, c, t) })
}

// eventsParams returns the parameters of the call, with times relative to now resolved.
func (t timelineFlags) eventsParams(now time.Time) (admin.EventsParams, error) {
	p := t.params

	if (p.Key != "" || t.slot >= 0) && p.Filter.Service == "" {
		return p, fail(ExitUsage, "--key and --slot need --service")
	}

	if t.slot >= 0 {
		slot := spar.Slot(t.slot)
		p.Filter.Slot = &slot
	}

	p.Filter.Node, p.Filter.Kind = spar.NodeID(t.node), spar.EventKind(t.kind)

	var err error
	if p.Filter.FromMs, err = parseTime(t.from, now); err != nil {
		return p, err
	}

	p.Filter.ToMs, err = parseTime(t.to, now)

	return p, err
}

// parseTime parses a time in RFC 3339 or a duration before now and returns it in Unix milliseconds. An
// empty text gives 0.
func parseTime(text string, now time.Time) (int64, error) {
	if text == "" {
		return 0, nil
	}

	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d).UnixMilli(), nil
	}

	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, fail(ExitUsage, "time %q: accepted: RFC 3339 or a duration ago, for example 5m", text)
	}

	return at.UnixMilli(), nil
}

func (a *app) printTimeline(ctx context.Context, c *client, t timelineFlags) error {
	p, err := t.eventsParams(time.Now())
	if err != nil {
		return err
	}

	result, err := read[admin.EventsResult](ctx, c, admin.MethodEvents, p)
	if err != nil {
		return err
	}

	if t.html != "" {
		return a.writePage(ctx, c, t.html, result)
	}

	return a.print(result, func(w io.Writer) {
		for _, e := range result.Events {
			printf(w, "%s\n", formatEvent(e))
		}

		if len(result.Missing) > 0 {
			printNames(w, "nodes that did not answer", result.Missing)
		}

		if len(result.Truncated) > 0 {
			printNames(w, "nodes with more, older events (see --from and --to)", result.Truncated)
		}
	})
}

func (a *app) writePage(ctx context.Context, c *client, file string, result admin.EventsResult) error {
	st, err := read[admin.Status](ctx, c, admin.MethodStatus, admin.Empty{})
	if err != nil {
		return err
	}

	zones := map[spar.NodeID]spar.Zone{}
	for _, n := range st.Nodes {
		zones[n.Node.ID] = n.Node.Zone
	}

	f, err := os.Create(file) //nolint:gosec // the operator names the file
	if err != nil {
		return fail(ExitFailed, "%v", err)
	}

	err = page.Write(f, result.Events, result.Missing, zones)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}

	if err != nil {
		return fail(ExitFailed, "write %s: %v", file, err)
	}

	return nil
}

// formatEvent returns an event as one line of text.
func formatEvent(e spar.Event) string {
	at := time.UnixMilli(e.Timestamp.Wall).UTC().Format("2006-01-02T15:04:05.000Z")
	text := fmt.Sprintf("%s+%d %s %s", at, e.Timestamp.Counter, e.Node, e.Kind)

	var fields []string

	add := func(name, value string, set bool) {
		if set {
			fields = append(fields, name+"="+value)
		}
	}

	add("service", e.Service, e.Service != "")

	if e.Slot != nil {
		add("slot", fmt.Sprint(*e.Slot), true)
	}

	add("epoch", fmt.Sprint(e.Epoch), e.Epoch != 0)
	add("revision", fmt.Sprint(e.Revision), e.Revision != 0)
	add("peer", string(e.Peer), e.Peer != "")
	add("request", e.Request, e.Request != "")
	add("detail", fmt.Sprintf("%q", e.Detail), e.Detail != "")

	return strings.TrimSpace(text + " " + strings.Join(fields, " "))
}
