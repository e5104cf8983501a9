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
	c := NewCounts("a/1", 5*time.Second, wall)
	c.Began("o")
	window, _ := c.Now()
	c.Merge("b/1", Windows{window: {"o": 2, "p": 1}})
	c.Merge("b/1", Windows{window: {"o": 3, "p": 1}}) // totals, not differences
	c.Merge("b/2", Windows{window: {"o": 10}})        // b was started again
	require.Equal(t, map[string]int{"o": 14, "p": 1}, c.Sum(window))
	own := c.Own()
	own[window]["o"] = 99
	require.Equal(t, 14, c.Sum(window)["o"], "Own is a copy")
	now += (kept + 2) * 5 * time.Second
	c.Merge("c/1", Windows{})
	require.Empty(t, c.Own())
	require.Empty(t, c.others, "old runs are dropped")
}

// All entries die; the next holder goes on from the latest snapshot.
func TestSnapshotBringsCountsOverARestartOfAll(t *testing.T) {
	now := time.Duration(0)
	wall := func() *clock.Wall {
		return clock.NewWall(func() time.Duration { return now }, func() time.Time { return time.Unix(1000, 0).Add(now) })
	}
	a := NewCounts("a/1", 5*time.Second, wall())
	window, _ := a.Now()
	a.Began("o")
	a.Merge("b/1", Windows{window: {"o": 2}, window - 4: {"o": 50}})
	snapshot := a.Snapshot()
	a.Began("o")
	next := NewCounts("a/2", 5*time.Second, wall())
	next.Began("o")
	next.Merge("b/1", Windows{window: {"o": 5}}) // b lives and has counted on
	next.Restore(snapshot)
	require.Equal(t, map[string]int{"o": 1 + 1 + 5}, next.Sum(window))
	require.Empty(t, next.Sum(window-4))
}
