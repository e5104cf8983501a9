package follow

import (
	"sync"
	"time"

	"buckthornpick/internal/kv"
)

// keptChanges bounds the changes that are kept for other entries: more than come
// between two of their polls.
const keptChanges = 512

// changeLog holds the latest changes of one prefix, for entries that ask this one
// in place of the store. It is safe for concurrent use.
type changeLog struct {
	mu sync.Mutex
	// floor is the revision from which on changes are complete.
	floor    int64
	revision int64
	events   []kv.Event
	// confirmed is when the store last confirmed the view; 0 is never.
	confirmed time.Duration
	changed   chan struct{}
}

func newChangeLog() *changeLog { return &changeLog{changed: make(chan struct{})} }

// reset starts anew from a full read.
func (l *changeLog) reset(revision int64, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.floor, l.revision, l.events, l.confirmed = revision, revision, nil, at
	l.wakeLocked()
}

func (l *changeLog) add(events []kv.Event, revision int64, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmed = max(l.confirmed, at)
	l.revision = max(l.revision, revision)
	if len(events) == 0 {
		return
	}
	l.events = append(l.events, events...)
	if extra := len(l.events) - keptChanges; extra > 0 {
		l.floor = l.events[extra-1].Entry.ModRevision
		l.events = append(l.events[:0], l.events[extra:]...)
	}
	l.wakeLocked()
}

func (l *changeLog) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// after returns the changes after a revision and the channel that closes with
// the next one. It reports false if the log does not reach back that far.
func (l *changeLog) after(revision int64) (batch kv.WatchBatch, confirmed time.Duration, changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed == 0 || revision < l.floor {
		return kv.WatchBatch{}, 0, nil, false
	}
	batch.Revision = max(l.revision, revision)
	for _, e := range l.events {
		if e.Entry.ModRevision > revision {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch, l.confirmed, l.changed, true
}
