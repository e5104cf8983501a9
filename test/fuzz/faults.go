package fuzz

import (
	"time"

	"buckthornpick/internal/standin/site"
)

// faults is the state of the network and the platform as the driver has set
// it, and since when each entry reaches the platform.
type faults struct {
	partitionedZones map[[2]string]bool
	faultyHosts      map[string]bool // cut or paused
	isCloudDown      bool
	isStoreFaulty    bool
	// unreached is the last time at which the entry did not reach the cloud
	// API, storeUnreached the same for the store.
	lastCloudUnreachable, lastStoreUnreachable map[*site.Entry]time.Time
	// hostUntil is the last time at which the host was cut or paused.
	lastHostFault map[string]time.Time
}

func newFaults() faults {
	return faults{
		partitionedZones: map[[2]string]bool{}, faultyHosts: map[string]bool{},
		lastHostFault:        map[string]time.Time{},
		lastCloudUnreachable: map[*site.Entry]time.Time{}, lastStoreUnreachable: map[*site.Entry]time.Time{},
	}
}

func (f *faults) isPartitioned(a, b string) bool {
	return f.partitionedZones[[2]string{a, b}] || f.partitionedZones[[2]string{b, a}]
}

// change applies a change of the faults and notes which entries cannot reach
// the platform before or after it.
func (h *harness) updateFaults(apply func(*faults)) {
	entries := h.site.Entries()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordReachabilityLocked(entries)
	apply(&h.faults)
	h.recordReachabilityLocked(entries)
}

func (h *harness) recordReachabilityLocked(entries []*site.Entry) {
	now := time.Now()
	for id := range h.faults.faultyHosts {
		h.faults.lastHostFault[id] = now
	}
	for _, e := range entries {
		isOpen := h.faults.reachesPlatform(e, entries)
		if !isOpen || h.faults.isCloudDown {
			h.faults.lastCloudUnreachable[e] = now
		}
		if !isOpen || h.faults.isStoreFaulty {
			h.faults.lastStoreUnreachable[e] = now
		}
	}
}

// reachesPlatform reports whether the entry, or a node that it reaches, has an
// open path to the platform.
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

// informed returns the time since when the entry could know of a notice.
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
