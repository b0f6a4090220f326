package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"sardinespar.example/spar/cmd/sparload/launch"
)

// counters holds the sums of all nodes' counters and the platform's counters at one moment.
type counters struct {
	at                     time.Time
	cpu                    time.Duration
	rss                    int64
	sent, received         float64
	reads, writes, refused float64
}

// storeStats holds the table operations that the simulated platform has counted.
type storeStats struct {
	Reads   float64 `json:"reads"`
	Writes  float64 `json:"writes"`
	Refused float64 `json:"refused"`
}

func readCounters(ctx context.Context, f *launch.Fleet) (counters, error) {
	c := counters{at: time.Now()}

	for _, v := range f.VMs {
		u, err := v.Spard.Usage()
		if err != nil {
			return c, fmt.Errorf("%s: %w", v.Name, err)
		}

		c.cpu += u.CPU
		c.rss += u.RSSBytes

		var vars struct {
			Sent     float64 `json:"spar_peers_sent_bytes"`
			Received float64 `json:"spar_peers_received_bytes"`
		}
		if err := getJSON(ctx, "http://"+v.LocalAddr()+"/debug/vars", &vars); err != nil {
			return c, fmt.Errorf("%s: %w", v.Name, err)
		}

		c.sent += vars.Sent
		c.received += vars.Received
	}

	var stats storeStats
	if err := getJSON(ctx, "http://"+f.PlatformAddr()+"/admin/stats", &stats); err != nil {
		return c, err
	}

	c.reads, c.writes, c.refused = stats.Reads, stats.Writes, stats.Refused

	return c, nil
}

func getJSON(ctx context.Context, url string, value any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("get %s: %w", url, err)
	}
	defer func() { _ = resp.Body.Close() }()

	if err := json.NewDecoder(resp.Body).Decode(value); err != nil {
		return fmt.Errorf("decode %s: %w", url, err)
	}

	return nil
}
