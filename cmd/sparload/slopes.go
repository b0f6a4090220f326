package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"sardinespar.example/spar/cmd/sparload/exper"
	"sardinespar.example/spar/cmd/sparload/launch"
)

const (
	// settleDuration is the time without a write to the table after which the slots count as settled.
	settleDuration = 6 * time.Second
	// settleTimeout bounds the wait until the slots have settled.
	settleTimeout  = 2 * time.Minute
	sampleDuration = 20 * time.Second
	readyTimeout   = 90 * time.Second
)

// idleSample is the control overhead of an idle fleet, per node unless stated otherwise.
type idleSample struct {
	Nodes        int     `json:"nodes"`
	ReadySeconds float64 `json:"ready_s"`
	CPUPercent   float64 `json:"cpu_percent_of_core"`
	RSSMegabytes float64 `json:"rss_mb"`
	SentKBs      float64 `json:"sent_kb_per_s"`
	ReceivedKBs  float64 `json:"received_kb_per_s"`
	StoreReads   float64 `json:"store_reads_per_s_fleet"`
	StoreWrites  float64 `json:"store_writes_per_s_fleet"`
	StoreRefused float64 `json:"store_refused_per_s_fleet"`
}

// runSlopes measures the control overhead of idle fleets of several sizes.
func runSlopes(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, sizes []int, out io.Writer,
) ([]idleSample, error) {
	var samples []idleSample

	d.LinkRTTMs = 0

	for _, size := range sizes {
		s, err := measureIdle(ctx, d.WithScale(size), dirs)
		if err != nil {
			return samples, fmt.Errorf("size %d: %w", size, err)
		}

		samples = append(samples, s)
	}

	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tready s\tCPU % of core\tRSS MB\tsent KB/s\treceived KB/s\treads/s\twrites/s\trefused/s\t")

	for _, s := range samples {
		fmt.Fprintf(w, "%d\t%.1f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t\n", s.Nodes, s.ReadySeconds, s.CPUPercent,
			s.RSSMegabytes, s.SentKBs, s.ReceivedKBs, s.StoreReads, s.StoreWrites, s.StoreRefused)
	}

	return samples, w.Flush()
}

// startSettled starts a deployment and waits until its slots are spread over the fleet. It returns
// the fleet, which the caller must stop also after an error, and the time until every slot had an
// owner.
func startSettled(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, prefix string,
) (*launch.Fleet, time.Duration, error) {
	dir, err := os.MkdirTemp(dirs.Output, prefix)
	if err != nil {
		return nil, 0, fmt.Errorf("make directory: %w", err)
	}

	started := time.Now()

	f, err := launch.Start(ctx, d, launch.Options{BinDir: dirs.Bin, OutputDir: dir, WriteRate: 300, ReadRate: 2000})
	if err != nil {
		return f, 0, err
	}

	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()

	if err := f.WaitReady(readyCtx); err != nil {
		return f, 0, err
	}

	readyAfter := time.Since(started)

	return f, readyAfter, waitSettled(ctx, f)
}

// measureIdle measures the control overhead of one idle fleet.
func measureIdle(ctx context.Context, d launch.Deployment, dirs exper.Dirs) (idleSample, error) {
	f, readyAfter, err := startSettled(ctx, d, dirs, "idle-")
	defer f.Stop()

	if err != nil {
		return idleSample{}, err
	}

	s := idleSample{Nodes: len(f.VMs), ReadySeconds: readyAfter.Seconds()}

	before, err := readCounters(ctx, f)
	if err != nil {
		return s, err
	}

	time.Sleep(sampleDuration)

	after, err := readCounters(ctx, f)
	if err != nil {
		return s, err
	}

	return s.withRates(before, after), nil
}

// waitSettled waits until the slots are spread over the fleet, that is, until no writes to the table
// have occurred for settleDuration.
func waitSettled(ctx context.Context, f *launch.Fleet) error {
	started, lastChange := time.Now(), time.Now()

	for writes := -1.0; time.Since(lastChange) < settleDuration; time.Sleep(time.Second) {
		var stats storeStats
		if err := getJSON(ctx, "http://"+f.PlatformAddr()+"/admin/stats", &stats); err != nil {
			return err
		}

		if stats.Writes != writes {
			writes, lastChange = stats.Writes, time.Now()
		}

		if time.Since(started) > settleTimeout {
			return fmt.Errorf("slots are still moving after %s", settleTimeout)
		}
	}

	return nil
}

// withRates returns s with the rates between two readings of the counters.
func (s idleSample) withRates(before, after counters) idleSample {
	seconds := after.at.Sub(before.at).Seconds()
	perNode := func(x float64) float64 { return x / seconds / float64(s.Nodes) }

	s.CPUPercent = perNode((after.cpu - before.cpu).Seconds()) * 100
	s.RSSMegabytes = float64(after.rss) / float64(s.Nodes) / 1e6
	s.SentKBs = perNode(after.sent-before.sent) / 1000
	s.ReceivedKBs = perNode(after.received-before.received) / 1000
	s.StoreReads = (after.reads - before.reads) / seconds
	s.StoreWrites = (after.writes - before.writes) / seconds
	s.StoreRefused = (after.refused - before.refused) / seconds

	return s
}
