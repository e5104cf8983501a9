package relay

import (
	"sync"
	"time"

	"buckthornpick/internal/clock"
)

const (
	// crashLimit is the number of crashes of backend servers after which a
	// content is refused.
	crashLimit = 3
	// crashMemory is how long a content's crashes are remembered: such requests
	// come again after the server's restart, which takes some seconds.
	crashMemory = 2 * time.Minute
	// maxContents bounds the contents remembered.
	maxContents = 4096
)

// Crash reports that a backend server crashed while it ran a content.
type Crash struct {
	Fingerprint uint64 `msgpack:"c"`
	Server      string `msgpack:"s"`
	// Run names the run of the content, so that a crash reported twice counts once.
	RunID string `msgpack:"r"`
}

// Crashes remembers contents that were running when backend servers crashed. A
// content that is answered is cleared, so that requests which merely shared a
// server with the culprit go on. It is safe for concurrent use.
type CrashTracker struct {
	clock clock.Clock

	mu       sync.Mutex
	contents map[uint64]*content
}

type content struct {
	runs map[string]struct{}
	last time.Duration
}

// NewCrashes returns an empty memory.
func NewCrashTracker(c clock.Clock) *CrashTracker {
	return &CrashTracker{clock: c, contents: map[uint64]*content{}}
}

// Note takes a crash. It returns the number of crashes of its content, and whether
// this one was not known yet.
func (c *CrashTracker) Record(crash Crash) (crashes int, isNews bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.expireLocked(now)
	known, ok := c.contents[crash.Fingerprint]
	if !ok {
		known = &content{runs: map[string]struct{}{}}
		c.contents[crash.Fingerprint] = known
	}
	_, wasKnown := known.runs[crash.RunID]
	known.runs[crash.RunID] = struct{}{}
	known.last = now
	return len(known.runs), !wasKnown
}

func (c *CrashTracker) expireLocked(now time.Duration) {
	for id, known := range c.contents {
		if now-known.last > crashMemory || len(c.contents) > maxContents {
			delete(c.contents, id)
		}
	}
}

// Count returns the number of crashes of a content.
func (c *CrashTracker) Count(id uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.contents[id]; ok && c.clock()-known.last <= crashMemory {
		return len(known.runs)
	}
	return 0
}

// Answered clears a content below the limit and reports whether it was known.
func (c *CrashTracker) Clear(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.contents[id]
	if !ok || len(known.runs) >= crashLimit {
		return false
	}
	delete(c.contents, id)
	return true
}
