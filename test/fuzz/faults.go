package fuzz

import (
	"time"

	"buckthornpick/internal/standin/site"
)

// faults holds the faults of the network and the platform that the harness has
// set, and when entries were last affected by them.
type faults struct {
	partitionedZones map[[2]string]bool
	faultyHosts      map[string]bool // partitioned or paused hosts, by ID
	isCloudDown      bool
	isStoreFaulty    bool
	// lastCloudUnreachable is the last time at which the entry could not reach
	// the cloud API, lastStoreUnreachable the last time for the store.
	lastCloudUnreachable, lastStoreUnreachable map[*site.Entry]time.Time
	// lastHostFault is the last time at which the host was partitioned or
	// paused.
	lastHostFault map[string]time.Time
}

func newFaults() faults {
	return faults{
		partitionedZones: map[[2]string]bool{}, faultyHosts: map[string]bool{},
		lastHostFault:        map[string]time.Time{},
		lastCloudUnreachable: map[*site.Entry]time.Time{}, lastStoreUnreachable: map[*site.Entry]time.Time{},
	}
}

// isPartitioned reports whether the zones are partitioned from each other.
func (f *faults) isPartitioned(a, b string) bool {
	return f.partitionedZones[[2]string{a, b}] || f.partitionedZones[[2]string{b, a}]
}

// updateFaults applies a change of the faults and records which entries cannot
// reach the platform before or after it.
func (h *harness) updateFaults(apply func(*faults)) {
	entries := h.site.Entries()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordReachabilityLocked(entries)
	apply(&h.faults)
	h.recordReachabilityLocked(entries)
}

// recordReachabilityLocked updates the last times of faults to now for all hosts
// and entries with a fault. The caller holds h.mu.
func (h *harness) recordReachabilityLocked(entries []*site.Entry) {
	now := time.Now()
	for id := range h.faults.faultyHosts {
		h.faults.lastHostFault[id] = now
	}
	for _, e := range entries {
		reachesPlatform := h.faults.reachesPlatform(e, entries)
		if !reachesPlatform || h.faults.isCloudDown {
			h.faults.lastCloudUnreachable[e] = now
		}
		if !reachesPlatform || h.faults.isStoreFaulty {
			h.faults.lastStoreUnreachable[e] = now
		}
	}
}

// reachesPlatform reports whether no network fault separates the entry from the
// platform, either directly or through another entry that it reaches.
func (f *faults) reachesPlatform(e *site.Entry, entries []*site.Entry) bool {
	if f.faultyHosts[e.ID] {
		return false
	}
	if !f.isPartitioned(e.Zone, platformZone) {
		return true
	}
	for _, other := range entries {
		if !f.faultyHosts[other.ID] && !f.isPartitioned(e.Zone, other.Zone) && !f.isPartitioned(other.Zone, platformZone) {
			return true
		}
	}
	return false
}

// knowableSince returns the time from which the entry could know of a notice that
// was given at noticed: at the earliest when the entry had started and the cloud
// API became reachable again.
func (h *harness) knowableSince(entryID string, noticed time.Time) time.Time {
	e, ok := h.site.Entry(entryID)
	entries := h.site.Entries()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordReachabilityLocked(entries)
	since := noticed
	if started := h.startedAt[entryID]; started.After(since) {
		since = started
	}
	if ok && h.faults.lastCloudUnreachable[e].After(since) {
		since = h.faults.lastCloudUnreachable[e]
	}
	return since
}
