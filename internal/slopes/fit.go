package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a least-squares fit y = Intercept + Slope * x.
type Line struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of Slope; 0 for fewer than 3 points.
	SlopeError float64 `json:"slopeError"`
	// MaxResidual is the largest vertical distance of a point from the line, in
	// the unit of y.
	MaxResidual float64 `json:"maxResidual"`
}

// minErrorPoints is the least number of points that give a standard error: the
// fit of two parameters must leave a degree of freedom.
const minErrorPoints = 3

// Fit fits a line to points. With fewer than two distinct sizes the line is
// constant, at the mean of the values.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	var line Line
	if stat.Variance(xs, nil) > 0 {
		line.Intercept, line.Slope = stat.LinearRegression(xs, ys, nil, false)
	} else {
		line.Intercept = stat.Mean(ys, nil)
	}
	squares := 0.0
	for i := range xs {
		residual := ys[i] - line.At(xs[i])
		line.MaxResidual = math.Max(line.MaxResidual, math.Abs(residual))
		squares += residual * residual
	}
	if n := len(xs); n >= minErrorPoints && line.Slope != 0 {
		spread := stat.Variance(xs, nil) * float64(n-1)
		line.SlopeError = math.Sqrt(squares / float64(n-2) / spread)
	}
	return line
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
