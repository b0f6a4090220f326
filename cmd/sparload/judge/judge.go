// Package judge compares what callers saw with what the backend servers ran.
package judge

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/backend/server"
	"sardinespar.example/spar/cmd/sparload/load"
)

// Verdict counts the broken promises of a run. All counts but EntryLosses must be 0.
type Verdict struct {
	SecondRuns     int `json:"second_runs"`
	FalseNotRun    int `json:"false_not_run"`
	LostRuns       int `json:"lost_runs"`
	MixedAnswers   int `json:"mixed_answers"`
	CutAnswers     int `json:"cut_answers"`
	LostDownloads  int `json:"lost_downloads"`
	StaleOwnerRuns int `json:"stale_owner_runs"`
	WorkAfterOut   int `json:"work_after_out"`
	// Overloads counts runs that began with more requests in flight than the server bears.
	Overloads int `json:"overloads"`
	// EntryLosses counts downloads lost with their connection, when the VM that they entered
	// through was killed or frozen.
	EntryLosses int `json:"entry_losses"`
}

// Broken returns the number of broken promises.
func (v Verdict) Broken() int {
	return v.SecondRuns + v.FalseNotRun + v.LostRuns + v.MixedAnswers + v.CutAnswers + v.LostDownloads +
		v.StaleOwnerRuns + v.WorkAfterOut + v.Overloads
}

// Run is a backend server's run with the server's name and zone.
type Run struct {
	server.Run

	VM   string
	Zone spar.Zone
}

// Window is a time in which a zone was to get no new work, in wall milliseconds.
type Window struct {
	Zone         spar.Zone
	FromMs, ToMs int64
}

// ReadRuns reads the records of one backend server. A line is there twice for a run that ended.
func ReadRuns(file, vm string, zone spar.Zone) ([]Run, error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}

	if err != nil {
		return nil, fmt.Errorf("open run records: %w", err)
	}
	defer func() { _ = f.Close() }()

	var runs []Run

	for in := bufio.NewScanner(f); in.Scan(); {
		r := Run{VM: vm, Zone: zone}
		// The last line of a killed server may be incomplete.
		if json.Unmarshal(in.Bytes(), &r.Run) == nil && r.EndMs == 0 {
			runs = append(runs, r)
		}
	}

	return runs, nil
}

// Judge counts broken promises. Failed holds the addresses of VMs that were killed or frozen.
func Judge(results []load.Result, runs []Run, windows []Window, failed []string) Verdict {
	v := Verdict{StaleOwnerRuns: staleOwners(runs), WorkAfterOut: workAfterOut(runs, windows)}
	byToken := map[string]int{}

	for _, r := range runs {
		if r.Token != "" {
			byToken[r.Token]++
		}

		if r.InFlight > r.Slots {
			v.Overloads++
		}
	}

	for _, n := range byToken {
		if n > 1 {
			v.SecondRuns++
		}
	}

	for _, r := range results {
		v = v.withResult(r, byToken, slices.Contains(failed, r.Entry))
	}

	return v
}

func (v Verdict) withResult(r load.Result, byToken map[string]int, entryFailed bool) Verdict {
	if r.Mixed {
		v.MixedAnswers++
	}

	if r.Cut {
		v.CutAnswers++
	}

	switch {
	case r.Lost && entryFailed:
		v.EntryLosses++
	case r.Lost:
		v.LostDownloads++
	}

	if r.Token == "" {
		return v
	}

	if r.Outcome == spar.OutcomeNotRun && byToken[r.Token] > 0 {
		v.FalseNotRun++
	}

	if r.Outcome == spar.OutcomeCompleted && byToken[r.Token] == 0 {
		v.LostRuns++
	}

	return v
}

// staleOwners counts the runs that began under a lower epoch than an earlier run of their slot.
func staleOwners(runs []Run) int {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b Run) int {
		return cmp.Or(cmp.Compare(a.StartMs, b.StartMs), cmp.Compare(a.Epoch, b.Epoch))
	})

	type slotID struct{ service, slot string }

	highest := map[slotID]int64{}
	count := 0

	for _, r := range runs {
		if r.Slot == "" {
			continue
		}

		id := slotID{service: r.Service(), slot: r.Slot}
		if r.Epoch < highest[id] {
			count++
		}

		highest[id] = max(highest[id], r.Epoch)
	}

	return count
}

func workAfterOut(runs []Run, windows []Window) int {
	count := 0

	for _, r := range runs {
		for _, w := range windows {
			if r.Zone == w.Zone && r.StartMs > w.FromMs && r.StartMs < w.ToMs {
				count++
			}
		}
	}

	return count
}
