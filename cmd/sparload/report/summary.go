// Package report turns results into the measures and prints them.
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
	histogramMost   = 120_000_000
	histogramDigits = 3
	microsPerMilli  = 1000
)

// Stream is the measures of one stream of requests. Times are in milliseconds.
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
	// LongestWait is the longest time for which one key was not served.
	LongestWait float64 `json:"longest_wait_ms"`
}

// Summary is the measures of one run.
type Summary struct {
	Name    string        `json:"name"`
	Streams []Stream      `json:"streams"`
	Verdict judge.Verdict `json:"verdict"`
	// Imbalance is the most loaded upstream's runs over the mean, for each service.
	Imbalance map[string]float64 `json:"imbalance"`
	// MostCold is the most requests in flight on one backend server in its first seconds.
	MostCold int `json:"most_in_flight_cold"`
	// Churn is the number of changes of owner.
	Churn int `json:"churn"`
}

// Summarize computes the measures of the named streams.
func Summarize(name string, results []load.Result, runs []judge.Run, verdict judge.Verdict) Summary {
	s := Summary{Name: name, Verdict: verdict, Imbalance: imbalance(runs)}

	for _, r := range runs {
		if r.Cold {
			s.MostCold = max(s.MostCold, r.InFlight)
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

// WithChurn returns s with the number of changes of owner.
func (s Summary) WithChurn(n int) Summary {
	s.Churn = n

	return s
}

func summarizeStream(name string, results []load.Result) Stream {
	h := hdrhistogram.New(1, histogramMost, histogramDigits)
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

// longestWait returns the longest time from the moment a request for a key was sent until a
// request for that key, sent then or later, had its answer begun.
func longestWait(results []load.Result) float64 {
	byKey := map[string][]load.Result{}
	for _, r := range results {
		byKey[r.Key] = append(byKey[r.Key], r)
	}

	longest := 0.0

	for _, rs := range byKey {
		slices.SortFunc(rs, func(a, b load.Result) int { return cmp.Compare(a.SentMs, b.SentMs) })

		// Going back in time, served is when the key was next served for a request sent later.
		served := -1.0

		for _, r := range slices.Backward(rs) {
			if answered(r) && (served < 0 || r.FirstMs < served) {
				served = r.FirstMs
			}

			if served >= 0 {
				longest = max(longest, served-r.SentMs)
			}
		}
	}

	return longest
}

// answered reports whether the key's owner gave a final answer. A token whose owner was lost is
// answered by the new owner, truthfully with 409: the key is available.
func answered(r load.Result) bool {
	return r.Completed() || r.Status == http.StatusConflict
}

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
		total, most := 0, 0
		for _, n := range vms {
			total += n
			most = max(most, n)
		}

		out[service] = float64(most) * float64(len(vms)) / float64(total)
	}

	return out
}
