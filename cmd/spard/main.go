// Spard is the daemon beside each backend server.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
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

// The exit statuses.
const (
	exitFailed   = 1
	exitSettings = 2
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = time.Minute
)

func main() {
	app := kingpin.New("spard", "Routes callers' requests to the backend servers that own their keys.")
	app.Version(version)
	app.HelpFlag.Short('h')

	files := app.Flag("settings", "INI file with settings; later files go first.").Short('s').Strings()
	overrides := app.Flag("set", "Setting as section.key=value; goes before the files.").Strings()
	check := app.Flag("check-settings", "Check the settings, name every fault, and exit.").Bool()

	kingpin.MustParse(app.Parse(os.Args[1:]))

	cfg, faults := config.Load(*files, *overrides)
	if len(faults) > 0 {
		for _, f := range faults {
			fmt.Fprintln(os.Stderr, f)
		}

		os.Exit(exitSettings)
	}

	if *check {
		fmt.Println("settings are valid")

		return
	}

	if err := run(cfg); err != nil {
		fmt.Fprintln(os.Stderr, "spard:", err)
		os.Exit(exitFailed)
	}
}

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
		Clock: clock,
		Wall:  func() int64 { return time.Now().UnixMilli() },
		Table: table.NewClient(cfg.StoreURL, store, clock, cfg.StoreTimeout),
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}

			return d.DialContext(ctx, "tcp", addr)
		},
		HTTP: &http.Transport{
			MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: idleConnTimeout,
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		},
		Log:         logger(cfg),
		Incarnation: func() string { return strings.ToLower(rand.Text()[:10]) },
	}).Run(ctx, ln)
}

func logger(cfg config.Settings) *log.Logger {
	l := log.NewWithOptions(os.Stderr, log.Options{ReportTimestamp: true, TimeFormat: time.RFC3339Nano})

	level, err := log.ParseLevel(cfg.LogLevel)
	if err != nil {
		panic("spard: checked log level can't be read: " + err.Error())
	}

	l.SetLevel(level)

	if cfg.LogFormat == "json" {
		l.SetFormatter(log.JSONFormatter)
	}

	return l
}
