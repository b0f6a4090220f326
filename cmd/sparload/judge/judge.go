// Package judge compares the outcomes that callers received with the runs that the backend servers
// recorded, and counts violated guarantees.
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

// Verdict counts the violated guarantees of an experiment. All counts but EntryLosses must be 0.
type Verdict struct {
	// DuplicateRuns counts tokens whose request ran more than once.
	DuplicateRuns int `json:"second_runs"`
	// FalseNotRun counts requests that ran although their outcome was "not run".
	FalseNotRun int `json:"false_not_run"`
	// MissingRuns counts requests that never ran although their outcome was "completed".
	MissingRuns int `json:"lost_runs"`
	// MismatchedResponses counts responses that belong to another request.
	MismatchedResponses int `json:"mixed_answers"`
	// TruncatedResponses counts responses that ended early without an error.
	TruncatedResponses int `json:"cut_answers"`
	// LostDownloads counts downloads that began and ended with an error.
	LostDownloads int `json:"lost_downloads"`
	// StaleOwnerRuns counts runs under an earlier epoch than a previous run of their slot.
	StaleOwnerRuns int `json:"stale_owner_runs"`
	// RunsAfterWithdrawal counts runs that began in a withdrawn zone.
	RunsAfterWithdrawal int `json:"work_after_out"`
	// Overloads counts runs that began with more requests in flight than the server can handle.
	Overloads int `json:"overloads"`
	// EntryLosses counts downloads that were lost because the VM that the caller was connected to
	// was killed or frozen.
	EntryLosses int `json:"entry_losses"`
}

// Violations returns the number of violated guarantees.
func (v Verdict) Violations() int {
	return v.DuplicateRuns + v.FalseNotRun + v.MissingRuns + v.MismatchedResponses + v.TruncatedResponses +
		v.LostDownloads + v.StaleOwnerRuns + v.RunsAfterWithdrawal + v.Overloads
}

// Run is a run that a backend server recorded, with the server's VM and zone.
type Run struct {
	server.Run

	VM   string
	Zone spar.Zone
}

// Window is a period in which a withdrawn zone must not get new requests, in Unix milliseconds.
type Window struct {
	Zone         spar.Zone
	FromMs, ToMs int64
}

// ReadRuns reads the run records of one backend server. The server writes a line when a run begins
// and another one when it ends; only the lines of the first kind are returned.
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

// Evaluate counts violated guarantees. The argument failed holds the addresses of the VMs that were
// killed or frozen.
func Evaluate(results []load.Result, runs []Run, windows []Window, failed []string) Verdict {
	v := Verdict{StaleOwnerRuns: countStaleOwnerRuns(runs), RunsAfterWithdrawal: countRunsAfterWithdrawal(runs, windows)}
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
			v.DuplicateRuns++
		}
	}

	for _, r := range results {
		v = v.withResult(r, byToken, slices.Contains(failed, r.Entry))
	}

	return v
}

// withResult returns v with the violations that a single result shows.
func (v Verdict) withResult(r load.Result, byToken map[string]int, entryFailed bool) Verdict {
	if r.Mismatched {
		v.MismatchedResponses++
	}

	if r.Truncated {
		v.TruncatedResponses++
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
		v.MissingRuns++
	}

	return v
}

// countStaleOwnerRuns returns the number of runs that began under a lower epoch than an earlier run
// of their slot.
func countStaleOwnerRuns(runs []Run) int {
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

// countRunsAfterWithdrawal returns the number of runs that began while their zone was withdrawn.
func countRunsAfterWithdrawal(runs []Run, windows []Window) int {
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
