// Package usage counts the requests that began in each window of the clock, for
// each organisation and over all entries. Every entry knows the counts of the
// others as of their latest message, so that the death of any entry, also of the
// one that reports, loses no more than what it counted since.
package usage

import (
	"sync"
	"time"

	"buckthornpick/internal/clock"
)

// Windows are counts by number of the window and organisation.
type Windows map[int64]map[string]int

// kept is the number of windows that are kept: a report may come late by some.
const kept = 6

// Counts holds the counts of all entries. It is safe for concurrent use.
type Counts struct {
	length time.Duration
	wall   *clock.Wall

	mu     sync.Mutex
	own    Windows
	others map[string]Windows // by the run of an entry
}

// NewCounts returns counts for windows of the given length.
func NewCounts(length time.Duration, wall *clock.Wall) *Counts {
	return &Counts{length: length, wall: wall, own: Windows{}, others: map[string]Windows{}}
}

// Now returns the number of the present window and the time since its start.
func (c *Counts) Now() (window int64, into time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nowLocked()
}

func (c *Counts) nowLocked() (int64, time.Duration) {
	now := c.wall.Now()
	return int64(now / c.length), now % c.length
}

// Began counts a request that began to run now.
func (c *Counts) Began(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.nowLocked()
	if c.own[window] == nil {
		c.own[window] = map[string]int{}
	}
	c.own[window][organisation]++
}

// Own returns a copy of this entry's recent counts.
func (c *Counts) Own() Windows {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.nowLocked()
	expire(c.own, window)
	windows := make(Windows, len(c.own))
	for n, counts := range c.own {
		windows[n] = map[string]int{}
		for o, count := range counts {
			windows[n][o] = count
		}
	}
	return windows
}

// Report takes the counts of another entry's run.
func (c *Counts) Report(run string, windows Windows) {
	c.mu.Lock()
	defer c.mu.Unlock()
	window, _ := c.nowLocked()
	known, ok := c.others[run]
	if !ok {
		known = Windows{}
		c.others[run] = known
	}
	for n, counts := range windows {
		known[n] = counts
	}
	for run, windows := range c.others {
		if expire(windows, window); len(windows) == 0 {
			delete(c.others, run)
		}
	}
}

func expire(windows Windows, now int64) {
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
