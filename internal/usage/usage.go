// Package usage counts the requests that began in each window of the clock, for
// each organisation and over all entries. Every entry knows the counts of the
// others as of their latest message, so that the death of any entry, also of the
// one that reports, loses no more than what it counted since.
package usage

import (
	"maps"
	"sync"
	"time"

	"buckthornpick/internal/clock"
)

// Windows are counts by number of the window and organisation.
type WindowCounts map[int64]map[string]int

// kept is the number of windows that are kept: a report may come late by some.
const retainedWindows = 6

// Counts holds the counts of all entries. It is safe for concurrent use.
type Counts struct {
	// run names this entry's run.
	runID        string
	windowLength time.Duration
	wall         *clock.Wall

	mu     sync.Mutex
	local  WindowCounts
	remote map[string]WindowCounts // by the run of an entry
}

// NewCounts returns counts of a run for windows of the given length.
func NewCounts(runID string, windowLength time.Duration, wall *clock.Wall) *Counts {
	return &Counts{runID: runID, windowLength: windowLength, wall: wall, local: WindowCounts{}, remote: map[string]WindowCounts{}}
}

// Now returns the number of the present window and the time since its start.
func (c *Counts) CurrentWindow() (window int64, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentWindowLocked()
}

func (c *Counts) currentWindowLocked() (int64, time.Duration) {
	now := c.wall.Now()
	return int64(now / c.windowLength), now % c.windowLength
}

// Began counts a request that began to run now.
func (c *Counts) RecordStart(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.currentWindowLocked()
	if c.local[window] == nil {
		c.local[window] = map[string]int{}
	}
	c.local[window][organisation]++
}

// Own returns a copy of this entry's recent counts.
func (c *Counts) Local() WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.currentWindowLocked()
	deleteExpired(c.local, window)
	return c.local.since(0)
}

// since returns a copy of the windows from first on.
func (w WindowCounts) since(first int64) WindowCounts {
	windows := WindowCounts{}
	for n, counts := range w {
		if n >= first {
			windows[n] = maps.Clone(counts)
		}
	}
	return windows
}

// snapshotWindows is the number of ended windows in a snapshot.
const snapshotWindows = 2

// Snapshot returns the recent counts of all runs, so that they outlive all
// entries.
func (c *Counts) Snapshot() map[string]WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.currentWindowLocked()
	runs := map[string]WindowCounts{}
	add := func(runID string, w WindowCounts) {
		if recent := w.since(window - snapshotWindows); len(recent) > 0 {
			runs[runID] = recent
		}
	}
	add(c.runID, c.local)
	for runID, w := range c.remote {
		add(runID, w)
	}
	return runs
}

// Restore takes a snapshot: for runs that are known too the higher counts hold.
func (c *Counts) Restore(runs map[string]WindowCounts) {
	for runID, windows := range runs {
		if runID != c.runID {
			c.Merge(runID, windows)
		}
	}
}

// Merge takes the counts of another entry's run.
func (c *Counts) Merge(runID string, windows WindowCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.currentWindowLocked()
	existing, ok := c.remote[runID]
	if !ok {
		existing = WindowCounts{}
		c.remote[runID] = existing
	}
	for n, counts := range windows {
		existing.mergeMax(n, counts)
	}
	for runID, windows := range c.remote {
		if deleteExpired(windows, window); len(windows) == 0 {
			delete(c.remote, runID)
		}
	}
}

// raise takes counts of a window, which never fall within a run.
func (w WindowCounts) mergeMax(n int64, counts map[string]int) {
	if w[n] == nil {
		w[n] = map[string]int{}
	}
	for o, count := range counts {
		w[n][o] = max(w[n][o], count)
	}
}

func deleteExpired(windows WindowCounts, now int64) {
	for n := range windows {
		if n < now-retainedWindows {
			delete(windows, n)
		}
	}
}

// Sum returns the counts of all entries for one window.
func (c *Counts) Sum(window int64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]int{}
	for o, n := range c.local[window] {
		sum[o] += n
	}
	for _, windows := range c.remote {
		for o, n := range windows[window] {
			sum[o] += n
		}
	}
	return sum
}
