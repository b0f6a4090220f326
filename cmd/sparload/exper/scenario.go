// Package exper runs experiments: a deployment under traffic with failures at set times.
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
	// outGrace is the time after which a zone that was taken out must get no new work.
	outGrace = 5 * time.Second
)

// Step is something that happens at a time after the traffic's start.
type Step struct {
	At   time.Duration
	What string
	Do   func(ctx context.Context, s *Scene) error
}

// Scenario is traffic for a time, with steps in it.
type Scenario struct {
	Name     string
	Duration time.Duration
	Steps    []Step
	// Set holds additional settings of every spard.
	Set []string
	// Rate multiplies the deployment's traffic.
	Rate float64
	// After runs when the traffic has ended, while the fleet is still there.
	After func(ctx context.Context, s *Scene) error
}

// WithSet returns s with additional settings and another name.
func (s Scenario) WithSet(name string, set ...string) Scenario {
	s.Name = name
	s.Set = append(append([]string(nil), s.Set...), set...)

	return s
}

// Scene is a scenario under way.
type Scene struct {
	Fleet   *launch.Fleet
	Out     io.Writer
	Bin     string
	windows []judge.Window
	open    map[spar.Zone]int64
	failed  []string
	runner  *load.Runner
}

// Dirs are the directories of programs and of an experiment's files.
type Dirs struct {
	Bin, Dir string
}

// Run runs a scenario and returns its measures.
func Run(
	ctx context.Context, d launch.Deployment, dirs Dirs, sc Scenario, seed uint64, out io.Writer,
) (report.Summary, error) {
	dir, err := os.MkdirTemp(dirs.Dir, "run-")
	if err != nil {
		return report.Summary{}, fmt.Errorf("make directory: %w", err)
	}

	f, err := launch.Start(ctx, d, launch.Options{
		Bin: dirs.Bin, Dir: dir, Set: sc.Set, WriteRate: 300, ReadRate: 2000,
	})
	defer f.Stop()

	if err != nil {
		return report.Summary{}, err
	}

	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	if err := f.Ready(ready); err != nil {
		return report.Summary{}, err
	}

	before, _ := f.View(ctx)
	scene := &Scene{Fleet: f, Out: out, Bin: dirs.Bin, open: map[spar.Zone]int64{}}

	results, err := scene.traffic(ctx, sc, seed)
	if err != nil {
		return report.Summary{}, err
	}

	after, _ := f.View(ctx)

	if sc.After != nil {
		if err := sc.After(ctx, scene); err != nil {
			return report.Summary{}, err
		}
	}

	runs, err := scene.runs()
	if err != nil {
		return report.Summary{}, err
	}

	s := report.Summarize(d.Name+": "+sc.Name, results, runs, judge.Judge(results, runs, scene.windows, scene.failed))

	return s.WithChurn(churn(d, before, after)), nil
}

// traffic sends the streams and takes the steps.
func (s *Scene) traffic(ctx context.Context, sc Scenario, seed uint64) ([]load.Result, error) {
	entries := make([]string, 0, len(s.Fleet.VMs))
	for _, v := range s.Fleet.VMs {
		entries = append(entries, v.HTTPAddr())
	}

	streams := make([]launch.Traffic, 0, len(s.Fleet.Deployment.Traffic))
	for _, t := range s.Fleet.Deployment.Traffic {
		streams = append(streams, t.WithRate(sc.Rate))
	}

	runner := load.NewRunner(entries, seed)

	s.runner = runner

	sending, stop := context.WithTimeout(ctx, sc.Duration)
	defer stop()

	runner.Start(sending, streams)

	var faults []error

	for _, step := range sc.Steps {
		time.Sleep(time.Until(runner.Began().Add(step.At)))
		fmt.Fprintf(s.Out, "%6.1f s  %s\n", time.Since(runner.Began()).Seconds(), step.What)

		if err := step.Do(ctx, s); err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", step.What, err))
		}
	}

	results := runner.Wait()

	for zone, from := range s.open {
		s.windows = append(s.windows, judge.Window{Zone: zone, FromMs: from, ToMs: time.Now().UnixMilli()})
	}

	return results, errors.Join(faults...)
}

func (s *Scene) runs() ([]judge.Run, error) {
	var all []judge.Run

	for _, v := range s.Fleet.VMs {
		runs, err := judge.ReadRuns(s.Fleet.RunsFile(v), v.Name, v.Zone)
		if err != nil {
			return nil, err
		}

		all = append(all, runs...)
	}

	return all, nil
}

// churn counts the changes of owner between two views: each raises the slot's epoch by one.
func churn(d launch.Deployment, before, after *fleet.View) int {
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
func (s *Scene) VM(service string, n int) *launch.VM {
	for _, v := range s.Fleet.VMs {
		if v.Service.Name == service {
			n--
			if n == 0 {
				return v
			}
		}
	}

	panic("exper: no such VM of " + service)
}
