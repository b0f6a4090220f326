// Backend is a stand-in for a backend server. It announces itself to the spard on the same VM and serves
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
	app := kingpin.New("backend", "Stand-in for a backend server. It announces itself to the spard on the same VM.")
	app.HelpFlag.Short('h')

	addr := app.Flag("listen", "Address to listen on, as IP:PORT.").Required().String()
	spard := app.Flag("spard", "Local address of the spard on the same VM, as IP:PORT.").Required().String()
	service := app.Flag("service", "Service that the server belongs to.").Required().String()
	mode := app.Flag("mode", "Which upstreams may serve a request.").Default("keyed").Enum("keyed", "any")
	serviceSlots := app.Flag("slots-of-service", "Number of slots to which the service's keys hash.").Default("256").Int()
	serverSlots := app.Flag("slots", "Maximum number of requests that run at once.").Default("10").Int()
	conns := app.Flag("conns", "Maximum number of connections.").Default("130").Int()
	workMs := app.Flag("work-ms", "Processing time of a request in milliseconds.").Default("2").Float64()
	checksGrants := app.Flag("checks-grants", "Refuse epochs lower than the highest seen for the slot.").Bool()
	chunkDelay := app.Flag("chunk-delay", "Delay before each chunk of a template.").Default("2ms").Duration()

	runs := app.Flag("runs", "File to which the start and the end of each run are appended as JSON lines.").String()

	kingpin.MustParse(app.Parse(os.Args[1:]))

	cfg := server.Config{
		Name: *addr, Slots: *serverSlots, WorkMs: *workMs, ChecksGrants: *checksGrants, ChunkDelay: *chunkDelay,
	}

	if *runs != "" {
		f, err := os.OpenFile(*runs, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		kingpin.FatalIfError(err, "open run log")

		cfg.RunLog = f
	}

	s := server.New(cfg)
	announcer := &announcer{
		url: "http://" + *spard + "/announce",
		body: agent.Announcement{
			Service: *service, Mode: spar.Mode(*mode), SlotsOfService: *serviceSlots, Addr: *addr, Slots: *serverSlots,
			Conns: *conns, ChecksGrants: *checksGrants, State: agent.StateUp,
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

	background, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()

	go a.loop(background)

	httpServer := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	shutdownErr := make(chan error, 1)

	context.AfterFunc(ctx, func() {
		a.leaving.Store(true)

		drain, cancel := context.WithTimeout(background, drainTimeout)
		defer cancel()

		a.awaitDrained(drain)
		shutdownErr <- httpServer.Shutdown(drain)
	})

	if err := httpServer.Serve(limitedListener{Listener: ln, open: make(chan struct{}, conns)}); ctx.Err() == nil {
		return fmt.Errorf("serve: %w", err)
	}

	return <-shutdownErr
}

// announcer announces this backend server to the local spard every second.
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

// announce sends one announcement. It reports whether the spard answered with status 410, by which it
// confirms that a leaving server will get no more requests.
func (a *announcer) announce(ctx context.Context) bool {
	body := a.body
	if a.leaving.Load() {
		body.State = agent.StateLeaving
	}

	data, err := json.Marshal(body)
	if err != nil {
		panic("backend: encode announcement: " + err.Error())
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

// awaitDrained announces that the server is leaving until the spard confirms that it sends no more requests.
func (a *announcer) awaitDrained(ctx context.Context) {
	for ctx.Err() == nil && !a.announce(ctx) {
		time.Sleep(announceInterval / 10)
	}
}

// limitedListener limits the number of open connections and delays each new one by connectDelay, the
// simulated cost of a connection.
type limitedListener struct {
	net.Listener

	// open holds one element for each open connection.
	open chan struct{}
}

func (l limitedListener) Accept() (net.Conn, error) {
	l.open <- struct{}{}

	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.open

		return nil, err
	}

	time.Sleep(connectDelay)

	return &countedConn{Conn: conn, open: l.open}, nil
}

// countedConn is a connection that removes its element from open when it is closed.
type countedConn struct {
	net.Conn

	open   chan struct{}
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		<-c.open
	}

	return c.Conn.Close()
}
