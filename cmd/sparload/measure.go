package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"sardinespar.example/spar/cmd/sparload/exper"
	"sardinespar.example/spar/cmd/sparload/launch"
	"sardinespar.example/spar/cmd/sparload/report"
)

const outageLength = 60 * time.Second

// comparison is a scenario and the additional settings of its baseline.
type comparison struct {
	scenario exper.Scenario
	baseline []string
}

func comparisons(d launch.Deployment) []comparison {
	leaseInTable := []string{"policy.lease=table"}
	fixedPolicy := []string{"policy.admission=fixed", "policy.picker=round_robin", "policy.hedging=false"}

	return []comparison{
		{scenario: exper.ZoneWithdrawal(d), baseline: append([]string{"policy.resume=false"}, leaseInTable...)},
		{scenario: exper.VMFailures(d), baseline: leaseInTable},
		{scenario: exper.TableOutage(outageLength), baseline: leaseInTable},
		{scenario: exper.Stragglers(d), baseline: fixedPolicy},
	}
}

// measurements is the JSON form of the results of all comparisons.
type measurements struct {
	Deployment string         `json:"deployment"`
	Seed       uint64         `json:"seed"`
	Pairs      []report.Pair  `json:"pairs"`
	Ratios     []report.Ratio `json:"ratios"`
}

// measureOptions selects the comparisons to run, the number of runs and the seed of the first run.
type measureOptions struct {
	seed uint64
	runs int
	only string
}

// runMeasure runs every selected scenario alternately with the product's settings and with its
// baseline's, and compares the measurements.
func runMeasure(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, opts measureOptions, out io.Writer,
) (measurements, error) {
	m := measurements{Deployment: d.Name, Seed: opts.seed}

	for _, c := range comparisons(d) {
		if !strings.Contains(c.scenario.Name, opts.only) {
			continue
		}

		for n := range uint64(opts.runs) {
			pair, err := runPair(ctx, d, dirs, c, opts.seed+n, out)
			if err != nil {
				return m, fmt.Errorf("%s: %w", c.scenario.Name, err)
			}

			m.Pairs = append(m.Pairs, pair)
		}
	}

	m.Ratios = report.Ratios(m.Pairs)

	if err := report.PrintRatios(out, m.Ratios); err != nil {
		return m, err
	}

	if _, err := report.Plot(dirs.Output, d.Name, m.Ratios); err != nil {
		return m, err
	}

	violations := 0
	for _, p := range m.Pairs {
		violations += p.Product.Verdict.Violations()
	}

	if violations > 0 {
		return m, fmt.Errorf("%w: %d cases", errViolation, violations)
	}

	return m, nil
}

// runPair runs one scenario with the product's settings and then with its baseline's.
func runPair(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, c comparison, seed uint64, out io.Writer,
) (report.Pair, error) {
	pair := report.Pair{Scenario: c.scenario.Name}

	for _, variant := range []struct {
		scenario exper.Scenario
		to       *report.Summary
	}{
		{scenario: c.scenario, to: &pair.Product},
		{scenario: c.scenario.WithSettings(c.scenario.Name+" (baseline)", c.baseline...), to: &pair.Baseline},
	} {
		s, err := exper.Run(ctx, d, dirs, variant.scenario, seed, out)
		if err != nil {
			return pair, err
		}

		if err := report.Print(out, s); err != nil {
			return pair, err
		}

		*variant.to = s
	}

	return pair, nil
}
