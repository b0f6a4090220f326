// Package exper runs experiments: it starts a deployment, sends it traffic and injects failures at
// given times.
package exper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/sparload/judge"
	"sardinespar.example/spar/cmd/sparload/launch"
	"sardinespar.example/spar/cmd/sparload/load"
	"sardinespar.example/spar/cmd/sparload/report"
	"sardinespar.example/spar/fleet"
)

const (
	readyTimeout = 30 * time.Second
	// withdrawalGrace is how long a zone may still get new requests after its withdrawal.
	withdrawalGrace = 5 * time.Second
)

// Step is an action at a given time after the start of the traffic.
type Step struct {
	At          time.Duration
	Description string
	Run         func(ctx context.Context, e *Experiment) error
}

// Scenario is traffic of a given duration with steps that take place during it.
type Scenario struct {
	Name     string
	Duration time.Duration
	Steps    []Step
	// Settings holds additional settings of every spard.
	Settings []string
	// RateFactor multiplies the rates of the deployment's traffic.
	RateFactor float64
	// AfterTraffic is called when the traffic has ended and the fleet still runs. It may be nil.
	AfterTraffic func(ctx context.Context, e *Experiment) error
}

// WithSettings returns a copy of s with another name and additional settings.
func (s Scenario) WithSettings(name string, settings ...string) Scenario {
	s.Name = name
	s.Settings = append(append([]string(nil), s.Settings...), settings...)

	return s
}

// Experiment is a scenario in progress.
type Experiment struct {
	Fleet  *launch.Fleet
	Out    io.Writer
	BinDir string
	// windows are the past periods in which a withdrawn zone must not have got new requests.
	windows []judge.Window
	// withdrawnFromMs holds the start of the window of each zone that is withdrawn.
	withdrawnFromMs map[spar.Zone]int64
	// failedEntries holds the addresses of all VMs that were killed or frozen.
	failedEntries []string
	runner        *load.Runner
}

// Dirs holds the directories of the programs and of the files that an experiment writes.
type Dirs struct {
	Bin, Output string
}

// Run starts the deployment, runs the scenario on it and returns the measurements. It reports the
// progress to out.
func Run(
	ctx context.Context, d launch.Deployment, dirs Dirs, sc Scenario, seed uint64, out io.Writer,
) (report.Summary, error) {
	dir, err := os.MkdirTemp(dirs.Output, "run-")
	if err != nil {
		return report.Summary{}, fmt.Errorf("make directory: %w", err)
	}

	f, err := launch.Start(ctx, d, launch.Options{
		BinDir: dirs.Bin, OutputDir: dir, Settings: sc.Settings, WriteRate: 300, ReadRate: 2000,
	})
	defer f.Stop()

	if err != nil {
		return report.Summary{}, err
	}

	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	if err := f.WaitReady(readyCtx); err != nil {
		return report.Summary{}, err
	}

	before, _ := f.View(ctx)
	e := &Experiment{Fleet: f, Out: out, BinDir: dirs.Bin, withdrawnFromMs: map[spar.Zone]int64{}}

	results, err := e.runTraffic(ctx, sc, seed)
	if err != nil {
		return report.Summary{}, err
	}

	after, _ := f.View(ctx)

	if sc.AfterTraffic != nil {
		if err := sc.AfterTraffic(ctx, e); err != nil {
			return report.Summary{}, err
		}
	}

	runs, err := e.readRuns()
	if err != nil {
		return report.Summary{}, err
	}

	s := report.Summarize(d.Name+": "+sc.Name, results, runs, judge.Evaluate(results, runs, e.windows, e.failedEntries))

	return s.WithOwnerChanges(ownerChanges(d, before, after)), nil
}

// runTraffic sends the traffic and runs the steps. It returns the results of all requests.
func (e *Experiment) runTraffic(ctx context.Context, sc Scenario, seed uint64) ([]load.Result, error) {
	entries := make([]string, 0, len(e.Fleet.VMs))
	for _, v := range e.Fleet.VMs {
		entries = append(entries, v.HTTPAddr())
	}

	streams := make([]launch.Traffic, 0, len(e.Fleet.Deployment.Traffic))
	for _, t := range e.Fleet.Deployment.Traffic {
		streams = append(streams, t.WithRateFactor(sc.RateFactor))
	}

	runner := load.NewRunner(entries, seed)

	e.runner = runner

	sendCtx, stop := context.WithTimeout(ctx, sc.Duration)
	defer stop()

	runner.Start(sendCtx, streams)

	var stepErrs []error

	for _, step := range sc.Steps {
		time.Sleep(time.Until(runner.Started().Add(step.At)))
		fmt.Fprintf(e.Out, "%6.1f s  %s\n", time.Since(runner.Started()).Seconds(), step.Description)

		if err := step.Run(ctx, e); err != nil {
			stepErrs = append(stepErrs, fmt.Errorf("%s: %w", step.Description, err))
		}
	}

	results := runner.Wait()

	for zone, from := range e.withdrawnFromMs {
		e.windows = append(e.windows, judge.Window{Zone: zone, FromMs: from, ToMs: time.Now().UnixMilli()})
	}

	return results, errors.Join(stepErrs...)
}

// readRuns reads the run records of all backend servers.
func (e *Experiment) readRuns() ([]judge.Run, error) {
	var all []judge.Run

	for _, v := range e.Fleet.VMs {
		runs, err := judge.ReadRuns(e.Fleet.RunsFile(v), v.Name, v.Zone)
		if err != nil {
			return nil, err
		}

		all = append(all, runs...)
	}

	return all, nil
}

// ownerChanges returns the number of changes of owner between two views. Each change raises the
// epoch of the slot by one.
func ownerChanges(d launch.Deployment, before, after *fleet.View) int {
	if before == nil || after == nil {
		return 0
	}

	count := 0

	for _, s := range d.Services {
		if s.Mode != spar.ModeKeyed {
			continue
		}

		for slot := range spar.Slot(s.Slots) {
			count += int(after.Assignment(s.Service, slot).Epoch - before.Assignment(s.Service, slot).Epoch)
		}
	}

	return count
}

// VM returns the n-th VM of a service, counted from 1.
func (e *Experiment) VM(service string, n int) *launch.VM {
	for _, v := range e.Fleet.VMs {
		if v.Service.Name == service {
			n--
			if n == 0 {
				return v
			}
		}
	}

	panic("exper: no such VM of service " + service)
}
