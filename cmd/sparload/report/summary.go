// Package report computes measurements from the results of requests, prints them and plots them.
package report

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	spar "sardinespar.example/spar"
	"sardinespar.example/spar/cmd/sparload/judge"
	"sardinespar.example/spar/cmd/sparload/load"
)

const (
	histogramMaxMicros = 120_000_000
	histogramDigits    = 3
	microsPerMilli     = 1000
)

// Stream holds the measurements of one stream of requests. Times are in milliseconds.
type Stream struct {
	Name      string  `json:"name"`
	Sent      int     `json:"sent"`
	Completed int     `json:"completed"`
	NotRun    int     `json:"not_run"`
	Unknown   int     `json:"unknown"`
	Resent    int     `json:"resent"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	// LongestWait is the longest time for which a key was unavailable.
	LongestWait float64 `json:"longest_wait_ms"`
}

// Summary holds the measurements of one experiment.
type Summary struct {
	Name    string        `json:"name"`
	Streams []Stream      `json:"streams"`
	Verdict judge.Verdict `json:"verdict"`
	// Imbalance is the number of runs of the most loaded upstream divided by the mean, per service.
	Imbalance map[string]float64 `json:"imbalance"`
	// MaxColdInFlight is the largest number of requests in flight on a backend server while it was cold.
	MaxColdInFlight int `json:"most_in_flight_cold"`
	// OwnerChanges is the number of times that a slot changed its owner.
	OwnerChanges int `json:"churn"`
}

// Summarize computes the measurements of an experiment, grouped by stream.
func Summarize(name string, results []load.Result, runs []judge.Run, verdict judge.Verdict) Summary {
	s := Summary{Name: name, Verdict: verdict, Imbalance: imbalance(runs)}

	for _, r := range runs {
		if r.Cold {
			s.MaxColdInFlight = max(s.MaxColdInFlight, r.InFlight)
		}
	}

	byStream := map[string][]load.Result{}

	for _, r := range results {
		byStream[r.Traffic] = append(byStream[r.Traffic], r)
	}

	for stream, rs := range byStream {
		s.Streams = append(s.Streams, summarizeStream(stream, rs))
	}

	slices.SortFunc(s.Streams, func(a, b Stream) int { return cmp.Compare(a.Name, b.Name) })

	return s
}

// WithOwnerChanges returns a copy of s with the number of owner changes.
func (s Summary) WithOwnerChanges(n int) Summary {
	s.OwnerChanges = n

	return s
}

func summarizeStream(name string, results []load.Result) Stream {
	h := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	s := Stream{Name: name, Sent: len(results), LongestWait: longestWait(results)}

	for _, r := range results {
		if r.Sends > 1 {
			s.Resent++
		}

		switch {
		case r.Completed():
			s.Completed++

			_ = h.RecordValue(max(1, int64(r.LatencyMs()*microsPerMilli)))
		case r.Outcome == spar.OutcomeNotRun:
			s.NotRun++
		default:
			s.Unknown++
		}
	}

	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / microsPerMilli }
	s.P50, s.P99, s.P999 = quantile(50), quantile(99), quantile(99.9)

	return s
}

// longestWait returns the longest time from the moment a request for a key was sent until the response
// to this request, or to a later one for the same key, began.
func longestWait(results []load.Result) float64 {
	byKey := map[string][]load.Result{}
	for _, r := range results {
		byKey[r.Key] = append(byKey[r.Key], r)
	}

	longest := 0.0

	for _, rs := range byKey {
		slices.SortFunc(rs, func(a, b load.Result) int { return cmp.Compare(a.SentMs, b.SentMs) })

		// While the requests are visited from the last to the first, answeredMs is the earliest time
		// at which this or a later request was answered.
		answeredMs := -1.0

		for _, r := range slices.Backward(rs) {
			if answered(r) && (answeredMs < 0 || r.FirstMs < answeredMs) {
				answeredMs = r.FirstMs
			}

			if answeredMs >= 0 {
				longest = max(longest, answeredMs-r.SentMs)
			}
		}
	}

	return longest
}

// answered reports whether the key's owner gave a final response. If the owner that issued a token is
// lost, the new owner responds with 409, which also shows that the key is available.
func answered(r load.Result) bool {
	return r.Completed() || r.Status == http.StatusConflict
}

// imbalance returns the number of runs of the most loaded upstream divided by the mean, per service.
func imbalance(runs []judge.Run) map[string]float64 {
	counts := map[string]map[string]int{}

	for _, r := range runs {
		if counts[r.Service()] == nil {
			counts[r.Service()] = map[string]int{}
		}

		counts[r.Service()][r.VM]++
	}

	out := map[string]float64{}

	for service, vms := range counts {
		total, maxRuns := 0, 0
		for _, n := range vms {
			total += n
			maxRuns = max(maxRuns, n)
		}

		out[service] = float64(maxRuns) * float64(len(vms)) / float64(total)
	}

	return out
}
