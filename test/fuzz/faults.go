package fuzz

import (
	"time"

	"buckthornpick/internal/standin/site"
)

// faults is the state of the network and the platform as the driver has set
// it, and since when each entry reaches the platform.
type faults struct {
	zones       map[[2]string]bool
	hosts       map[string]bool // cut or paused
	cloudOutage bool
	storeBad    bool
	// unreached is the last time at which the entry did not reach the cloud
	// API, storeUnreached the same for the store.
	unreached, storeUnreached map[*site.Entry]time.Time
	// hostUntil is the last time at which the host was cut or paused.
	hostUntil map[string]time.Time
}

func newFaults() faults {
	return faults{
		zones: map[[2]string]bool{}, hosts: map[string]bool{},
		hostUntil: map[string]time.Time{},
		unreached: map[*site.Entry]time.Time{}, storeUnreached: map[*site.Entry]time.Time{},
	}
}

func (f *faults) cut(a, b string) bool {
	return f.zones[[2]string{a, b}] || f.zones[[2]string{b, a}]
}

// change applies a change of the faults and notes which entries cannot reach
// the platform before or after it.
func (w *world) change(apply func(*faults)) {
	entries := w.site.Entries()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteReachLocked(entries)
	apply(&w.faults)
	w.noteReachLocked(entries)
}

func (w *world) noteReachLocked(entries []*site.Entry) {
	now := time.Now()
	for id := range w.faults.hosts {
		w.faults.hostUntil[id] = now
	}
	for _, e := range entries {
		isOpen := w.faults.reachesPlatform(e, entries)
		if !isOpen || w.faults.cloudOutage {
			w.faults.unreached[e] = now
		}
		if !isOpen || w.faults.storeBad {
			w.faults.storeUnreached[e] = now
		}
	}
}

// reachesPlatform reports whether the entry, or a node that it reaches, has an
// open path to the platform.
func (f *faults) reachesPlatform(e *site.Entry, entries []*site.Entry) bool {
	if f.hosts[e.ID] {
		return false
	}
	if !f.cut(e.Zone, platformZone) {
		return true
	}
	for _, other := range entries {
		if !f.hosts[other.ID] && !f.cut(e.Zone, other.Zone) && !f.cut(other.Zone, platformZone) {
			return true
		}
	}
	return false
}

// informed returns the time since when the entry could know of a notice.
func (w *world) informed(entryID string, noticed time.Time) time.Time {
	e, ok := w.site.Entry(entryID)
	entries := w.site.Entries()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteReachLocked(entries)
	since := noticed
	if started := w.started[entryID]; started.After(since) {
		since = started
	}
	if ok && w.faults.unreached[e].After(since) {
		since = w.faults.unreached[e]
	}
	return since
}
