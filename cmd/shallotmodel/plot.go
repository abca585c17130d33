package main

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	shape "gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/shallotrouter/shallotrouter/internal/modeler"
)

// A plot fits the width of a page.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// plotWriter writes plots to a folder. The format is svg or png.
type plotWriter struct{ folder, format string }

// path returns the path of the plot with the given name.
func (p plotWriter) path(format string, args ...any) string {
	return filepath.Join(p.folder, fmt.Sprintf(format, args...)+"."+p.format)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// writeAll writes a plot of the benefit value (worth) against the load, and for each load
// plots of the benefit value over time, by kind of job and by zone.
func (p plotWriter) writeAll(rows []modeler.PolicyResult) error {
	if err := os.MkdirAll(p.folder, 0o755); err != nil {
		return err
	}
	pointsByPolicy := make(map[string]shape.XYs)
	rowsByLoad := make(map[float64][]modeler.PolicyResult)
	for _, r := range rows {
		pointsByPolicy[r.Policy] = append(pointsByPolicy[r.Policy], shape.XY{X: r.Load, Y: r.Benefit})
		rowsByLoad[r.Load] = append(rowsByLoad[r.Load], r)
	}
	for _, r := range rowsByLoad {
		pointsByPolicy["bound"] = append(pointsByPolicy["bound"], shape.XY{X: r[0].Load, Y: r[0].MaxBenefit})
	}
	slices.SortFunc(pointsByPolicy["bound"], func(a, b shape.XY) int { return cmp.Compare(a.X, b.X) })
	if len(rowsByLoad) > 1 {
		if err := writeLineChart(pointsByPolicy, "Worth against load", "load", p.path("load")); err != nil {
			return err
		}
	}
	for load, list := range rowsByLoad {
		if err := p.writeLoad(load, list); err != nil {
			return err
		}
	}
	return nil
}

// writeLoad writes the plots for one load.
func (p plotWriter) writeLoad(load float64, rows []modeler.PolicyResult) error {
	pointsByPolicy := make(map[string]shape.XYs)
	byKind, byZone := make(map[string]map[string]float64), make(map[string]map[string]float64)
	for _, r := range rows {
		for second, benefit := range r.BenefitBySecond {
			pointsByPolicy[r.Policy] = append(pointsByPolicy[r.Policy], shape.XY{X: float64(second), Y: benefit})
		}
		byZone[r.Policy] = r.BenefitByZone
		byKind[r.Policy] = make(map[string]float64)
		for name, k := range r.Kinds {
			byKind[r.Policy][name] = k.Benefit
		}
	}
	if err := writeLineChart(pointsByPolicy, fmt.Sprintf("Worth by second at load %.2f", load), "seconds", p.path("time-%.2f", load)); err != nil {
		return err
	}
	if err := writeBarChart(byKind, fmt.Sprintf("Worth by kind at load %.2f", load), p.path("kinds-%.2f", load)); err != nil {
		return err
	}
	return writeBarChart(byZone, fmt.Sprintf("Worth by zone at load %.2f", load), p.path("zones-%.2f", load))
}

// newPlot returns an empty plot whose vertical axis is the benefit value (worth).
func newPlot(title string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, "worth"
	p.Y.Min, p.Y.Max = 0, 1.02 // keeps a line at 1 visible
	p.Legend.Left = true
	p.Add(shape.NewGrid())
	return p
}

// writeLineChart writes a plot with one line per name.
func writeLineChart(data map[string]shape.XYs, title, xLabel, path string) error {
	p := newPlot(title)
	p.X.Label.Text = xLabel
	for i, name := range sortedKeys(data) {
		line, err := shape.NewLine(data[name])
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// writeBarChart writes a plot with a group of bars per key and one bar per name in each
// group.
func writeBarChart(data map[string]map[string]float64, title, path string) error {
	p := newPlot(title)
	names := sortedKeys(data)
	p.Y.Max, p.Legend.Top = 1.3, true // room for the legend
	p.X.Min, p.X.Max = -0.5, float64(len(data[names[0]]))-0.5
	width := plotWidth / vg.Length(2*(len(names)+1)*len(data[names[0]]))
	for i, name := range names {
		var values shape.Values
		for _, key := range sortedKeys(data[name]) {
			values = append(values, data[name][key])
		}
		chart, err := shape.NewBarChart(values, width)
		if err != nil {
			return err
		}
		chart.Color, chart.Offset = plotutil.Color(i), width*vg.Length(2*i-len(names)+1)/2
		p.Add(chart)
		p.Legend.Add(name, chart)
	}
	p.NominalX(sortedKeys(data[names[0]])...)
	return p.Save(plotWidth, plotHeight, path)
}
