package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"sardinespar.example/spar/cmd/sparload/exper"
	"sardinespar.example/spar/cmd/sparload/launch"
	"sardinespar.example/spar/cmd/sparload/load"
)

const costTime = 10 * time.Second

// cost is what requests cost the spards at one rate.
type cost struct {
	Requests   float64 `json:"requests_per_s"`
	CPUPercent float64 `json:"cpu_percent_of_core_per_node"`
	// Micros is the processor time of all spards per request, less that of the idle fleet.
	Micros float64 `json:"cpu_us_per_request"`
}

// runCost measures the processor time of requests at several multiples of the deployment's reads.
func runCost(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, rates []int, out io.Writer,
) ([]cost, error) {
	d.LinkMs = 0

	f, _, err := startSettled(ctx, d, dirs, "cost-")
	defer f.Stop()

	if err != nil {
		return nil, err
	}

	idle, err := costAt(ctx, f, 0)
	if err != nil {
		return nil, err
	}

	costs := []cost{idle}

	for _, rate := range rates {
		c, err := costAt(ctx, f, float64(rate))
		if err != nil {
			return costs, err
		}

		perRequest := (c.CPUPercent - idle.CPUPercent) / 100 * float64(len(f.VMs)) / c.Requests
		c.Micros = perRequest * float64(time.Second/time.Microsecond)
		costs = append(costs, c)
	}

	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests/s\tCPU % of core per node\tCPU µs per request\t")

	for _, c := range costs {
		fmt.Fprintf(w, "%.0f\t%.1f\t%.0f\t\n", c.Requests, c.CPUPercent, c.Micros)
	}

	return costs, w.Flush()
}

// costAt sends the deployment's reads at a multiple of their rate.
func costAt(ctx context.Context, f *launch.Fleet, rate float64) (cost, error) {
	entries := make([]string, 0, len(f.VMs))
	for _, v := range f.VMs {
		entries = append(entries, v.HTTPAddr())
	}

	var streams []launch.Traffic

	for _, t := range f.Deployment.Traffic {
		if t.Kind == launch.KindRead && rate > 0 {
			streams = append(streams, t.WithRate(rate))
		}
	}

	before, err := read(ctx, f)
	if err != nil {
		return cost{}, err
	}

	sending, stop := context.WithTimeout(ctx, costTime)
	defer stop()

	r := load.NewRunner(entries, 1)
	r.Start(sending, streams)
	<-sending.Done()

	results := r.Wait()

	after, err := read(ctx, f)
	if err != nil {
		return cost{}, err
	}

	seconds := after.at.Sub(before.at).Seconds()

	return cost{
		Requests:   float64(len(results)) / seconds,
		CPUPercent: (after.cpu - before.cpu).Seconds() / seconds / float64(len(f.VMs)) * 100,
	}, nil
}
