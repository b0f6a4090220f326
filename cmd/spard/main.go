// Spard is the daemon that runs on the VM of each backend server and routes requests to it and to other nodes.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/charmbracelet/log"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/agent"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/table"
)

const version = "0.1.0"

// The exit statuses, which description documents.
const (
	exitFailed   = 1
	exitSettings = 2
)

const description = `Runs beside one backend server and routes callers' requests to the backend servers that own
their keys. Needs settings that name the VM, its zone and region, three listeners, and the table
service:

  spard --print-sample > spard.ini     write a file with every setting, then fill in the empty ones
  spard --settings spard.ini --check-settings
  spard --settings spard.ini

The backend server then announces itself to the listener listen.local. SIGTERM or an interrupt makes
spard hand over its slots, finish the requests in flight, and exit. Use sparctl for everything else.

Exit statuses:
  0  stopped after SIGTERM or an interrupt, or the settings are valid
  1  failed: a listener can't be opened, or requests in flight did not end in time
  2  invalid arguments or settings; standard error lists every fault`

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = time.Minute
)

func main() {
	app := kingpin.New("spard", description)
	app.Version(version)
	app.HelpFlag.Short('h')

	serveCommand := app.Command("serve", "Run beside a backend server that announces itself; the default.").Default()
	relayCommand := app.Command("relay",
		"Run beside a backend server that receives its keys in the responses to its heartbeats, "+
			"on the platform; see docs/platform.md.")
	files := app.Flag("settings", "INI file with settings; given several times, a value in a later file "+
		"replaces the one in an earlier file.").Short('s').Strings()
	overrides := app.Flag("set", "Setting as section.key=value; replaces the one in the files.").Strings()
	check := app.Flag("check-settings", "Check the settings, name every fault, and exit.").Bool()
	reference := app.Flag("print-settings", "Print the reference of all settings as Markdown, and exit.").Bool()
	sample := app.Flag("print-sample", "Print an INI file with every setting, and exit.").Bool()

	command, err := app.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "spard: %v; see spard --help\n", err)
		os.Exit(exitSettings)
	}

	opts := options{files: *files, overrides: *overrides, check: *check, reference: *reference, sample: *sample}

	switch command {
	case serveCommand.FullCommand():
		start(opts, config.Keys(), run)
	case relayCommand.FullCommand():
		start(opts, config.RelayKeys(), func(cfg config.RelaySettings) error { return runRelay(*files, *overrides, cfg) })
	}
}

// options holds the flags of the command line.
type options struct {
	files, overrides         []string
	check, reference, sample bool
}

// start prints the reference or the sample of the settings if requested. Otherwise it loads the settings,
// and calls run unless they are invalid or only to be checked. Errors end the process.
func start[S any](opts options, keys []config.Key[S], run func(S) error) {
	switch {
	case opts.reference:
		fmt.Print(config.Reference(keys))

		return
	case opts.sample:
		fmt.Print(config.Sample(keys))

		return
	}

	cfg, faults := config.LoadKeys(keys, opts.files, opts.overrides)
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintln(os.Stderr, f)
		}

		os.Exit(exitSettings)
	}

	if opts.check {
		fmt.Println("settings are valid")

		return
	}

	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, "spard:", err)
		os.Exit(exitFailed)
	}
}

// run runs an agent until SIGTERM or an interrupt.
func run(cfg config.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	var ln agent.Listeners

	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{{cfg.HTTPAddr, &ln.HTTP}, {cfg.PeerAddr, &ln.Peer}, {cfg.LocalAddr, &ln.Local}} {
		var lc net.ListenConfig

		opened, err := lc.Listen(ctx, "tcp", l.addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}

		*l.to = opened
	}

	clock := spar.BootClock()
	store := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

	return agent.New(cfg, agent.Deps{
		Clock:      clock,
		UnixMillis: func() int64 { return time.Now().UnixMilli() },
		Table:      table.NewClient(cfg.StoreURL, store, clock, cfg.StoreTimeout),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}

			return d.DialContext(ctx, "tcp", addr)
		},
		HTTP: &http.Transport{
			MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: idleConnTimeout,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		Log:           newLogger(os.Stderr, cfg.LogLevel, cfg.LogFormat),
		NewInstanceID: func() string { return strings.ToLower(rand.Text()[:10]) },
	}).Run(ctx, ln)
}

// newLogger returns a logger for a level and a format that config has validated.
func newLogger(w io.Writer, level, format string) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano})

	parsed, err := log.ParseLevel(level)
	if err != nil {
		panic("spard: validated log level can't be parsed: " + err.Error())
	}

	l.SetLevel(parsed)

	if format == "json" {
		l.SetFormatter(log.JSONFormatter)
	}

	return l
}
