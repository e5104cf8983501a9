package slopes

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name                       string
		points                     []Point
		intercept, slope, residual float64
		hasSpread                  bool
	}{
		{name: "nothing"},
		{name: "one size is a constant", points: []Point{{5, 2}, {5, 4}}, intercept: 3, residual: 1},
		{name: "exact line", points: []Point{{1, 5}, {2, 7}, {4, 11}}, intercept: 3, slope: 2},
		{name: "scatter", points: []Point{{0, 0}, {1, 2}, {2, 1}, {3, 3}}, intercept: 0.3, slope: 0.8, residual: 0.9, hasSpread: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			line := Fit(c.points)
			require.InDelta(t, c.intercept, line.Intercept, 1e-9)
			require.InDelta(t, c.slope, line.Slope, 1e-9)
			require.InDelta(t, c.residual, line.MaxResidual, 1e-9)
			require.Equal(t, c.hasSpread, line.SlopeError > 1e-9)
		})
	}
}

// TestFitError checks the standard error against the textbook value: residuals
// -0.3, 0.9, -0.9, 0.3 give sqrt(1.8/2/5).
func TestFitError(t *testing.T) {
	line := Fit([]Point{{0, 0}, {1, 2}, {2, 1}, {3, 3}})
	require.InDelta(t, 0.4242640687, line.SlopeError, 1e-9)
}
