package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/config"
	"sardinespar.example/spar/conns"
	"sardinespar.example/spar/pace"
	"sardinespar.example/spar/platform"
	"sardinespar.example/spar/relay"
	"sardinespar.example/spar/tally"
)

const (
	// silentAfter is how long a connection may stay without an acknowledgement before it is closed.
	silentAfter = 2 * time.Second
	// probeEvery is the pause between two keep-alive probes on an idle connection.
	probeEvery = time.Second
	probeCount = 2
	storeIdle  = 4
)

// runRelay runs a relay until SIGTERM. SIGHUP reads the settings again and reports faults; what can
// change without a restart does.
func runRelay(files, overrides []string, cfg config.Relay) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	debug.SetGCPercent(cfg.GCPercent)

	clock := spar.BootClock()
	lines := tally.NewLines(os.Stdout)
	written := make(chan struct{})
	logged, cancel := context.WithCancel(context.Background())

	go func() {
		defer close(written)

		lines.Run(logged, clock)
	}()

	defer func() {
		cancel()
		<-written
	}()

	l := newLogger(lines, cfg.LogLevel, cfg.LogFormat)
	r := reloader{files: files, overrides: overrides, log: l}

	go r.run(ctx)

	ln, err := openRelay(ctx, cfg, l)
	if err != nil {
		return err
	}

	packets, err := openPackets(ctx, cfg.Peer, l)
	if err != nil {
		return err
	}

	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		Control:         boundSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
	}
	link := pace.New(clock, cfg.LinkMbps*pace.BytesPerMegabit)
	dial := link.Dialer(func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}, cfg.App)

	return relay.New(cfg, relay.Deps{
		Clock: clock, Wall: func() int64 { return time.Now().UnixMilli() },
		Table:   platform.NewStore(cfg.Store, conns.New(dial, clock, conns.Options{MaxIdle: storeIdle, IdleFor: idleStore})),
		Adapter: platform.Adapter{}, Dial: dial, Log: l, Tally: tally.New(), Incarnation: strings.ToLower(rand.Text()[:10]),
		Packets: link.Packets(packets), Link: link,
	}).Run(ctx, ln)
}

// idleStore is how long a connection to the store is kept.
const idleStore spar.Millis = 30_000

// boundSilence ends connections whose data is not acknowledged, since a partition is silent.
func boundSilence(_, _ string, c syscall.RawConn) error {
	var failed error

	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}

	return failed
}

// openRelay opens the listeners. A node serves also without its metrics.
func openRelay(ctx context.Context, cfg config.Relay, l *log.Logger) (relay.Listeners, error) {
	var ln relay.Listeners

	lc := net.ListenConfig{
		Control:         boundSilence,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeEvery, Interval: probeEvery, Count: probeCount},
	}

	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{cfg.Outbound, &ln.Outbound},
		{cfg.Inbound, &ln.Inbound},
		{cfg.Ready, &ln.Ready},
		{cfg.Control, &ln.Control},
		{cfg.Peer, &ln.Peer},
	} {
		if l.addr == "" {
			continue
		}

		opened, err := lc.Listen(ctx, "tcp", l.addr)
		if err != nil {
			return relay.Listeners{}, fmt.Errorf("listen: %w", err)
		}

		*l.to = opened
	}

	if cfg.Metrics != "" {
		opened, err := lc.Listen(ctx, "tcp", cfg.Metrics)
		if err != nil {
			l.Error("metrics are not served", "cause", err)

			return ln, nil
		}

		ln.Metrics = opened
	}

	return ln, nil
}

// openPackets opens the port for packets between nodes.
func openPackets(ctx context.Context, addr string, l *log.Logger) (net.PacketConn, error) {
	packets, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", addr)
	if err != nil {
		l.Error("port for packets can't be opened", "addr", addr, "cause", err)

		return nil, fmt.Errorf("listen for packets: %w", err)
	}

	return packets, nil
}

// reloader reads the settings again on SIGHUP.
type reloader struct {
	files     []string
	overrides []string
	log       *log.Logger
}

func (r reloader) run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)

	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.reload()
		}
	}
}

func (r reloader) reload() {
	cfg, faults := config.LoadKeys(config.RelayKeys(), r.files, r.overrides)
	for _, f := range faults {
		r.log.Error("settings not taken", "fault", f)
	}

	if len(faults) > 0 {
		return
	}

	debug.SetGCPercent(cfg.GCPercent)

	if level, err := log.ParseLevel(cfg.LogLevel); err == nil {
		r.log.SetLevel(level)
	}

	r.log.Info("settings read again")
}
