package usage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/clock"
)

func TestCountsOfEndedRunsAreKept(t *testing.T) {
	now := time.Duration(0)
	wall := clock.NewWall(func() time.Duration { return now }, func() time.Time { return time.Unix(1000, 0).Add(now) })
	c := NewCounts("a/1", 5*time.Second, wall)
	c.RecordStart("o")
	window, _ := c.CurrentWindow()
	c.Merge("b/1", WindowCounts{window: {"o": 2, "p": 1}})
	c.Merge("b/1", WindowCounts{window: {"o": 3, "p": 1}}) // reports are totals and not increments
	c.Merge("b/2", WindowCounts{window: {"o": 10}})        // b was restarted
	require.Equal(t, map[string]int{"o": 14, "p": 1}, c.Sum(window))
	own := c.Local()
	own[window]["o"] = 99
	require.Equal(t, 14, c.Sum(window)["o"], "Local returns a copy")
	now += (retainedWindows + 2) * 5 * time.Second
	c.Merge("c/1", WindowCounts{})
	require.Empty(t, c.Local())
	require.Empty(t, c.remote, "runs without retained windows are deleted")
}

// All entries are restarted. An entry that takes over the usage report restores
// the latest snapshot.
func TestSnapshotRestoresCountsAfterRestartOfAllEntries(t *testing.T) {
	now := time.Duration(0)
	wall := func() *clock.Wall {
		return clock.NewWall(func() time.Duration { return now }, func() time.Time { return time.Unix(1000, 0).Add(now) })
	}
	a := NewCounts("a/1", 5*time.Second, wall())
	window, _ := a.CurrentWindow()
	a.RecordStart("o")
	a.Merge("b/1", WindowCounts{window: {"o": 2}, window - 4: {"o": 50}})
	snapshot := a.Snapshot()
	a.RecordStart("o")
	restarted := NewCounts("a/2", 5*time.Second, wall())
	restarted.RecordStart("o")
	restarted.Merge("b/1", WindowCounts{window: {"o": 5}}) // b was not restarted and has counted further requests
	restarted.Restore(snapshot)
	require.Equal(t, map[string]int{"o": 1 + 1 + 5}, restarted.Sum(window))
	require.Empty(t, restarted.Sum(window-4))
}

// A hub may receive its own counts from an entry that took it for one of its zone.
func TestOwnCountsThatComeBackAreNotCountedTwice(t *testing.T) {
	c := NewCounts("a/1", 5*time.Second, clock.NewWall(clock.Boot, time.Now))
	c.RecordStart("o")
	window, _ := c.CurrentWindow()
	c.Merge("a/1", c.Local())
	require.Equal(t, map[string]int{"o": 1}, c.Sum(window))
}
