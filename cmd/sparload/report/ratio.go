package report

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Pair holds the measurements of a scenario with the product's settings and with the baseline's, under the
// same traffic.
type Pair struct {
	Scenario string  `json:"scenario"`
	Product  Summary `json:"product"`
	Baseline Summary `json:"baseline"`
}

// Ratio compares one measure of one stream over several runs: the product's value divided by the
// baseline's. A ratio below 1 means that the product is better.
type Ratio struct {
	Scenario string  `json:"scenario"`
	Stream   string  `json:"stream"`
	Measure  string  `json:"measure"`
	Runs     int     `json:"runs"`
	Min      float64 `json:"least"`
	Median   float64 `json:"median"`
	Max      float64 `json:"most"`
	// Product and Baseline are the medians of the measure itself, in milliseconds.
	Product  float64 `json:"product_ms"`
	Baseline float64 `json:"baseline_ms"`
}

// measures are the measures of a stream that Ratios compares.
var measures = []struct {
	name string
	of   func(Stream) float64
}{
	{name: "p99", of: func(s Stream) float64 { return s.P99 }},
	{name: "longest wait", of: func(s Stream) float64 { return s.LongestWait }},
}

// Ratios returns the ratios of all streams of all scenarios, sorted by scenario, measure and stream.
func Ratios(pairs []Pair) []Ratio {
	type id struct{ scenario, stream, measure string }

	values := map[id][][2]float64{}

	for _, p := range pairs {
		for _, s := range p.Product.Streams {
			b, ok := p.Baseline.stream(s.Name)
			if !ok {
				continue
			}

			for _, m := range measures {
				key := id{scenario: p.Scenario, stream: s.Name, measure: m.name}
				values[key] = append(values[key], [2]float64{m.of(s), m.of(b)})
			}
		}
	}

	ratios := make([]Ratio, 0, len(values))

	for key, vs := range values {
		r := Ratio{Scenario: key.scenario, Stream: key.stream, Measure: key.measure, Runs: len(vs)}
		quotients := make([]float64, len(vs))
		product, baseline := make([]float64, len(vs)), make([]float64, len(vs))

		for i, v := range vs {
			quotients[i] = v[0] / max(v[1], 1e-9)
			product[i], baseline[i] = v[0], v[1]
		}

		r.Min, r.Median, r.Max = slices.Min(quotients), median(quotients), slices.Max(quotients)
		r.Product, r.Baseline = median(product), median(baseline)
		ratios = append(ratios, r)
	}

	slices.SortFunc(ratios, func(a, b Ratio) int {
		return cmp.Or(cmp.Compare(a.Scenario, b.Scenario), cmp.Compare(a.Measure, b.Measure),
			cmp.Compare(a.Stream, b.Stream))
	})

	return ratios
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))

	return sorted[len(sorted)/2]
}

func (s Summary) stream(name string) (Stream, bool) {
	i := slices.IndexFunc(s.Streams, func(t Stream) bool { return t.Name == name })
	if i < 0 {
		return Stream{}, false
	}

	return s.Streams[i], true
}

// PrintRatios writes ratios as a table.
func PrintRatios(w io.Writer, ratios []Ratio) error {
	out := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', tabwriter.AlignRight)

	fmt.Fprintln(out, "scenario\tstream\tmeasure\tproduct ms\tbaseline ms\tratio\tmin\tmax\truns\t")

	for _, r := range ratios {
		fmt.Fprintf(out, "%s\t%s\t%s\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%d\t\n", r.Scenario, r.Stream, r.Measure,
			r.Product, r.Baseline, r.Median, r.Min, r.Max, r.Runs)
	}

	return out.Flush()
}
