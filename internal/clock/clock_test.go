package clock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The time of day jumps and jumps back; windows go on by the steady clock.
func TestWallPassesOverStepsThatDoNotLast(t *testing.T) {
	steady, step := time.Hour, time.Duration(0)
	start := time.Unix(1_700_000_000, 0)
	w := NewWall(func() time.Duration { return steady }, func() time.Time { return start.Add(steady + step) })
	at := func() time.Duration { return w.Now() - time.Duration(start.UnixNano()) - steady }
	for _, step = range []time.Duration{0, 2400 * time.Millisecond, 2400 * time.Millisecond, -2 * time.Second, 0} {
		steady += 6 * time.Second
		require.Zero(t, at(), "step %s", step)
	}
	step = 3 * time.Second
	for range 15 {
		steady += 6 * time.Second
		at()
	}
	require.Equal(t, step, at(), "a step that lasts is a correction")
}

func TestBootDoesNotGoBack(t *testing.T) {
	before := Boot()
	require.GreaterOrEqual(t, Boot(), before)
}
