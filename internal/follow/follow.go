// Package follow keeps a process's view of what the store holds: the operators'
// document, the registry of backend servers and the entries of the site. Each
// view carries its version and the time at which the store last confirmed it.
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
	// retryFirst and retryMost bound the pause after a failed call. The
	// configuration must be in force 2 s after its acknowledgement, so a store
	// that returns is asked well within that.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Store is what a follower needs of the key-value service.
type Store interface {
	kv.Store
	kv.Poller
}

// Sink takes what a follower reads. Its methods are called by one goroutine.
type Sink interface {
	// Replace takes all keys with the prefix.
	Replace(entries []kv.Entry)
	// Apply takes changes in the order of their revisions.
	Apply(events []kv.Event)
	// Regained is told that the store answers again after failures for lost.
	StoreRecovered(lost time.Duration)
}

// Follower reads a prefix of the store and then its changes.
type Follower struct {
	name   string
	prefix string
	store  Store
	sink   Sink
	clock  clock.Clock
	log    *telemetry.Logger
	// wait is the longest wait of a poll; pause is the time between polls, which
	// lets changes gather.
	wait  time.Duration
	pause func() time.Duration
	// changes keeps what was read for other entries; nil keeps nothing.
	changes *changeLog

	revision  atomic.Int64
	confirmed atomic.Int64 // clock.Clock nanoseconds; 0 is never
	lost      bool
	lostAt    time.Duration
}

// Options of a Follower.
type Options struct {
	// Name appears in log lines.
	Name   string
	Prefix string
	// Wait is the longest wait of a poll: without changes the view is
	// confirmed this often.
	Wait time.Duration
	// Pause is the time between polls.
	Pause time.Duration
}

// New returns a follower that feeds sink.
func New(o Options, store Store, sink Sink, c clock.Clock, log *telemetry.Logger) *Follower {
	return &Follower{
		name: o.Name, prefix: o.Prefix, wait: o.Wait, pause: func() time.Duration { return o.Pause },
		store: store, sink: sink, clock: c, log: log,
	}
}

// Age returns the time since the call that last confirmed the view was sent, and
// a very long time if none was answered yet.
func (f *Follower) Age() time.Duration {
	confirmed := f.confirmed.Load()
	if confirmed == 0 {
		return neverConfirmed
	}
	return f.clock() - time.Duration(confirmed)
}

const neverConfirmed = 1000 * time.Hour

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := retryFirst
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
			f.noteLoss(ctx, err)
			wait.For(ctx, backoff)
			backoff = min(2*backoff, retryMost)
			continue
		}
		backoff = retryFirst
		if isListed {
			wait.For(ctx, f.pause())
		}
	}
	return nil
}

func (f *Follower) list(ctx context.Context) error {
	sent := f.clock()
	snapshot, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	f.noteAnswer()
	f.sink.Replace(snapshot.Entries)
	f.revision.Store(snapshot.Revision)
	f.confirm(sent, sent)
	if f.changes != nil {
		f.changes.reset(snapshot.Revision, sent)
	}
	f.log.Log(EvListed, "view", f.name, "revision", snapshot.Revision, "entries", len(snapshot.Entries))
	return nil
}

// poll takes the next changes and reports whether the view can be polled on.
func (f *Follower) poll(ctx context.Context) (isListed bool, err error) {
	sent := f.clock()
	batch, err := f.store.Poll(ctx, f.prefix, f.revision.Load(), f.wait)
	if err != nil {
		return true, err
	}
	f.noteAnswer()
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

// confirm notes that the view was that of the store at a time, which is not
// later than the sending of the call that told so.
func (f *Follower) confirm(sent, at time.Duration) {
	at = min(at, sent)
	if known := time.Duration(f.confirmed.Load()); at > known || known == 0 {
		f.confirmed.Store(int64(at))
	}
}

// noteLoss logs the first of a row of failures.
func (f *Follower) noteLoss(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost, f.lostAt = true, f.clock()
	f.log.Log(EvStoreLost, "view", f.name, "revision", f.revision.Load(), "age_ms", f.Age().Milliseconds(),
		"step", fault.Step(err), "peer", fault.Peer(err), "error", err.Error())
}

func (f *Follower) noteAnswer() {
	if !f.lost {
		return
	}
	f.lost = false
	f.sink.StoreRecovered(f.clock() - f.lostAt)
	f.log.Log(EvStoreRegained, "view", f.name, "revision", f.revision.Load(), "lost_ms", (f.clock() - f.lostAt).Milliseconds())
}
