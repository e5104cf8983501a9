package follow

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/telemetry"
)

const (
	// watchersPerZone is the number of entries per zone that poll the store (the
	// watchers); the other entries of the zone poll a watcher. In a zone with no
	// more entries than this, each polls the store.
	watchersPerZone = 2
	// watcherPollPeriod is the longest time between the starts of two polls of the
	// store by a watcher, watcherPollWait the longest time that such a poll waits
	// for a change, and peerPollWait the longest time that another entry's poll
	// waits at a watcher. If a watcher's answer is older than maxViewAge, the store is polled instead.
	// maxViewAge covers two polls and the pause between them, since the age of a
	// view counts from the sending of its last poll. A server that leaves must get
	// no work 2 s later, not even from entries whose watcher has just lost the
	// store: these see the change after maxViewAge, peerPollWait and a pause.
	watcherPollPeriod = 700 * time.Millisecond
	watcherPollWait   = 400 * time.Millisecond
	peerPollWait      = 400 * time.Millisecond
	maxViewAge        = 1200 * time.Millisecond
	// minRelaxedWait distinguishes views that need not be current: if the poll wait
	// of a view is at least minRelaxedWait, the view may be stale by two poll waits
	// in addition to maxViewAge, and a watcher's polls for it are not shortened.
	minRelaxedWait = 5 * time.Second
	// peerPollMargin is added to a poll's wait to give the timeout of the call.
	peerPollMargin = 400 * time.Millisecond
	// minAnswerDelay and maxAnswerDelay limit how long after its wait a poll of the store
	// is given up and repeated; the repeated poll waits for repeatedPollWait.
	minAnswerDelay   = 300 * time.Millisecond
	maxAnswerDelay   = 1500 * time.Millisecond
	repeatedPollWait = 50 * time.Millisecond
)

// ZoneStore is a Store that polls for changes at an entry of the same zone that
// follows the store (a watcher), so that the number of calls to the store grows
// with the number of zones and not of entries. If the watcher does not answer, or
// its view is too old, it polls the store itself.
type ZoneStore struct {
	Store
	self       peer.Node
	transport  *peer.Transport
	entries    *Entries
	clock      clock.Clock
	log        *telemetry.Logger
	changeLogs map[string]*changeLog
	// storePauses holds the pause between two polls of the store, by prefix.
	storePauses map[string]time.Duration
	// answerDelay is how long after its wait a poll is given up, in nanoseconds.
	answerDelay atomic.Int64
}

// pollRequest asks a watcher for the changes of a prefix after a revision.
type pollRequest struct {
	Prefix string        `msgpack:"p"`
	After  int64         `msgpack:"a"`
	Wait   time.Duration `msgpack:"w"`
	// MaxAge is the greatest age of the view with which the poll may be answered.
	MaxAge time.Duration `msgpack:"g"`
	// Generation is the generation of the store that After belongs to.
	Generation int64 `msgpack:"s,omitempty"`
}

// pollReply holds the changes after the requested revision.
type pollReply struct {
	// Unknown is true if the entry has no changes to serve: it does not follow the
	// prefix, its log does not reach back far enough or has another generation, or
	// its view is too old.
	Unknown  bool          `msgpack:"n,omitempty"`
	Events   []pollEvent   `msgpack:"e,omitempty"`
	Revision int64         `msgpack:"r"`
	Age      time.Duration `msgpack:"g"`
	// Generation is the generation of the store that Revision belongs to.
	Generation int64 `msgpack:"s,omitempty"`
}

// pollEvent is the encoding of a kv.Event.
type pollEvent struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v,omitempty"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
}

// NewZoneStore returns a store in front of direct, and registers a handler for
// other entries' polls of the prefixes.
func NewZoneStore(direct Store, self peer.Node, t *peer.Transport, entries *Entries, c clock.Clock, log *telemetry.Logger, prefixes ...string) *ZoneStore {
	z := &ZoneStore{Store: direct, self: self, transport: t, entries: entries, clock: c, log: log, changeLogs: map[string]*changeLog{}, storePauses: map[string]time.Duration{}}
	for _, prefix := range prefixes {
		z.changeLogs[prefix] = newChangeLog()
	}
	z.answerDelay.Store(int64(minAnswerDelay))
	t.Handle(peer.RelayPoll, peer.HandleCall(z.servePoll))
	return z
}

// ShareChanges makes a follower keep its changes for other entries. storePause
// replaces the follower's pause between polls while it polls the store.
func (z *ZoneStore) ShareChanges(f *Follower, storePause time.Duration) {
	f.changes = z.changeLogs[f.prefix]
	z.storePauses[f.prefix] = storePause
	peerPause := f.pollPause()
	f.pollPause = func() time.Duration {
		if z.PollsStore() {
			return storePause
		}
		return peerPause
	}
}

// PollsStore reports whether this entry polls the store rather than a watcher.
func (z *ZoneStore) PollsStore() bool {
	return z.role().watcher == nil
}

// role is an entry's role in its zone.
type role struct {
	// watcher is the entry to poll; nil means the store.
	watcher *peer.Node
	// isWatcher is true if other entries poll this one.
	isWatcher bool
}

