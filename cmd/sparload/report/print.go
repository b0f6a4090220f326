package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

const columnGap = 2

// Print writes a summary as a table.
func Print(w io.Writer, s Summary) error {
	out := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)

	fmt.Fprintf(out, "%s\n", s.Name)
	fmt.Fprintln(out, "stream\tsent\tcompleted\tnot run\tunknown\tresent\tp50 ms\tp99 ms\tp99.9 ms\tlongest wait ms\t")

	for _, t := range s.Streams {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.0f\t\n", t.Name, t.Sent, t.Completed,
			t.NotRun, t.Unknown, t.Resent, t.P50, t.P99, t.P999, t.LongestWait)
	}

	for _, service := range slices.Sorted(maps.Keys(s.Imbalance)) {
		fmt.Fprintf(out, "imbalance %s\t%.2f\t\n", service, s.Imbalance[service])
	}

	fmt.Fprintf(out, "max in flight while cold\t%d\t\n", s.MaxColdInFlight)
	fmt.Fprintf(out, "owner changes\t%d\t\n", s.OwnerChanges)

	if err := out.Flush(); err != nil {
		return fmt.Errorf("print summary: %w", err)
	}

	v := s.Verdict
	_, err := fmt.Fprintf(w, "duplicate runs %d, false \"not run\" %d, completed but not run %d, "+
		"mismatched responses %d, responses truncated without an error %d, lost downloads %d, "+
		"runs by a former owner %d, runs in a withdrawn zone %d, runs beyond the server's capacity %d; "+
		"downloads lost because their entry VM failed %d\n",
		v.DuplicateRuns, v.FalseNotRun, v.MissingRuns, v.MismatchedResponses, v.TruncatedResponses, v.LostDownloads,
		v.StaleOwnerRuns, v.RunsAfterWithdrawal, v.Overloads, v.EntryLosses)

	return err
}

// PrintJSON writes a value as indented JSON.
func PrintJSON(w io.Writer, value any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")

	return e.Encode(value)
}
