package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The wall clock is stepped and stepped back. If Wall followed such steps, usage
// windows would start or end at the wrong time.
func TestWallIgnoresTemporarySteps(t *testing.T) {
	monotonic, step := time.Hour, time.Duration(0)
	start := time.Unix(1_700_000_000, 0)
	w := NewWall(func() time.Duration { return monotonic }, func() time.Time { return start.Add(monotonic + step) })
	deviation := func() time.Duration { return w.Now() - time.Duration(start.UnixNano()) - monotonic }
	for _, step = range []time.Duration{0, 2400 * time.Millisecond, 2400 * time.Millisecond, -2 * time.Second, 0} {
		monotonic += 6 * time.Second
		require.Zero(t, deviation(), "step %s", step)
	}
	step = 3 * time.Second
	for range 15 {
		monotonic += 6 * time.Second
		deviation()
	}
	require.Equal(t, step, deviation(), "a step that persists is adopted")
}

func TestBootDoesNotGoBack(t *testing.T) {
	before := Boot()
	require.GreaterOrEqual(t, Boot(), before)
}
