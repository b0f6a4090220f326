// Sparctl is the command-line tool with which operators inspect and change a fleet of spard processes.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sardinespar.example/spar/cmd/sparctl/shell"
)

const dialTimeout = time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := shell.Run(ctx, os.Args[1:], os.Stdout, os.Stderr, dial)

	stop()
	os.Exit(status)
}

func dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}

	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}

	return conn, nil
}
