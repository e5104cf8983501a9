package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/clock"
)

func TestCountsOfAllEntriesOutliveTheirEntries(t *testing.T) {
	now := time.Duration(0)
	wall := clock.NewWall(func() time.Duration { return now }, func() time.Time { return time.Unix(1000, 0).Add(now) })
	c := NewCounts(5*time.Second, wall)
	c.Began("o")
	window, _ := c.Now()
	c.Report("b/1", Windows{window: {"o": 2, "p": 1}})
	c.Report("b/1", Windows{window: {"o": 3, "p": 1}}) // totals, not differences
	c.Report("b/2", Windows{window: {"o": 10}})        // b was started again
	require.Equal(t, map[string]int{"o": 14, "p": 1}, c.Sum(window))
	own := c.Own()
	own[window]["o"] = 99
	require.Equal(t, 14, c.Sum(window)["o"], "Own is a copy")
	now += (kept + 2) * 5 * time.Second
	c.Report("c/1", Windows{})
	require.Empty(t, c.Own())
	require.Empty(t, c.others, "old runs are dropped")
}
