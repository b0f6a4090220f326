package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"sardinespar.example/spar/cmd/sparload/exper"
	"sardinespar.example/spar/cmd/sparload/launch"
	"sardinespar.example/spar/cmd/sparload/report"
)

const outageLength = 20 * time.Second

// comparison is a scenario and the settings that make its baseline.
type comparison struct {
	scenario exper.Scenario
	baseline []string
}

func comparisons(d launch.Deployment) []comparison {
	table := []string{"policy.lease=table"}
	simple := []string{"policy.admission=fixed", "policy.picker=round_robin", "policy.hedging=false"}

	return []comparison{
		{scenario: exper.ZoneMove(d), baseline: append([]string{"policy.resume=false"}, table...)},
		{scenario: exper.Losses(d), baseline: table},
		{scenario: exper.Outage(outageLength), baseline: table},
		{scenario: exper.Stragglers(d), baseline: simple},
	}
}

// runMeasure runs every scenario with the product's settings and its baseline's, in turn.
func runMeasure(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, seed uint64, runs int, out io.Writer,
) ([]report.Summary, error) {
	var all []report.Summary

	broken := 0

	for _, c := range comparisons(d) {
		for n := range uint64(runs) {
			variants := []exper.Scenario{c.scenario, c.scenario.WithSet(c.scenario.Name+" (baseline)", c.baseline...)}
			for i, sc := range variants {
				s, err := exper.Run(ctx, d, dirs, sc, seed+n, out)
				if err != nil {
					return all, fmt.Errorf("%s: %w", sc.Name, err)
				}

				if err := report.Print(out, s); err != nil {
					return all, err
				}

				all = append(all, s)

				if i == 0 {
					broken += s.Verdict.Broken()
				}
			}
		}
	}

	if broken > 0 {
		return all, fmt.Errorf("%w: %d cases", errBroken, broken)
	}

	return all, nil
}
