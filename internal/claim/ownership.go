package claim

import (
	"sync"

	"buckthornpick/internal/request"
)

// OwnershipTracker records since which table revision a node has owned each
// partition without interruption. It implements TableRevision and OwnedSince of
// Ownership. The zero value owns no partition.
type OwnershipTracker struct {
	mu       sync.RWMutex
	revision int64
	since    [request.Partitions]int64 // 0: not owned
}

// Observe updates the tracker with a new table: its ModRevision, the ModRevision
// of the table that it replaced (0 if not known) and the partitions that this
// node owns according to it. If a table in between was missed, the ownership of
// every partition counts from the new table. Older tables are ignored.
func (t *OwnershipTracker) Observe(revision, previous int64, owns func(partition int) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision <= t.revision {
		return
	}
	missedTable := previous == 0 || previous != t.revision
	t.revision = revision
	for p := range t.since {
		switch {
		case !owns(p):
			t.since[p] = 0
		case missedTable || t.since[p] == 0:
			t.since[p] = revision
		}
	}
}

// TableRevision implements Ownership.
func (t *OwnershipTracker) TableRevision() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.revision
}

// OwnedSince implements Ownership.
func (t *OwnershipTracker) OwnedSince(partition int) (revision int64, owned bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	since := t.since[partition]
	return since, since != 0
}
