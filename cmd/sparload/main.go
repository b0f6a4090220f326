// Sparload starts a deployment as separate processes, sends it open-loop load and runs experiments on
// it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"sardinespar.example/spar/cmd/sparload/exper"
	"sardinespar.example/spar/cmd/sparload/launch"
	"sardinespar.example/spar/cmd/sparload/report"
)

const version = "0.1.0"

// The exit statuses other than 0: exitViolation means that an experiment violated a guarantee.
const (
	exitFailed    = 1
	exitViolation = 3
)

var errViolation = errors.New("guarantee violated")

func main() {
	app := kingpin.New("sparload", "Starts a deployment as separate processes, sends it load and measures it.")
	app.Version(version)
	app.HelpFlag.Short('h')

	file := app.Flag("deployment", "Deployment file.").Default("deploy/quilt.ini").ExistingFile()
	bin := app.Flag("bin", "Directory of the programs.").Default("bin").ExistingDir()
	dir := app.Flag("dir", "Directory for logs and run records.").Default(os.TempDir()).String()
	seed := app.Flag("seed", "Seed of the traffic.").Default("1").Uint64()
	jsonFile := app.Flag("json", "File for machine-readable results.").String()

	demo := app.Command("demo", "Withdraw and restore a zone under traffic. Exit status 3 if a guarantee is violated.")
	measure := app.Command("measure", "Run all scenarios and compare them with their baselines.")
	runs := measure.Flag("runs", "Runs of each scenario.").Default("1").Int()
	only := measure.Flag("only", "Run only the scenarios whose names contain this text.").String()
	slopes := app.Command("slopes", "Measure the control overhead of idle fleets of several sizes.")
	sizes := slopes.Flag("size", "Multiple of the deployment's size; may be repeated.").Default("1", "2", "4").Ints()

	costs := app.Command("cost", "Measure the processor time of requests at several rates.")
	rates := costs.Flag("rate", "Multiple of the deployment's read rate; may be repeated.").Default("1", "4", "8").Ints()

	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	d, err := launch.ReadDeployment(*file)
	kingpin.FatalIfError(err, "deployment")
	kingpin.FatalIfError(os.MkdirAll(*dir, 0o755), "directory")

	dirs := exper.Dirs{Bin: *bin, Output: *dir}

	var result any

	switch command {
	case demo.FullCommand():
		result, err = runDemo(ctx, d, dirs, *seed, os.Stdout)
	case measure.FullCommand():
		result, err = runMeasure(ctx, d, dirs, measureOptions{seed: *seed, runs: *runs, only: *only}, os.Stdout)
	case costs.FullCommand():
		result, err = runCost(ctx, d, dirs, *rates, os.Stdout)
	case slopes.FullCommand():
		result, err = runSlopes(ctx, d, dirs, *sizes, os.Stdout)
	}

	if *jsonFile != "" {
		err = errors.Join(err, writeJSON(*jsonFile, result))
	}

	exit(err)
}

// exit prints the error, if any, and exits with its status.
func exit(err error) {
	if err == nil {
		return
	}

	fmt.Fprintln(os.Stderr, "sparload:", err)

	if errors.Is(err, errViolation) {
		os.Exit(exitViolation)
	}

	os.Exit(exitFailed)
}

func writeJSON(file string, value any) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write results: %w", err)
	}

	return errors.Join(report.PrintJSON(f, value), f.Close())
}

// runDemo runs the withdrawal of a zone and prints the events and the measurements.
func runDemo(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, seed uint64, out io.Writer,
) (report.Summary, error) {
	fmt.Fprintf(out, "starting %s: %d services, zones %v\n", d.Name, len(d.Services), d.Zones)

	page := filepath.Join(dirs.Output, d.Name+"-timeline.html")
	scenario := exper.ZoneWithdrawal(d)
	scenario.AfterTraffic = func(ctx context.Context, e *exper.Experiment) error {
		return printTimeline(ctx, e, page, out)
	}

	summary, err := exper.Run(ctx, d, dirs, scenario, seed, out)
	if err != nil {
		return summary, err
	}

	fmt.Fprintf(out, "time line of events of all nodes: %s\n\n", page)

	if err := report.Print(out, summary); err != nil {
		return summary, err
	}

	if n := summary.Verdict.Violations(); n > 0 {
		return summary, fmt.Errorf("%w: %d cases", errViolation, n)
	}

	return summary, nil
}

// maxTimelineEvents bounds the events of each kind that the demo prints.
const maxTimelineEvents = 40

// printTimeline prints the newest changes of zones, the newest moves and the status of the fleet, and writes
// the complete time line of events to an HTML page.
func printTimeline(ctx context.Context, e *exper.Experiment, page string, out io.Writer) error {
	if _, err := e.Sparctl(ctx, "timeline", "--html", page); err != nil {
		return err
	}

	for _, kind := range []string{"zone", "moved"} {
		text, err := e.Sparctl(ctx, "timeline", "--kind", kind, "--newest", strconv.Itoa(maxTimelineEvents))
		if err != nil {
			return err
		}

		fmt.Fprintln(out, text)
	}

	status, err := e.Sparctl(ctx, "status")
	fmt.Fprintln(out, status)

	return err
}