// role returns this entry's role. The watchers of a zone are its entries with the
// lowest IDs; a hash of its own ID selects the watcher that an entry polls.
func (z *ZoneStore) role() role {
	inZone := []peer.Node{z.self}
	for _, n := range z.entries.Others() {
		if n.Zone == z.self.Zone {
			inZone = append(inZone, n)
		}
	}
	if len(inZone) <= watchersPerZone {
		return role{}
	}
	slices.SortFunc(inZone, func(a, b peer.Node) int { return cmp.Compare(a.ID, b.ID) })
	watchers := inZone[:watchersPerZone]
	if slices.ContainsFunc(watchers, func(n peer.Node) bool { return n.ID == z.self.ID }) {
		return role{isWatcher: true}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(z.self.ID))
	return role{watcher: &watchers[h.Sum32()%watchersPerZone]}
}

// Poll implements kv.Poller. It polls a watcher of the zone, or the store if this
// entry is a watcher itself or the watcher's answer cannot be used.
func (z *ZoneStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchBatch, error) {
	role := z.role()
	maxAge := 2*wait + maxViewAge
	if wait < minRelaxedWait {
		maxAge = maxViewAge
	}
	if role.isWatcher && wait < minRelaxedWait {
		wait = min(watcherPollWait, watcherPollPeriod-z.storePauses[prefix])
	}
	if role.watcher == nil {
		return z.pollStore(ctx, prefix, after, wait)
	}
	generation := z.changeLogs[prefix].currentGeneration()
	batch, err := z.pollPeer(ctx, *role.watcher, pollRequest{prefix, after, min(wait, peerPollWait), maxAge, generation})
	if err == nil {
		return batch, nil
	}
	z.log.Log(EvWatcherStale, "entry", role.watcher.ID, "prefix", prefix, "revision", after, "error", err.Error())
	return z.pollStore(ctx, prefix, after, min(wait, peerPollWait))
}

// pollStore polls the store. A poll without an answer shortly after its wait is repeated,
// since its connection may be silent for good; the store's client opens a new one then.
func (z *ZoneStore) pollStore(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchBatch, error) {
	sent := z.clock()
	patience := wait + time.Duration(z.answerDelay.Load())
	first, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	batch, err := z.Store.Poll(first, prefix, after, wait)
	if err == nil || first.Err() == nil || ctx.Err() != nil {
		z.recordAnswer(err, z.clock()-sent-wait)
		return batch, err
	}
	z.log.Log(EvPollRepeated, "prefix", prefix, "revision", after, "waited_ms", patience.Milliseconds())
	sent = z.clock()
	batch, err = z.Store.Poll(ctx, prefix, after, repeatedPollWait)
	z.recordAnswer(err, z.clock()-sent-repeatedPollWait)
	return batch, err
}

// recordAnswer sets how long after its wait the next poll is given up, so that a store
// that answers slowly is not asked twice each time.
func (z *ZoneStore) recordAnswer(err error, delay time.Duration) {
	if err == nil {
		z.answerDelay.Store(int64(max(minAnswerDelay, min(2*delay, maxAnswerDelay))))
	}
}

// pollPeer polls a watcher. It fails with fault.Unavailable if the watcher cannot
// serve the poll, or its view is too old or of an earlier generation. If the view is
// of a later generation, the batch holds only that.
func (z *ZoneStore) pollPeer(ctx context.Context, node peer.Node, r pollRequest) (kv.WatchBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+peerPollMargin)
	defer cancel()
	a, err := peer.Call[pollReply](ctx, z.transport, node, peer.RelayPoll, r)
	if err != nil {
		return kv.WatchBatch{}, err
	}
	if a.Generation > r.Generation {
		return kv.WatchBatch{Generation: a.Generation}, nil
	}
	if a.Unknown || a.Generation < r.Generation || a.Age > r.MaxAge {
		return kv.WatchBatch{}, fault.New(fault.Unavailable, "zone.poll", node.ID, "its view is %s old", a.Age)
	}
	batch := kv.WatchBatch{Revision: a.Revision, Age: a.Age, Generation: a.Generation}
	for _, e := range a.Events {
		batch.Events = append(batch.Events, kv.Event{
			Entry: kv.Entry{Key: e.Key, Value: e.Value, ModRevision: e.Revision}, Deleted: e.Deleted,
		})
	}
	return batch, nil
}

// servePoll answers another entry's poll from this entry's own view.
func (z *ZoneStore) servePoll(ctx context.Context, _ peer.Node, r pollRequest) (pollReply, error) {
	log, ok := z.changeLogs[r.Prefix]
	if !ok {
		return pollReply{Unknown: true}, nil
	}
	timeout := time.NewTimer(r.Wait)
	defer timeout.Stop()
	for isTimedOut := false; ; {
		batch, confirmed, changed, ok := log.after(r.Generation, r.After)
		age := z.clock() - confirmed
		if !ok || age > r.MaxAge {
			return pollReply{Unknown: true, Age: age, Generation: batch.Generation}, nil
		}
		if len(batch.Events) > 0 || isTimedOut {
			return toPollReply(batch, age), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			isTimedOut = true
		case <-ctx.Done():
			return pollReply{Unknown: true}, nil
		}
	}
}

func toPollReply(batch kv.WatchBatch, age time.Duration) pollReply {
	a := pollReply{Revision: batch.Revision, Age: age, Generation: batch.Generation}
	for _, e := range batch.Events {
		a.Events = append(a.Events, pollEvent{Key: e.Entry.Key, Value: e.Entry.Value, Revision: e.Entry.ModRevision, Deleted: e.Deleted})
	}
	return a
}
