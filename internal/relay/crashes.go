package relay

import (
	"sync"
	"time"

	"buckthornpick/internal/clock"
)

const (
	// crashLimit is the number of backend server crashes from which on requests with
	// the same content are refused.
	crashLimit = 3
	// crashRetention is how long a content's crashes are kept after the latest one.
	// Callers resend such requests after the server's restart, which takes a few
	// seconds.
	crashRetention = 2 * time.Minute
	// maxCrashRecords limits the number of contents with recorded crashes.
	maxCrashRecords = 4096
)

// Crash reports that a backend server crashed while it ran a request.
type Crash struct {
	// Fingerprint is the hash of the request's content.
	Fingerprint uint64 `msgpack:"c"`
	Server      string `msgpack:"s"`
	// RunID identifies one run of the request at the server, so that a crash that is
	// reported twice counts once.
	RunID string `msgpack:"r"`
}

// CrashTracker counts, by content, the requests that were running when backend
// servers crashed. A content with fewer than crashLimit crashes is cleared once a
// request with it is answered, so that requests that merely ran on the same server
// as the one that caused the crash are not refused. It is safe for concurrent use.
type CrashTracker struct {
	clock clock.Clock

	mu sync.Mutex
	// records are keyed by the fingerprint of the content.
	records map[uint64]*crashRecord
}

// crashRecord holds the crashes of one content.
type crashRecord struct {
	runIDs    map[string]struct{}
	lastCrash time.Duration
}

// NewCrashTracker returns a tracker without crashes.
func NewCrashTracker(c clock.Clock) *CrashTracker {
	return &CrashTracker{clock: c, records: map[uint64]*crashRecord{}}
}

// Record records a crash. It returns the number of crashes of its content and
// whether this one was new.
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

// expireLocked deletes the records that are older than crashRetention, and
// arbitrary ones above maxCrashRecords.
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

// Clear deletes the record of a content that was answered. It reports whether
// there was one, and keeps it if it has reached crashLimit.
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
