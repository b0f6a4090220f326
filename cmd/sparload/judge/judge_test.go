package judge_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/backend/server"
	"sardinespar.example/spar/cmd/sparload/judge"
	"sardinespar.example/spar/cmd/sparload/load"
)

func run(token, slot string, epoch, start int64) judge.Run {
	return judge.Run{
		Run: server.Run{
			Token: token, Slot: slot, Epoch: epoch, StartMs: start, Path: "/desk/k/1", InFlight: 1, Slots: 10,
		},
		Zone: "east",
	}
}

// TestEvaluateCountsEachViolation guards against an Evaluate that misses violations: each violated guarantee
// must be counted.
func TestEvaluateCountsEachViolation(t *testing.T) {
	overload := run("", "1", 1, 5)
	overload.InFlight = 11

	for _, tc := range []struct {
		name    string
		results []load.Result
		runs    []judge.Run
		windows []judge.Window
		want    judge.Verdict
	}{
		{name: "nothing", runs: []judge.Run{run("t", "1", 1, 1), run("u", "1", 2, 2)}},
		{
			name: "duplicate run", runs: []judge.Run{run("t", "1", 1, 1), run("t", "1", 1, 2)},
			want: judge.Verdict{DuplicateRuns: 1},
		},
		{
			name: "false not run", runs: []judge.Run{run("t", "1", 1, 1)},
			results: []load.Result{{Token: "t", Outcome: spar.OutcomeNotRun}}, want: judge.Verdict{FalseNotRun: 1},
		},
		{
			name:    "completed but not run",
			results: []load.Result{{Token: "t", Outcome: spar.OutcomeCompleted}}, want: judge.Verdict{MissingRuns: 1},
		},
		{
			name: "former owner", runs: []judge.Run{run("", "1", 2, 1), run("", "1", 1, 2), run("", "2", 1, 3)},
			want: judge.Verdict{StaleOwnerRuns: 1},
		},
		{
			name: "zone withdrawn", runs: []judge.Run{run("", "1", 1, 5), run("", "1", 1, 50)},
			windows: []judge.Window{{Zone: "east", FromMs: 2, ToMs: 10}}, want: judge.Verdict{RunsAfterWithdrawal: 1},
		},
		{name: "overload", runs: []judge.Run{overload}, want: judge.Verdict{Overloads: 1}},
		{
			name:    "answers",
			results: []load.Result{{Mismatched: true}, {Truncated: true}, {Lost: true}, {Lost: true, Entry: "down"}},
			want:    judge.Verdict{MismatchedResponses: 1, TruncatedResponses: 1, LostDownloads: 1, EntryLosses: 1},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Assert(t, judge.Evaluate(tc.results, tc.runs, tc.windows, []string{"down"}), qt.Equals, tc.want)
		})
	}
}
