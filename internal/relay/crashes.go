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
	crashRetention = 2 * time.Minute
	// maxContents bounds the contents remembered.
	maxCrashRecords = 4096
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

	mu      sync.Mutex
	records map[uint64]*crashRecord
}

type crashRecord struct {
	runIDs    map[string]struct{}
	lastCrash time.Duration
}

// NewCrashes returns an empty memory.
func NewCrashTracker(c clock.Clock) *CrashTracker {
	return &CrashTracker{clock: c, records: map[uint64]*crashRecord{}}
}

// Note takes a crash. It returns the number of crashes of its content, and whether
// this one was not known yet.
func (c *CrashTracker) Record(crash Crash) (crashes int, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.expireLocked(now)
	record, ok := c.records[crash.Fingerprint]
	if !ok {
		record = &crashRecord{runIDs: map[string]struct{}{}}
		c.records[crash.Fingerprint] = record
	}
	_, wasKnown := record.runIDs[crash.RunID]
	record.runIDs[crash.RunID] = struct{}{}
	record.lastCrash = now
	return len(record.runIDs), !wasKnown
}

func (c *CrashTracker) expireLocked(now time.Duration) {
	for fingerprint, record := range c.records {
		if now-record.lastCrash > crashRetention || len(c.records) > maxCrashRecords {
			delete(c.records, fingerprint)
		}
	}
}

// Count returns the number of crashes of a content.
func (c *CrashTracker) Count(fingerprint uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if record, ok := c.records[fingerprint]; ok && c.clock()-record.lastCrash <= crashRetention {
		return len(record.runIDs)
	}
	return 0
}

// Answered clears a content below the limit and reports whether it was known.
func (c *CrashTracker) Clear(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.records[fingerprint]
	if !ok || len(record.runIDs) >= crashLimit {
		return false
	}
	delete(c.records, fingerprint)
	return true
}
