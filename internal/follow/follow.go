// Package follow keeps local copies (views) of data in the key-value store: the
// operators' document, the registry of backend servers and the list of the
// site's entries. A view records its store revision and the time at which the
// store last confirmed that it is up to date.
package follow

import (
	"context"
	"sync/atomic"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
	"buckthornpick/internal/wait"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed call. A new
	// configuration must be in force 2 s after its acknowledgement, so a store
	// that has recovered must be polled again well within that time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Store is the part of the key-value store's API that a follower uses.
type Store interface {
	kv.Store
	kv.Poller
}

// Sink receives the data that a follower reads. Its methods are called from one
// goroutine.
type Sink interface {
	// Replace replaces the contents by all keys with the prefix.
	Replace(entries []kv.Entry)
	// Apply applies changes in the order of their revisions.
	Apply(events []kv.Event)
	// StoreRestored is called before Replace if the store has come back from a copy
	// of an earlier state. Entries that are missing or older than known may have been
	// lost with it.
	StoreRestored()
	// StoreRecovered is called when the store answers again after calls to it
	// failed for the duration lost.
	StoreRecovered(lost time.Duration)
}

// Follower reads all keys with a prefix from the store, then polls for changes,
// and passes both to a Sink.
type Follower struct {
	name   string
	prefix string
	store  Store
	sink   Sink
	clock  clock.Clock
	log    *telemetry.Logger
	// pollWait is the longest time a poll waits for a change; pollPause returns
	// the pause between polls, during which changes accumulate into one batch.
	pollWait  time.Duration
	pollPause func() time.Duration
	// changes keeps recent changes for other entries that poll this one; nil
	// disables this.
	changes *changeLog

	revision atomic.Int64
	// generation is the generation of the store that revision belongs to.
	generation  int64
	confirmedAt atomic.Int64 // clock.Clock nanoseconds; 0 means never
	isStoreLost bool
	storeLostAt time.Duration
}

// Options configures a Follower.
type Options struct {
	// Name identifies the view in log lines.
	Name string
	// Prefix selects the keys to follow.
	Prefix string
	// Wait is the longest time a poll waits for a change. Without changes the
	// view is confirmed once per Wait.
	Wait time.Duration
	// Pause is the pause between polls.
	Pause time.Duration
}

// New returns a follower that writes to sink.
func New(o Options, store Store, sink Sink, c clock.Clock, log *telemetry.Logger) *Follower {
	return &Follower{
		name: o.Name, prefix: o.Prefix, pollWait: o.Wait, pollPause: func() time.Duration { return o.Pause },
		store: store, sink: sink, clock: c, log: log,
	}
}

// Age returns the staleness of the view: the time since the last call that
// confirmed it was sent. It returns neverConfirmed if no call has succeeded yet.
func (f *Follower) Age() time.Duration {
	confirmedAt := f.confirmedAt.Load()
	if confirmedAt == 0 {
		return neverConfirmed
	}
	return f.clock() - time.Duration(confirmedAt)
}

// HasListed reports whether the view has been read at least once.
func (f *Follower) HasListed() bool { return f.confirmedAt.Load() != 0 }

// neverConfirmed exceeds every limit on a view's age.
const neverConfirmed = 1000 * time.Hour

// Run follows the prefix until ctx ends. It always returns nil.
func (f *Follower) Run(ctx context.Context) error {
	backoff := minBackoff
	isListed := false
	for ctx.Err() == nil {
		var err error
		if isListed {
			isListed, err = f.poll(ctx)
		} else {
			err = f.list(ctx)
			isListed = err == nil
		}
		if err != nil {
			f.recordFailure(ctx, err)
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		if isListed {
			wait.For(ctx, f.pollPause())
		}
	}
	return nil
}

// list reads all keys with the prefix and replaces the sink's contents.
func (f *Follower) list(ctx context.Context) error {
	sent := f.clock()
	snapshot, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.recordSuccess()
	if f.confirmedAt.Load() != 0 && snapshot.Generation != f.generation {
		f.sink.StoreRestored()
	}
	f.sink.Replace(snapshot.Entries)
	f.revision.Store(snapshot.Revision)
	f.generation = snapshot.Generation
	f.confirm(sent, sent)
	if f.changes != nil {
		f.changes.reset(snapshot.Generation, snapshot.Revision, sent)
	}
	f.log.Log(EvListed, "view", f.name, "revision", snapshot.Revision, "generation", snapshot.Generation, "entries", len(snapshot.Entries))
	return nil
}

// poll reads and applies the next changes. isListed is false if the store has
// compacted the history after the view's revision, or has a new generation in which
// revisions are given out again, so that the prefix must be listed again.
func (f *Follower) poll(ctx context.Context) (isListed bool, err error) {
	sent := f.clock()
	batch, err := f.store.Poll(ctx, f.prefix, f.revision.Load(), f.pollWait)
	if err != nil {
		return true, err
	}
	f.recordSuccess()
	if batch.Generation != f.generation {
		f.log.Log(EvStoreRestored, "view", f.name, "revision", f.revision.Load(), "generation", f.generation, "new_generation", batch.Generation)
		return false, nil
	}
	if batch.Compacted {
		f.log.Log(EvCompacted, "view", f.name, "revision", f.revision.Load())
		return false, nil
	}
	if len(batch.Events) > 0 {
		f.sink.Apply(batch.Events)
	}
	f.revision.Store(max(f.revision.Load(), batch.Revision))
	f.confirm(sent, sent-batch.Age)
	if f.changes != nil {
		f.changes.add(batch.Events, f.revision.Load(), sent-batch.Age)
	}
	return true, nil
}

// confirm records that the view matched the store at the time at, which is
// capped at the time when the confirming call was sent.
func (f *Follower) confirm(sent, at time.Duration) {
	at = min(at, sent)
	if previous := time.Duration(f.confirmedAt.Load()); at > previous || previous == 0 {
		f.confirmedAt.Store(int64(at))
	}
}

// recordFailure logs the first of a series of consecutive failures.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if f.isStoreLost || ctx.Err() != nil {
		return
	}
	f.isStoreLost, f.storeLostAt = true, f.clock()
	f.log.Log(EvStoreLost, "view", f.name, "revision", f.revision.Load(), "age_ms", f.Age().Milliseconds(),
		"step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
}

// recordSuccess ends a series of failures and notifies the sink.
func (f *Follower) recordSuccess() {
	if !f.isStoreLost {
		return
	}
	f.isStoreLost = false
	f.sink.StoreRecovered(f.clock() - f.storeLostAt)
	f.log.Log(EvStoreRegained, "view", f.name, "revision", f.revision.Load(), "lost_ms", (f.clock() - f.storeLostAt).Milliseconds())
}
