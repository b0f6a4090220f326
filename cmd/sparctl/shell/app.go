// Package shell is the command line of sparctl.
package shell

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/peers"
)

const version = "0.1.0"

// app is one run of sparctl.
type app struct {
	out  io.Writer
	errs io.Writer
	dial peers.Dialer

	nodes   []string
	asJSON  bool
	timeout time.Duration
	by      string
	op      string

	commands map[string]command
}

// command is what a command line names.
type command struct {
	asksNodes bool
	do        func(ctx context.Context, c *client) error
}

// on sets what a command does with the nodes.
func (a *app) on(cmd *kingpin.CmdClause, do func(ctx context.Context, c *client) error) {
	a.commands[cmd.FullCommand()] = command{asksNodes: true, do: do}
}

// offline sets what a command does without asking a node.
func (a *app) offline(cmd *kingpin.CmdClause, do func() error) {
	a.commands[cmd.FullCommand()] = command{do: func(context.Context, *client) error { return do() }}
}

const about = `Reads and changes a fleet of spard through any of its nodes.

Give the address of the peer listener (setting listen.peer) of one or more nodes with --node, or in the
environment variable SPAR_NODES, divided by line breaks. Start with "sparctl --node IP:PORT status".

Changes carry an operation id, so that a lost reply does no harm: sparctl sends the change again, to
another node if need be, until it knows the result.

` + exitHelp

// Run runs one command and returns the exit status.
func Run(ctx context.Context, args []string, out, errs io.Writer, dial peers.Dialer) int {
	a := &app{out: out, errs: errs, dial: dial, commands: map[string]command{}}
	k := kingpin.New("sparctl", about)

	k.Version("sparctl " + version)
	k.HelpFlag.Short('h')
	k.UsageWriter(out)
	k.ErrorWriter(errs)
	k.Terminate(func(status int) { panic(ended(status)) })

	k.Flag("node", "Peer address of a node as IP:PORT; given several times, the nodes are tried in turn.").
		Short('n').Envar("SPAR_NODES").StringsVar(&a.nodes)
	k.Flag("json", "Print JSON instead of text.").BoolVar(&a.asJSON)
	k.Flag("timeout", "How long to wait for a result, as in 15s.").Default("15s").DurationVar(&a.timeout)
	k.Flag("by", "Your name, kept with every change.").Default(os.Getenv("USER")).StringVar(&a.by)
	k.Flag("op", "Operation id of an earlier run, to learn its result or to go on with it; without it, a new one.").
		StringVar(&a.op)

	a.statusCommands(k)
	a.presetCommands(k)
	a.withdrawCommands(k)
	a.timelineCommand(k)
	a.quarantineCommands(k)
	a.settingsCommands(k)

	name, status, err := parse(k, args)

	switch {
	case status >= 0:
		return status
	case err != nil:
		_, _ = fmt.Fprintf(errs, "sparctl: %v; see sparctl --help\n", err)

		return ExitUsage
	case a.op == "":
		a.op = strings.ToLower(rand.Text())
	}

	if err := a.do(ctx, a.commands[name]); err != nil {
		_, _ = fmt.Fprintln(errs, "sparctl:", err)

		return statusOf(err)
	}

	return ExitOK
}

// ended is the status with which kingpin ends the process after --help, --version and the like.
type ended int

// parse returns the command, or the status if the arguments only asked for help or the like.
func parse(k *kingpin.Application, args []string) (name string, status int, err error) {
	status = -1

	defer func() {
		switch r := recover().(type) {
		case nil:
		case ended:
			status = int(r)
		default:
			panic(r)
		}
	}()

	name, err = k.Parse(args)

	return name, status, err
}

func (a *app) do(ctx context.Context, cmd command) error {
	if cmd.asksNodes && len(a.nodes) == 0 {
		return fail(ExitUsage, "no node: give --node IP:PORT or set SPAR_NODES")
	}

	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()

	c := newClient(a.nodes, a.dial)
	defer c.pool.Close()

	return cmd.do(ctx, c)
}

// print prints a value as JSON, or by the function as text.
func (a *app) print(value any, text func(w io.Writer)) error {
	if !a.asJSON {
		w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
		text(w)

		if err := w.Flush(); err != nil {
			return fail(ExitFailed, "write output: %v", err)
		}

		return nil
	}

	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		panic("sparctl: output can't be encoded: " + err.Error())
	}

	if _, err := fmt.Fprintf(a.out, "%s\n", data); err != nil {
		return fail(ExitFailed, "write output: %v", err)
	}

	return nil
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
