package report

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 14
)

var (
	productColor  = color.RGBA{R: 0x2a, G: 0x6f, B: 0xbb, A: 0xff}
	baselineColor = color.RGBA{R: 0xb0, G: 0xb0, B: 0xb0, A: 0xff}
)

// Plot writes one SVG file for each scenario and measure to dir and returns the paths of the files.
func Plot(dir, deployment string, ratios []Ratio) ([]string, error) {
	type id struct{ scenario, measure string }

	groups := map[id][]Ratio{}

	var order []id

	for _, r := range ratios {
		key := id{scenario: r.Scenario, measure: r.Measure}
		if groups[key] == nil {
			order = append(order, key)
		}

		groups[key] = append(groups[key], r)
	}

	files := make([]string, 0, len(order))

	for _, key := range order {
		name := strings.Map(fileRune, deployment+"-"+key.scenario+"-"+key.measure) + ".svg"
		file := filepath.Join(dir, name)

		if err := plotGroup(file, deployment+": "+key.scenario, key.measure, groups[key]); err != nil {
			return files, fmt.Errorf("plot %s: %w", file, err)
		}

		files = append(files, file)
	}

	return files, nil
}

// fileRune returns r if it is safe in a file name, and a hyphen otherwise.
func fileRune(r rune) rune {
	switch {
	case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '-':
		return r
	default:
		return '-'
	}
}

// plotGroup draws the product's and the baseline's bars for each stream.
func plotGroup(file, title, measure string, ratios []Ratio) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = measure + " in ms (median of runs)"
	p.Y.Min = 0
	p.Legend.Top = true

	names := make([]string, len(ratios))
	product, baseline := make(plotter.Values, len(ratios)), make(plotter.Values, len(ratios))

	for i, r := range ratios {
		names[i], product[i], baseline[i] = r.Stream, r.Product, r.Baseline
	}

	for _, series := range []struct {
		name   string
		values plotter.Values
		color  color.Color
		offset vg.Length
	}{
		{name: "product", values: product, color: productColor, offset: -barWidth / 2},
		{name: "baseline", values: baseline, color: baselineColor, offset: barWidth / 2},
	} {
		bars, err := plotter.NewBarChart(series.values, vg.Points(barWidth))
		if err != nil {
			return err
		}

		bars.Color, bars.Offset = series.color, series.offset
		p.Add(bars)
		p.Legend.Add(series.name, bars)
	}

	p.NominalX(names...)

	return p.Save(plotWidth, plotHeight, file)
}
