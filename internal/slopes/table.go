package slopes

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Series holds the measurements of one quantity at several sizes.
type Series struct {
	// Scenario is the --only argument that repeats the measurement.
	Scenario string `json:"scenario"`
	Quantity string `json:"quantity"`
	Unit     string `json:"unit"`
	// Against names the size, for example "nodes".
	Against string  `json:"against"`
	Points  []Point `json:"points"`
	Line    Line    `json:"line"`
}

// Command returns the command that repeats the measurement.
func (s Series) Command() string { return "buckthornpick-slopes --only " + s.Scenario }

// Results collects series, in the order of their first points.
type Results struct {
	series []*Series
}

// Add adds a point to the series of this scenario and quantity, or starts a
// series with it.
func (r *Results) Add(scenario, quantity, unit, against string, x, y float64) {
	for _, s := range r.series {
		if s.Scenario == scenario && s.Quantity == quantity {
			s.Points = append(s.Points, Point{x, y})
			return
		}
	}
	r.series = append(r.series, &Series{Scenario: scenario, Quantity: quantity, Unit: unit,
		Against: against, Points: []Point{{x, y}}})
}

// Series returns all series with their lines fitted.
func (r *Results) Series() []Series {
	out := make([]Series, 0, len(r.series))
	for _, s := range r.series {
		fitted := *s
		fitted.Line = Fit(s.Points)
		out = append(out, fitted)
	}
	return out
}

// WriteText writes the series as a plain text table.
func WriteText(w io.Writer, series []Series) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tunit\tagainst\tpoints\tintercept\tslope\t± error\tmax residual\tcommand")
	for _, s := range series {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.2g\t%.3g\t%s\n", s.Quantity, s.Unit, s.Against,
			pointsText(s.Points), s.Line.Intercept, s.Line.Slope, s.Line.SlopeError, s.Line.MaxResidual, s.Command())
	}
	return t.Flush()
}

func pointsText(points []Point) string {
	parts := make([]string, 0, len(points))
	for _, p := range points {
		parts = append(parts, fmt.Sprintf("%g:%.4g", p.X, p.Y))
	}
	return strings.Join(parts, " ")
}

// WriteJSON writes the series as indented JSON.
func WriteJSON(w io.Writer, series []Series) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(series)
}
