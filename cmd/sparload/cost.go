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

const costDuration = 10 * time.Second

// costSample is the processor time that the spards use for requests at one rate.
type costSample struct {
	Requests   float64 `json:"requests_per_s"`
	CPUPercent float64 `json:"cpu_percent_of_core_per_node"`
	// CPUMicros is the processor time of all spards per request, without that of the idle fleet.
	CPUMicros float64 `json:"cpu_us_per_request"`
}

// runCost measures the processor time per request at several multiples of the deployment's read rate.
func runCost(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, rateFactors []int, out io.Writer,
) ([]costSample, error) {
	d.LinkRTTMs = 0

	f, _, err := startSettled(ctx, d, dirs, "cost-")
	defer f.Stop()

	if err != nil {
		return nil, err
	}

	idle, err := costAt(ctx, f, 0)
	if err != nil {
		return nil, err
	}

	costs := []costSample{idle}

	for _, factor := range rateFactors {
		c, err := costAt(ctx, f, float64(factor))
		if err != nil {
			return costs, err
		}

		perRequest := (c.CPUPercent - idle.CPUPercent) / 100 * float64(len(f.VMs)) / c.Requests
		c.CPUMicros = perRequest * float64(time.Second/time.Microsecond)
		costs = append(costs, c)
	}

	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests/s\tCPU % of core per node\tCPU µs per request\t")

	for _, c := range costs {
		fmt.Fprintf(w, "%.0f\t%.1f\t%.0f\t\n", c.Requests, c.CPUPercent, c.CPUMicros)
	}

	return costs, w.Flush()
}

// costAt measures the processor time while the deployment's reads are sent at a multiple of their rate.
func costAt(ctx context.Context, f *launch.Fleet, rateFactor float64) (costSample, error) {
	entries := make([]string, 0, len(f.VMs))
	for _, v := range f.VMs {
		entries = append(entries, v.HTTPAddr())
	}

	var streams []launch.Traffic

	for _, t := range f.Deployment.Traffic {
		if t.Kind == launch.KindRead && rateFactor > 0 {
			streams = append(streams, t.WithRateFactor(rateFactor))
		}
	}

	before, err := readCounters(ctx, f)
	if err != nil {
		return costSample{}, err
	}

	sendCtx, stop := context.WithTimeout(ctx, costDuration)
	defer stop()

	r := load.NewRunner(entries, 1)
	r.Start(sendCtx, streams)
	<-sendCtx.Done()

	results := r.Wait()

	after, err := readCounters(ctx, f)
	if err != nil {
		return costSample{}, err
	}

	seconds := after.at.Sub(before.at).Seconds()

	return costSample{
		Requests:   float64(len(results)) / seconds,
		CPUPercent: (after.cpu - before.cpu).Seconds() / seconds / float64(len(f.VMs)) * 100,
	}, nil
}
