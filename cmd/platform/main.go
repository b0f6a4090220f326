// Platform is an in-memory stand-in for the platform's table service and object store.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/cmd/platform/store"
)

const headerTimeout = 10 * time.Second

func main() {
	app := kingpin.New("platform", "Stand-in for the platform's table service and object store. Keeps all data in memory.")
	app.HelpFlag.Short('h')

	addr := app.Flag("listen", "Address to listen on, as IP:PORT.").Default("127.0.0.1:7000").String()
	delay := app.Flag("delay-ms", "Delay of every call in milliseconds.").Default("0").Int()
	writes := app.Flag("write-rate", "Maximum writes per second; 0 for no limit.").Default("300").Float64()
	reads := app.Flag("read-rate", "Maximum reads per second; 0 for no limit.").Default("2000").Float64()

	kingpin.MustParse(app.Parse(os.Args[1:]))

	s := store.New()
	s.SetFault(store.Fault{DelayMs: *delay, WriteRate: *writes, ReadRate: *reads})

	server := &http.Server{Addr: *addr, Handler: s, ReadHeaderTimeout: headerTimeout}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	context.AfterFunc(ctx, func() { _ = server.Close() })

	if err := server.ListenAndServe(); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1) //nolint:gocritic // the process ends, so the signal handler needs no release
	}
}
