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
	// quietTime without a write tells that no slot moves any more, quietMost bounds the wait for it.
	quietTime   = 6 * time.Second
	quietMost   = 2 * time.Minute
	sampleTime  = 20 * time.Second
	slopesReady = 90 * time.Second
)

// sample is the control cost of an idle fleet, per node unless stated.
type sample struct {
	Nodes         int     `json:"nodes"`
	ReadySeconds  float64 `json:"ready_s"`
	CPUPercent    float64 `json:"cpu_percent_of_core"`
	RSSMegabytes  float64 `json:"rss_mb"`
	SentKBs       float64 `json:"sent_kb_per_s"`
	ReceivedKBs   float64 `json:"received_kb_per_s"`
	StoreReads    float64 `json:"store_reads_per_s_fleet"`
	StoreWrites   float64 `json:"store_writes_per_s_fleet"`
	StoreRejected float64 `json:"store_refused_per_s_fleet"`
}

// runSlopes measures idle fleets of several sizes.
func runSlopes(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, sizes []int, out io.Writer,
) ([]sample, error) {
	var samples []sample

	d.LinkMs = 0

	for _, size := range sizes {
		s, err := measureIdle(ctx, d.Scaled(size), dirs)
		if err != nil {
			return samples, fmt.Errorf("size %d: %w", size, err)
		}

		samples = append(samples, s)
	}

	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "nodes\tready s\tCPU % of core\tRSS MB\tsent KB/s\treceived KB/s\treads/s\twrites/s\trefused/s\t")

	for _, s := range samples {
		fmt.Fprintf(w, "%d\t%.1f\t%.2f\t%.1f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t\n", s.Nodes, s.ReadySeconds, s.CPUPercent,
			s.RSSMegabytes, s.SentKBs, s.ReceivedKBs, s.StoreReads, s.StoreWrites, s.StoreRejected)
	}

	return samples, w.Flush()
}

// startSettled starts a deployment and waits until its slots have spread over the fleet. It returns
// the fleet, which the caller stops also after an error, and the time until every slot had an owner.
func startSettled(
	ctx context.Context, d launch.Deployment, dirs exper.Dirs, prefix string,
) (*launch.Fleet, time.Duration, error) {
	dir, err := os.MkdirTemp(dirs.Dir, prefix)
	if err != nil {
		return nil, 0, fmt.Errorf("make directory: %w", err)
	}

	began := time.Now()

	f, err := launch.Start(ctx, d, launch.Options{Bin: dirs.Bin, Dir: dir, WriteRate: 300, ReadRate: 2000})
	if err != nil {
		return f, 0, err
	}

	ready, cancel := context.WithTimeout(ctx, slopesReady)
	defer cancel()

	if err := f.Ready(ready); err != nil {
		return f, 0, err
	}

	took := time.Since(began)

	return f, took, settle(ctx, f)
}

func measureIdle(ctx context.Context, d launch.Deployment, dirs exper.Dirs) (sample, error) {
	f, took, err := startSettled(ctx, d, dirs, "idle-")
	defer f.Stop()

	if err != nil {
		return sample{}, err
	}

	s := sample{Nodes: len(f.VMs), ReadySeconds: took.Seconds()}

	before, err := read(ctx, f)
	if err != nil {
		return s, err
	}

	time.Sleep(sampleTime)

	after, err := read(ctx, f)
	if err != nil {
		return s, err
	}

	return s.between(before, after), nil
}

// settle waits until the slots have spread over the fleet.
func settle(ctx context.Context, f *launch.Fleet) error {
	began, quiet := time.Now(), time.Now()

	for writes := -1.0; time.Since(quiet) < quietTime; time.Sleep(time.Second) {
		var stats storeStats
		if err := getJSON(ctx, "http://"+f.PlatformAddr()+"/admin/stats", &stats); err != nil {
			return err
		}

		if stats.Writes != writes {
			writes, quiet = stats.Writes, time.Now()
		}

		if time.Since(began) > quietMost {
			return fmt.Errorf("slots still move after %s", quietMost)
		}
	}

	return nil
}

func (s sample) between(a, b reading) sample {
	seconds := b.at.Sub(a.at).Seconds()
	perNode := func(x float64) float64 { return x / seconds / float64(s.Nodes) }

	s.CPUPercent = perNode((b.cpu - a.cpu).Seconds()) * 100
	s.RSSMegabytes = float64(b.rss) / float64(s.Nodes) / 1e6
	s.SentKBs = perNode(b.sent-a.sent) / 1000
	s.ReceivedKBs = perNode(b.received-a.received) / 1000
	s.StoreReads = (b.reads - a.reads) / seconds
	s.StoreWrites = (b.writes - a.writes) / seconds
	s.StoreRejected = (b.refused - a.refused) / seconds

	return s
}
