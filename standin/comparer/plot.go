package comparer

import (
	"image/color"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 9 * vg.Millimeter
)

// chart is a bar chart of one result of every policy on one scenario.
type chart struct {
	file     string
	scenario string
	title    string
	value    func(Result) float64
	// bound is the height of a horizontal line; nil draws none.
	bound func(Row) float64
}

func charts() []chart {
	return []chart{
		{
			file: "stalls", scenario: "steady", title: "Share of requests that wait for a load (line: unavoidable)",
			value: func(r Result) float64 { return r.StallShare }, bound: func(r Row) float64 { return r.Bound.StallShare },
		},
		{
			file: "crest", scenario: "crest", title: "Urgent work in time at a crest of 3 times the mean (line: what the store allows)",
			value: func(r Result) float64 { return r.UrgentInTimeAtPeak }, bound: func(r Row) float64 { return r.Bound.InTimeAtPeak },
		},
		{file: "long", scenario: "long jobs", title: "p99 of first tokens of short work beside long jobs, s", value: func(r Result) float64 { return r.FirstP99 }},
		{file: "stragglers", scenario: "2 stragglers", title: "p99 of first tokens with 2 stragglers, s", value: func(r Result) float64 { return r.FirstP99 }},
	}
}

// Draw writes the plots for a deployment as SVG files to a folder.
func (rep *Report) Draw(deployment, dir string) error {
	for _, c := range charts() {
		if err := rep.draw(c, deployment, dir); err != nil {
			return errors.Wrapf(err, "draw %s", c.file)
		}
	}
	return nil
}

func (rep *Report) draw(c chart, deployment, dir string) error {
	var values plotter.Values
	var names []string
	var bound float64
	for _, r := range rep.Rows {
		if r.Deployment != deployment || r.Scenario != c.scenario {
			continue
		}
		values = append(values, c.value(r.Result))
		names = append(names, strings.ReplaceAll(r.Policy, " ", "\n"))
		if c.bound != nil {
			bound = c.bound(r)
		}
	}
	if len(values) == 0 {
		return nil
	}
	p := plot.New()
	p.Title.Text = c.title
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color = color.RGBA{R: 70, G: 110, B: 160, A: 255}
	p.Add(bars)
	if c.bound != nil {
		line := plotter.NewFunction(func(float64) float64 { return bound })
		line.Color = color.RGBA{R: 200, A: 255}
		p.Add(line)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, c.file+".svg"))
}
