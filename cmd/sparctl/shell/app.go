// Package shell implements the commands of sparctl.
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

// app holds the global flags and the commands of one invocation of sparctl.
type app struct {
	stdout io.Writer
	stderr io.Writer
	dial   peers.Dialer

	nodes   []string
	asJSON  bool
	timeout time.Duration
	by      string
	op      string

	commands map[string]command
}

// command is the implementation of one command.
type command struct {
	needsNodes bool
	run        func(ctx context.Context, c *client) error
}

// online registers a command that calls nodes.
func (a *app) online(cmd *kingpin.CmdClause, run func(ctx context.Context, c *client) error) {
	a.commands[cmd.FullCommand()] = command{needsNodes: true, run: run}
}

// offline registers a command that calls no node.
func (a *app) offline(cmd *kingpin.CmdClause, run func() error) {
	a.commands[cmd.FullCommand()] = command{run: func(context.Context, *client) error { return run() }}
}

const appHelp = `Reads and changes a fleet of spard through any of its nodes.

Pass the address of the peer listener (setting listen.peer) of one or more nodes with --node, or in the
environment variable SPAR_NODES, separated by line breaks. Start with "sparctl --node IP:PORT status".

Every change carries an operation id, so that a lost reply is harmless: sparctl sends the change again,
if necessary to another node, until the result is known.

` + exitHelp

// Run runs the command that args name and returns the exit status of the process.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, dial peers.Dialer) int {
	a := &app{stdout: stdout, stderr: stderr, dial: dial, commands: map[string]command{}}
	k := kingpin.New("sparctl", appHelp)

	k.Version("sparctl " + version)
	k.HelpFlag.Short('h')
	k.UsageWriter(stdout)
	k.ErrorWriter(stderr)
	k.Terminate(func(status int) { panic(exitRequest(status)) })

	k.Flag("node", "Peer address of a node as IP:PORT; if given several times, the nodes are tried in turn.").
		Short('n').Envar("SPAR_NODES").StringsVar(&a.nodes)
	k.Flag("json", "Print JSON instead of text.").BoolVar(&a.asJSON)
	k.Flag("timeout", "How long to wait for a result, for example 15s.").Default("15s").DurationVar(&a.timeout)
	k.Flag("by", "Your name, which is recorded with every change.").Default(os.Getenv("USER")).StringVar(&a.by)
	k.Flag("op", "Operation id of an earlier run, to read its result or to continue it; default: a new id.").
		StringVar(&a.op)

	a.statusCommands(k)
	a.presetCommands(k)
	a.withdrawalCommands(k)
	a.timelineCommand(k)
	a.quarantineCommands(k)
	a.settingsCommands(k)
	a.relayCommands(k)

	name, status, err := parse(k, args)

	switch {
	case status >= 0:
		return status
	case err != nil:
		_, _ = fmt.Fprintf(stderr, "sparctl: %v; see sparctl --help\n", err)

		return ExitUsage
	case a.op == "":
		a.op = strings.ToLower(rand.Text())
	}

	if err := a.runCommand(ctx, a.commands[name]); err != nil {
		_, _ = fmt.Fprintln(stderr, "sparctl:", err)

		return statusOf(err)
	}

	return ExitOK
}

// exitRequest is the status with which kingpin would end the process, as after --help or --version. It is
// raised as a panic, so that parsing ends there and Run can return the status.
type exitRequest int

// parse returns the name of the command and a status of -1, or the exit status if the arguments only
// request output such as help or the version.
func parse(k *kingpin.Application, args []string) (name string, status int, err error) {
	status = -1

	defer func() {
		switch r := recover().(type) {
		case nil:
		case exitRequest:
			status = int(r)
		default:
			panic(r)
		}
	}()

	name, err = k.Parse(args)

	return name, status, err
}

func (a *app) runCommand(ctx context.Context, cmd command) error {
	if cmd.needsNodes && len(a.nodes) == 0 {
		return fail(ExitUsage, "no node given: use --node IP:PORT or set SPAR_NODES")
	}

	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()

	c := newClient(a.nodes, a.dial)
	defer c.pool.Close()

	return cmd.run(ctx, c)
}

// print writes value as JSON if --json is set, and otherwise the text that the function writes.
func (a *app) print(value any, text func(w io.Writer)) error {
	if !a.asJSON {
		w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
		text(w)

		if err := w.Flush(); err != nil {
			return fail(ExitFailed, "write output: %v", err)
		}

		return nil
	}

	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		panic("sparctl: encode output: " + err.Error())
	}

	if _, err := fmt.Fprintf(a.stdout, "%s\n", data); err != nil {
		return fail(ExitFailed, "write output: %v", err)
	}

	return nil
}

func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
