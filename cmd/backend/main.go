// Backend is a stand-in for a backend server: it announces itself to the spard beside it and runs
// requests.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/agent"
	"sardinespar.example/spar/cmd/backend/server"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
	connectDelay     = time.Millisecond
	headerTimeout    = 10 * time.Second
	drainTimeout     = 30 * time.Second
)

func main() {
	app := kingpin.New("backend", "Stand-in for a backend server. It announces itself to the spard beside it.")
	app.HelpFlag.Short('h')

	addr := app.Flag("listen", "Address as IP:PORT.").Required().String()
	spard := app.Flag("spard", "Local address of the spard beside it as IP:PORT.").Required().String()
	service := app.Flag("service", "Service that it belongs to.").Required().String()
	mode := app.Flag("mode", "Which upstreams may serve a request.").Default("keyed").Enum("keyed", "any")
	slots := app.Flag("slots-of-service", "Slots that the service's keys hash to.").Default("256").Int()
	own := app.Flag("slots", "Requests that it bears at once.").Default("10").Int()
	conns := app.Flag("conns", "Connections that it bears.").Default("130").Int()
	work := app.Flag("work-ms", "Work time of a request in milliseconds.").Default("2").Float64()
	grants := app.Flag("checks-grants", "Refuse epochs lower than the highest seen.").Bool()
	chunk := app.Flag("chunk-delay", "Pause between two chunks of a template.").Default("2ms").Duration()

	runs := app.Flag("runs", "File to which each run is appended as a JSON line.").String()

	kingpin.MustParse(app.Parse(os.Args[1:]))

	cfg := server.Config{Name: *addr, Slots: *own, WorkMs: *work, ChecksGrants: *grants, ChunkDelay: *chunk}

	if *runs != "" {
		f, err := os.OpenFile(*runs, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		kingpin.FatalIfError(err, "open run records")

		cfg.Records = f
	}

	s := server.New(cfg)
	announcer := &announcer{
		url: "http://" + *spard + "/announce",
		body: agent.Announcement{
			Service: *service, Mode: spar.Mode(*mode), SlotsOfService: *slots, Addr: *addr, Slots: *own,
			Conns: *conns, ChecksGrants: *grants, State: agent.StateUp,
		},
	}

	if err := run(*addr, *conns, s, announcer); err != nil {
		fmt.Fprintln(os.Stderr, "backend:", err)
		os.Exit(1)
	}
}

func run(addr string, conns int, s http.Handler, a *announcer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	var lc net.ListenConfig

	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}

	background, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()

	go a.loop(background)

	h := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	finished := make(chan error, 1)

	context.AfterFunc(ctx, func() {
		a.leaving.Store(true)

		drain, cancel := context.WithTimeout(background, drainTimeout)
		defer cancel()

		a.awaitDrained(drain)
		finished <- h.Shutdown(drain)
	})

	if err := h.Serve(limited{Listener: ln, free: make(chan struct{}, conns)}); ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}

	return <-finished
}

// announcer tells the local spard about this backend server each second.
type announcer struct {
	url     string
	body    agent.Announcement
	leaving atomic.Bool
}

func (a *announcer) loop(ctx context.Context) {
	for {
		a.announce(ctx)

		t := time.NewTimer(announceInterval)
		select {
		case <-ctx.Done():
			t.Stop()

			return
		case <-t.C:
		}
	}
}

// announce reports whether the spard says that it sends no more work: status 410 to a server that
// is leaving.
func (a *announcer) announce(ctx context.Context) bool {
	body := a.body
	if a.leaving.Load() {
		body.State = agent.StateLeaving
	}

	data, err := json.Marshal(body)
	if err != nil {
		panic("backend: announcement can't be encoded: " + err.Error())
	}

	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, http.MethodPut, a.url, bytes.NewReader(data))
	if err != nil {
		return false
	}

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}

	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusGone
}

// awaitDrained announces that the server leaves until the spard sends no more work.
func (a *announcer) awaitDrained(ctx context.Context) {
	for ctx.Err() == nil && !a.announce(ctx) {
		time.Sleep(announceInterval / 10)
	}
}

// limited bounds the connections, and delays each one by the connection cost.
type limited struct {
	net.Listener

	free chan struct{}
}

func (l limited) Accept() (net.Conn, error) {
	l.free <- struct{}{}

	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free

		return nil, err
	}

	time.Sleep(connectDelay)

	return &counted{Conn: conn, free: l.free}, nil
}

type counted struct {
	net.Conn

	free   chan struct{}
	closed atomic.Bool
}

func (c *counted) Close() error {
	if !c.closed.Swap(true) {
		<-c.free
	}

	return c.Conn.Close()
}
