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
const kept = 6

// Counts holds the counts of all entries. It is safe for concurrent use.
type Counts struct {
	// run names this entry's run.
	run    string
	length time.Duration
	wall   *clock.Wall

	mu     sync.Mutex
	own    WindowCounts
	others map[string]WindowCounts // by the run of an entry
}

// NewCounts returns counts of a run for windows of the given length.
func NewCounts(run string, length time.Duration, wall *clock.Wall) *Counts {
	return &Counts{run: run, length: length, wall: wall, own: WindowCounts{}, others: map[string]WindowCounts{}}
}

// Now returns the number of the present window and the time since its start.
func (c *Counts) CurrentWindow() (window int64, into time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nowLocked()
}

func (c *Counts) nowLocked() (int64, time.Duration) {
	now := c.wall.Now()
	return int64(now / c.length), now % c.length
}

// Began counts a request that began to run now.
func (c *Counts) RecordStart(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.nowLocked()
	if c.own[window] == nil {
		c.own[window] = map[string]int{}
	}
	c.own[window][organisation]++
}

// Own returns a copy of this entry's recent counts.
func (c *Counts) Local() WindowCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.nowLocked()
	expire(c.own, window)
	return c.own.since(0)
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
	window, _ := c.nowLocked()
	runs := map[string]WindowCounts{}
	add := func(run string, w WindowCounts) {
		if recent := w.since(window - snapshotWindows); len(recent) > 0 {
			runs[run] = recent
		}
	}
	add(c.run, c.own)
	for run, w := range c.others {
		add(run, w)
	}
	return runs
}

// Restore takes a snapshot: for runs that are known too the higher counts hold.
func (c *Counts) Restore(runs map[string]WindowCounts) {
	for run, windows := range runs {
		if run != c.run {
			c.Merge(run, windows)
		}
	}
}

// Merge takes the counts of another entry's run.
func (c *Counts) Merge(run string, windows WindowCounts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.nowLocked()
	known, ok := c.others[run]
	if !ok {
		known = WindowCounts{}
		c.others[run] = known
	}
	for n, counts := range windows {
		known.raise(n, counts)
	}
	for run, windows := range c.others {
		if expire(windows, window); len(windows) == 0 {
			delete(c.others, run)
		}
	}
}

// raise takes counts of a window, which never fall within a run.
func (w WindowCounts) raise(n int64, counts map[string]int) {
	if w[n] == nil {
		w[n] = map[string]int{}
	}
	for o, count := range counts {
		w[n][o] = max(w[n][o], count)
	}
}

func expire(windows WindowCounts, now int64) {
	for n := range windows {
		if n < now-kept {
			delete(windows, n)
		}
	}
}

// Sum returns the counts of all entries for one window.
func (c *Counts) Sum(window int64) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := map[string]int{}
	for o, n := range c.own[window] {
		sum[o] += n
	}
	for _, windows := range c.others {
		for o, n := range windows[window] {
			sum[o] += n
		}
	}
	return sum
}
