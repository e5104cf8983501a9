// Package usage counts the requests that started to run, by organisation and by
// window of the wall clock, at all entries of a site. Every entry holds the counts
// of the others as of their latest message, so that the crash of an entry, also of
// the one that reports the usage, loses only what it counted since that message.
package usage

import (
	"maps"
	"sync"
	"time"

	"buckthornpick/internal/clock"
)

// WindowCounts holds counts of requests by number of the window and organisation.
type WindowCounts map[int64]map[string]int

// retainedWindows is the number of past windows that are kept, since a report may
// be several windows late.
const retainedWindows = 6

// Counts holds the usage counts of all entries. It is safe for concurrent use.
type Counts struct {
	// runID identifies this run of the entry's process.
	runID        string
	windowLength time.Duration
	wall         *clock.Wall

	mu     sync.Mutex
	local  WindowCounts
	remote map[string]WindowCounts // by run ID
}

// NewCounts returns the empty counts of a run with windows of the given length.
func NewCounts(runID string, windowLength time.Duration, wall *clock.Wall) *Counts {
	return &Counts{runID: runID, windowLength: windowLength, wall: wall, local: WindowCounts{}, remote: map[string]WindowCounts{}}
}

// CurrentWindow returns the number of the current window and the time since its
// start.
func (c *Counts) CurrentWindow() (window int64, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentWindowLocked()
}

// currentWindowLocked is CurrentWindow with the mutex held.
func (c *Counts) currentWindowLocked() (int64, time.Duration) { return c.windowBeforeLocked(0) }

// WindowBefore returns the number of the window that was current some time ago, and the
// time since its start then.
func (c *Counts) WindowBefore(ago time.Duration) (window int64, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.windowBeforeLocked(ago)
}

func (c *Counts) windowBeforeLocked(ago time.Duration) (int64, time.Duration) {
	at := c.wall.Now() - ago
	return int64(at / c.windowLength), at % c.windowLength
}

// RecordStart counts a request that starts to run now.
func (c *Counts) RecordStart(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.currentWindowLocked()
	if c.local[window] == nil {
		c.local[window] = map[string]int{}
	}
	c.local[window][organisation]++
}

// Local returns a copy of this entry's own counts of the retained windows.
func (c *Counts) Local() WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.currentWindowLocked()
	deleteExpired(c.local, window)
	return c.local.since(0)
}

// since returns a copy of the counts from window first on.
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

// Snapshot returns the recent counts by run ID. It is stored, so that the counts
// survive a restart of all entries.
func (c *Counts) Snapshot() map[string]WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.currentWindowLocked()
	runs := map[string]WindowCounts{}
	add := func(runID string, counts WindowCounts) {
		if recent := counts.since(window - snapshotWindows); len(recent) > 0 {
			runs[runID] = recent
		}
	}
	add(c.runID, c.local)
	for runID, counts := range c.remote {
		add(runID, counts)
	}
	return runs
}

// Restore merges a snapshot into the counts.
func (c *Counts) Restore(runs map[string]WindowCounts) {
	for runID, windows := range runs {
		c.Merge(runID, windows)
	}
}

// Merge adds the counts of another entry's run. Of two counts of the same window
// the higher one is kept. Windows that are no longer retained are deleted. Counts of
// this run that come back are ignored.
func (c *Counts) Merge(runID string, windows WindowCounts) {
	if runID == c.runID {
		return
	}
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

// mergeMax raises the counts of window n to the given ones. The counts of a run
// never decrease, so the higher ones are the later ones.
func (w WindowCounts) mergeMax(n int64, counts map[string]int) {
	if w[n] == nil {
		w[n] = map[string]int{}
	}
	for organisation, count := range counts {
		w[n][organisation] = max(w[n][organisation], count)
	}
}

// deleteExpired deletes the windows that are no longer retained in window now.
func deleteExpired(windows WindowCounts, now int64) {
	for n := range windows {
		if n < now-retainedWindows {
			delete(windows, n)
		}
	}
}

// Sum returns the counts of all entries for one window, by organisation.
func (c *Counts) Sum(window int64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]int{}
	for organisation, count := range c.local[window] {
		sum[organisation] += count
	}
	for _, windows := range c.remote {
		for organisation, count := range windows[window] {
			sum[organisation] += count
		}
	}
	return sum
}
