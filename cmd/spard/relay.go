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
	// ackTimeout is how long sent data may stay unacknowledged before its connection is closed.
	ackTimeout = 2 * time.Second
	// probeInterval is the interval between keep-alive probes on an idle connection.
	probeInterval     = time.Second
	probeCount        = 2
	maxIdleStoreConns = 4
)

// runRelay runs a relay until SIGTERM or an interrupt. On SIGHUP it reloads the settings and, if they are
// valid, applies those that can change without a restart.
func runRelay(files, overrides []string, cfg config.RelaySettings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	debug.SetGCPercent(cfg.GCPercent)

	if limit := cfg.RuntimeLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}

	clock := spar.BootClock()
	logWriter := tally.NewAsyncWriter(os.Stdout)
	flushed := make(chan struct{})
	logCtx, stopLog := context.WithCancel(context.Background())

	go func() {
		defer close(flushed)

		logWriter.Run(logCtx, clock)
	}()

	defer func() {
		stopLog()
		<-flushed
	}()

	logger := newLogger(logWriter, cfg.LogLevel, cfg.LogFormat)
	reload := reloader{files: files, overrides: overrides, log: logger}

	go reload.run(ctx)

	ln, err := openListeners(ctx, cfg, logger)
	if err != nil {
		return err
	}

	packets, err := listenPackets(ctx, cfg.PeerAddr, logger)
	if err != nil {
		return err
	}

	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		Control:         setAckTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}
	link := pace.New(clock, cfg.LinkMbps*pace.BytesPerMegabit)
	dial := link.Dialer(func(ctx context.Context, addr string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", addr)
	}, cfg.AppAddr)

	return relay.New(cfg, relay.Deps{
		Clock: clock, UnixMillis: func() int64 { return time.Now().UnixMilli() },
		Table: platform.NewStore(cfg.StoreAddr, conns.New(dial, clock, conns.Options{
			MaxIdle: maxIdleStoreConns, IdleTimeout: storeIdleTimeout,
		})),
		Adapter: platform.Adapter{}, Dial: dial, Log: logger, Tally: tally.New(),
		Incarnation: strings.ToLower(rand.Text()[:10]),
		Packets:     link.PacketConn(packets), Link: link,
	}).Run(ctx, ln)
}

// storeIdleTimeout is how long an idle connection to the store is kept.
const storeIdleTimeout spar.Millis = 30_000

// setAckTimeout makes the kernel close connections whose data is not acknowledged within ackTimeout. A
// network partition causes no other error.
func setAckTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error

	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}

	return optErr
}

// openListeners opens the listeners of a relay. Failure to open the listener for metrics is only logged,
// since a node can serve requests without it.
func openListeners(ctx context.Context, cfg config.RelaySettings, logger *log.Logger) (relay.Listeners, error) {
	var ln relay.Listeners

	lc := net.ListenConfig{
		Control:         setAckTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
	}

	for _, l := range []struct {
		addr string
		to   *net.Listener
	}{
		{cfg.OutboundAddr, &ln.Outbound},
		{cfg.InboundAddr, &ln.Inbound},
		{cfg.ReadyAddr, &ln.Ready},
		{cfg.ControlAddr, &ln.Control},
		{cfg.PeerAddr, &ln.Peer},
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

	if cfg.MetricsAddr != "" {
		opened, err := lc.Listen(ctx, "tcp", cfg.MetricsAddr)
		if err != nil {
			logger.Error("can't open listener for metrics; metrics are not served", "cause", err)

			return ln, nil
		}

		ln.Metrics = opened
	}

	return ln, nil
}

// listenPackets opens the UDP port for packets between nodes.
func listenPackets(ctx context.Context, addr string, logger *log.Logger) (net.PacketConn, error) {
	packets, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", addr)
	if err != nil {
		logger.Error("can't open UDP port for peers", "addr", addr, "cause", err)

		return nil, fmt.Errorf("listen for packets: %w", err)
	}

	return packets, nil
}

// reloader reloads the settings on SIGHUP.
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

// reload applies the settings for garbage collection and the log level if all settings are valid.
func (r reloader) reload() {
	cfg, faults := config.LoadKeys(config.RelayKeys(), r.files, r.overrides)
	for _, f := range faults {
		r.log.Error("invalid settings; keeping the current ones", "fault", f)
	}

	if len(faults) > 0 {
		return
	}

	debug.SetGCPercent(cfg.GCPercent)

	if level, err := log.ParseLevel(cfg.LogLevel); err == nil {
		r.log.SetLevel(level)
	}

	r.log.Info("settings reloaded")
}
