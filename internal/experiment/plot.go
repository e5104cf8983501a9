package experiment

import (
	"fmt"
	"image/color"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// chart defines a bar chart, drawn once per site: one series per policy, one
// group of bars per scenario.
type chart struct {
	file, title string
	metric      func(Metrics) float64
	// lowerBound, if not nil, is drawn as one more series.
	lowerBound func(Metrics) float64
}

var charts = []chart{
	{"cost", "Cost per 1,000 requests within the target", costOf, func(m Metrics) float64 { return m.MinCost }},
	{"computed", "Prompt tokens computed per prompt token", computedRatioOf, func(m Metrics) float64 { return m.MinComputedRatio }},
	{"first-p95", "First token p95, ms", func(m Metrics) float64 { return m.FirstP95 }, nil},
	{"goodput", "Requests within the target per second", func(m Metrics) float64 { return m.Goodput }, nil},
}

// palette holds the colours of the series; the last one is the lower bound's.
var palette = []color.RGBA{
	{158, 158, 158, 255}, {121, 85, 72, 255}, {255, 152, 0, 255}, {63, 81, 181, 255},
	{0, 150, 136, 255}, {139, 195, 74, 255}, {0, 0, 0, 255},
}

// WritePlots writes one PNG file per site and chart to directory.
func WritePlots(directory string, groups []Group) error {
	var sites []string
	for _, g := range groups {
		if !slices.Contains(sites, g.Site) {
			sites = append(sites, g.Site)
		}
	}
	for _, site := range sites {
		for _, c := range charts {
			if err := c.write(directory, site, groups); err != nil {
				return fmt.Errorf("plot %s of %s: %w", c.file, site, err)
			}
		}
	}
	return nil
}

func (c chart) write(directory, site string, groups []Group) error {
	p := plot.New()
	p.Title.Text = site + ": " + c.title
	p.Y.Min = 0
	p.Legend.Top = true
	scenarios, series := c.series(site, groups)
	width := vg.Points(60 / float64(len(series)))
	for i, s := range series {
		bars, err := plotter.NewBarChart(s.values, width)
		if err != nil {
			return err
		}
		bars.Color = palette[i%len(palette)]
		bars.LineStyle.Width = 0
		bars.Offset = width * vg.Length(float64(i)-float64(len(series)-1)/2)
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	p.NominalX(scenarios...)
	size := vg.Length(len(scenarios))*vg.Points(72) + vg.Points(100)
	return p.Save(size, 4*vg.Inch, filepath.Join(directory, site+"-"+c.file+".png"))
}

type series struct {
	name   string
	values plotter.Values
}

// series returns a site's scenarios and, for each policy, the medians over the
// seeds in the order of these scenarios.
func (c chart) series(site string, groups []Group) (scenarios []string, all []series) {
	var bound series
	for _, g := range groups {
		if g.Site != site {
			continue
		}
		if !slices.Contains(scenarios, g.Scenario) {
			scenarios = append(scenarios, g.Scenario)
			if c.lowerBound != nil {
				bound.values = append(bound.values, g.Spread(c.lowerBound).Median)
			}
		}
		i := slices.IndexFunc(all, func(s series) bool { return s.name == g.Policy })
		if i < 0 {
			all = append(all, series{name: g.Policy})
			i = len(all) - 1
		}
		all[i].values = append(all[i].values, g.Spread(c.metric).Median)
	}
	if c.lowerBound != nil {
		bound.name = "bound"
		all = append(all, bound)
	}
	return scenarios, all
}
