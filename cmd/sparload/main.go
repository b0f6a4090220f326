// Sparload sends open-loop load to a deployment and runs experiments on it.
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

// The exit statuses.
const (
	exitFailed = 1
	exitBroken = 3
)

var errBroken = errors.New("a promise was broken")

func main() {
	app := kingpin.New("sparload", "Starts a deployment as separate processes, sends it load, and measures.")
	app.Version(version)
	app.HelpFlag.Short('h')

	file := app.Flag("deployment", "Deployment file.").Default("deploy/quilt.ini").ExistingFile()
	bin := app.Flag("bin", "Directory of the programs.").Default("bin").ExistingDir()
	dir := app.Flag("dir", "Directory for logs and run records.").Default(os.TempDir()).String()
	seed := app.Flag("seed", "Seed of the traffic.").Default("1").Uint64()
	jsonFile := app.Flag("json", "File for machine-readable results.").String()

	demo := app.Command("demo", "Take a zone out and back under traffic. Exit status 3 if a promise was broken.")
	measure := app.Command("measure", "Run all scenarios against their baselines.")
	runs := measure.Flag("runs", "Runs of each scenario.").Default("1").Int()
	only := measure.Flag("only", "Run only scenarios whose name contains this.").String()
	slopes := app.Command("slopes", "Measure the control cost of idle fleets of several sizes.")
	sizes := slopes.Flag("size", "Multiple of the deployment's size; may be repeated.").Default("1", "2", "4").Ints()

	costs := app.Command("cost", "Measure the processor time of requests at several rates.")
	rates := costs.Flag("rate", "Multiple of the deployment's reads; may be repeated.").Default("1", "4", "8").Ints()

	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	d, err := launch.ReadDeployment(*file)
	kingpin.FatalIfError(err, "deployment")
	kingpin.FatalIfError(os.MkdirAll(*dir, 0o755), "directory")

	dirs := exper.Dirs{Bin: *bin, Dir: *dir}

	var result any

	switch command {
	case demo.FullCommand():
		result, err = runDemo(ctx, d, dirs, *seed, os.Stdout)
	case measure.FullCommand():
		result, err = runMeasure(ctx, d, dirs, experiment{seed: *seed, runs: *runs, only: *only}, os.Stdout)
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

func exit(err error) {
	if err == nil {
		return
	}

	fmt.Fprintln(os.Stderr, "sparload:", err)

	if errors.Is(err, errBroken) {
		os.Exit(exitBroken)
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

func runDemo(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, seed uint64, out io.Writer,
) (report.Summary, error) {
	fmt.Fprintf(out, "starting %s: %d services, zones %v\n", d.Name, len(d.Services), d.Zones)

	page := filepath.Join(dirs.Dir, d.Name+"-timeline.html")
	scenario := exper.ZoneMove(d)
	scenario.After = func(ctx context.Context, s *exper.Scene) error { return printTimeline(ctx, s, page, out) }

	s, err := exper.Run(ctx, d, dirs, scenario, seed, out)
	if err != nil {
		return s, err
	}

	fmt.Fprintf(out, "time line of all nodes: %s\n\n", page)

	if err := report.Print(out, s); err != nil {
		return s, err
	}

	if n := s.Verdict.Broken(); n > 0 {
		return s, fmt.Errorf("%w: %d cases", errBroken, n)
	}

	return s, nil
}

// timelineLines bounds the events that the demo prints.
const timelineLines = 40

// printTimeline prints the newest events of the zone's move and writes the whole time line as a page.
func printTimeline(ctx context.Context, s *exper.Scene, page string, out io.Writer) error {
	if _, err := s.Sparctl(ctx, "timeline", "--html", page); err != nil {
		return err
	}

	for _, kind := range []string{"zone", "moved"} {
		text, err := s.Sparctl(ctx, "timeline", "--kind", kind, "--newest", strconv.Itoa(timelineLines))
		if err != nil {
			return err
		}

		fmt.Fprintln(out, text)
	}

	status, err := s.Sparctl(ctx, "status")
	fmt.Fprintln(out, status)

	return err
}
