package report_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/sparload/judge"
	"sardinespar.example/spar/cmd/sparload/load"
	"sardinespar.example/spar/cmd/sparload/report"
)

func newResult(key string, arrival, first float64, outcome spar.Outcome) load.Result {
	return load.Result{
		Traffic: "browse", Key: key, ArrivalMs: arrival, SentMs: arrival, FirstMs: first, DoneMs: first, Outcome: outcome,
	}
}

// TestLongestWaitIncludesFailedRequests guards against a longest wait that is computed from completed requests
// only: a key whose requests all fail for some time is unavailable until the next request is answered.
func TestLongestWaitIncludesFailedRequests(t *testing.T) {
	for _, tc := range []struct {
		name    string
		results []load.Result
		want    float64
	}{
		{name: "served", results: []load.Result{newResult("a", 0, 5, spar.OutcomeCompleted)}, want: 5},
		{
			name: "refused until a later one",
			results: []load.Result{
				newResult("a", 0, 1, spar.OutcomeNotRun), newResult("a", 100, 107, spar.OutcomeCompleted),
			},
			want: 107,
		},
		{
			name: "overtaken",
			results: []load.Result{
				newResult("a", 0, 500, spar.OutcomeCompleted), newResult("a", 10, 20, spar.OutcomeCompleted),
			},
			want: 20,
		},
		{
			name: "different keys",
			results: []load.Result{
				newResult("a", 0, 1, spar.OutcomeNotRun), newResult("b", 100, 107, spar.OutcomeCompleted),
			},
			want: 7,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := report.Summarize("test", tc.results, nil, judge.Verdict{})
			qt.Assert(t, s.Streams[0].LongestWait, qt.Equals, tc.want)
		})
	}
}

// TestRatiosAndPlots guards against inverted ratios and against plots that cannot be written.
func TestRatiosAndPlots(t *testing.T) {
	summary := func(ms float64) report.Summary {
		return report.Summarize("x", []load.Result{newResult("a", 0, ms, spar.OutcomeCompleted)}, nil, judge.Verdict{})
	}

	ratios := report.Ratios([]report.Pair{
		{Scenario: "Zone moves", Product: summary(10), Baseline: summary(40)},
		{Scenario: "Zone moves", Product: summary(20), Baseline: summary(40)},
	})
	qt.Assert(t, ratios, qt.HasLen, 2)
	qt.Assert(t, ratios[0].Measure, qt.Equals, "longest wait")
	qt.Assert(t, ratios[0].Min, qt.Equals, 0.25)
	qt.Assert(t, ratios[0].Max, qt.Equals, 0.5)
	qt.Assert(t, ratios[0].Runs, qt.Equals, 2)

	files, err := report.Plot(t.TempDir(), "quilt", ratios)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 2)

	data, err := os.ReadFile(files[0])
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.Contains(string(data), "<svg"), qt.IsTrue)
}
