package follow

import (
	"sync"
	"time"

	"buckthornpick/internal/kv"
)

// maxKeptChanges bounds the changes that are kept for other entries. It exceeds
// the number of changes that occur between two of their polls.
const maxKeptChanges = 512

// changeLog holds the latest changes of one prefix, for other entries that poll
// this one instead of the store. It is safe for concurrent use.
type changeLog struct {
	mu sync.Mutex
	// generation is the generation of the store that the revisions belong to.
	generation int64
	// floor is the revision after which the log holds every change.
	floor    int64
	revision int64
	events   []kv.Event
	// confirmedAt is when the store last confirmed the view; 0 means never.
	confirmedAt time.Duration
	// changed is closed and replaced when events are added or the log is reset.
	changed chan struct{}
}

func newChangeLog() *changeLog { return &changeLog{changed: make(chan struct{})} }

// reset discards all changes after the prefix was listed in full.
func (l *changeLog) reset(generation, revision int64, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.generation, l.floor, l.revision, l.events, l.confirmedAt = generation, revision, revision, nil, at
	l.notifyLocked()
}

// add appends the changes of one poll, which the store confirmed at the time at.
func (l *changeLog) add(events []kv.Event, revision int64, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confirmedAt = max(l.confirmedAt, at)
	l.revision = max(l.revision, revision)
	if len(events) == 0 {
		return
	}
	l.events = append(l.events, events...)
	if extra := len(l.events) - maxKeptChanges; extra > 0 {
		l.floor = l.events[extra-1].Entry.ModRevision
		l.events = append(l.events[:0], l.events[extra:]...)
	}
	l.notifyLocked()
}

func (l *changeLog) notifyLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// currentGeneration returns the generation of the store at the last reset.
func (l *changeLog) currentGeneration() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.generation
}

// after returns the changes after a revision, the time when the view was last
// confirmed and a channel that is closed on the next change. ok is false if the
// log does not reach back that far or has another generation, which the batch then
// holds.
func (l *changeLog) after(generation, revision int64) (batch kv.WatchBatch, confirmed time.Duration, changed <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch.Generation = l.generation
	if l.confirmedAt == 0 || generation != l.generation || revision < l.floor {
		return batch, 0, nil, false
	}
	batch.Revision = max(l.revision, revision)
	for _, e := range l.events {
		if e.Entry.ModRevision > revision {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch, l.confirmedAt, l.changed, true
}
