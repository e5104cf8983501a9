package follow

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"time"

	"buckthornpick/internal/clock"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/peer"
	"buckthornpick/internal/telemetry"
)

const (
	// zoneWatchers is the number of entries of a zone that poll the store; the
	// others ask them. With no more entries than that nobody asks.
	zoneWatchers = 2
	// watcherPeriod is the longest time between the polls of those that others ask,
	// and askWait the longest wait of the others' polls. maxViewAge is the age of an
	// answer from which the store is asked instead: two polls and the pause between
	// them, since a view is as old as the sending of its last poll. A server that
	// leaves must get nothing 2 s later, also from entries whose watcher has just
	// lost the store: they learn of it after maxViewAge, askWait and a pause.
	watcherPeriod = 700 * time.Millisecond
	watcherWait   = 400 * time.Millisecond
	askWait       = 400 * time.Millisecond
	maxViewAge    = 1200 * time.Millisecond
	// slowWait is the wait from which a prefix is followed at leisure: its views
	// may be as old as two such waits.
	slowWait = 5 * time.Second
	// askMargin is what an answer may take beyond the wait that is asked for.
	askMargin = 400 * time.Millisecond
)

// ZoneStore is a store whose changes come from entries of the same zone that
// follow it, so that calls to the store grow with the zones and not with the
// entries. Without an answer from one it asks the store itself.
type ZoneStore struct {
	Store
	self      peer.Node
	transport *peer.Transport
	entries   *Entries
	clock     clock.Clock
	log       *telemetry.Logger
	logs      map[string]*changeLog
	// pauses are the times between polls of the store by prefix.
	pauses map[string]time.Duration
}

// pollRequest asks for changes of a prefix.
type pollRequest struct {
	Prefix string        `msgpack:"p"`
	After  int64         `msgpack:"a"`
	Wait   time.Duration `msgpack:"w"`
	// MaxAge is the greatest age of an answer that helps.
	MaxAge time.Duration `msgpack:"g"`
}

// pollAnswer holds changes, or says that the asked entry cannot tell.
type pollAnswer struct {
	Unknown  bool          `msgpack:"n,omitempty"`
	Events   []pollEvent   `msgpack:"e,omitempty"`
	Revision int64         `msgpack:"r"`
	Age      time.Duration `msgpack:"g"`
}

type pollEvent struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v,omitempty"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
}

// NewZoneStore returns a store in front of direct, and answers other entries'
// polls of the prefixes.
func NewZoneStore(direct Store, self peer.Node, t *peer.Transport, entries *Entries, c clock.Clock, log *telemetry.Logger, prefixes ...string) *ZoneStore {
	z := &ZoneStore{Store: direct, self: self, transport: t, entries: entries, clock: c, log: log, logs: map[string]*changeLog{}, pauses: map[string]time.Duration{}}
	for _, prefix := range prefixes {
		z.logs[prefix] = newChangeLog()
	}
	t.Handle(peer.RelayPoll, peer.HandleCall(z.answer))
	return z
}

// Keep makes the follower of a prefix keep its changes for other entries, and
// poll the store less often than it asks other entries.
func (z *ZoneStore) ShareChanges(f *Follower, storePause time.Duration) {
	f.changes = z.logs[f.prefix]
	z.pauses[f.prefix] = storePause
	askPause := f.pause()
	f.pause = func() time.Duration {
		if z.PollsStore() {
			return storePause
		}
		return askPause
	}
}

// AsksStore reports whether this entry is one of its zone's that poll the store.
func (z *ZoneStore) PollsStore() bool {
	return z.role().watcher == nil
}

// role is what an entry does in its zone.
type role struct {
	// watcher is the entry to ask; nil is the store.
	watcher *peer.Node
	// isAsked is true if others ask this entry.
	isAsked bool
}

func (z *ZoneStore) role() role {
	zone := []peer.Node{z.self}
	for _, n := range z.entries.Others() {
		if n.Zone == z.self.Zone {
			zone = append(zone, n)
		}
	}
	if len(zone) <= zoneWatchers {
		return role{}
	}
	slices.SortFunc(zone, func(a, b peer.Node) int { return cmp.Compare(a.ID, b.ID) })
	watchers := zone[:zoneWatchers]
	if slices.ContainsFunc(watchers, func(n peer.Node) bool { return n.ID == z.self.ID }) {
		return role{isAsked: true}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(z.self.ID))
	return role{watcher: &watchers[h.Sum32()%zoneWatchers]}
}

// Poll implements kv.Poller.
func (z *ZoneStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.WatchBatch, error) {
	role := z.role()
	maxAge := 2*wait + maxViewAge
	if wait < slowWait {
		maxAge = maxViewAge
	}
	if role.isAsked && wait < slowWait {
		wait = min(watcherWait, watcherPeriod-z.pauses[prefix])
	}
	if role.watcher == nil {
		return z.Store.Poll(ctx, prefix, after, wait)
	}
	batch, err := z.ask(ctx, *role.watcher, pollRequest{prefix, after, min(wait, askWait), maxAge})
	if err == nil {
		return batch, nil
	}
	z.log.Log(EvWatcherStale, "entry", role.watcher.ID, "prefix", prefix, "revision", after, "error", err.Error())
	return z.Store.Poll(ctx, prefix, after, min(wait, askWait))
}

func (z *ZoneStore) ask(ctx context.Context, node peer.Node, r pollRequest) (kv.WatchBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+askMargin)
	defer cancel()
	a, err := peer.Call[pollAnswer](ctx, z.transport, node, peer.RelayPoll, r)
	if err != nil {
		return kv.WatchBatch{}, err
	}
	if a.Unknown || a.Age > r.MaxAge {
		return kv.WatchBatch{}, fault.New(fault.Unavailable, "zone.poll", node.ID, "its view is %s old", a.Age)
	}
	batch := kv.WatchBatch{Revision: a.Revision, Age: a.Age}
	for _, e := range a.Events {
		batch.Events = append(batch.Events, kv.Event{
			Entry: kv.Entry{Key: e.Key, Value: e.Value, ModRevision: e.Revision}, Deleted: e.Deleted,
		})
	}
	return batch, nil
}

// answer serves another entry's poll from this entry's own view.
func (z *ZoneStore) answer(ctx context.Context, _ peer.Node, r pollRequest) (pollAnswer, error) {
	log, ok := z.logs[r.Prefix]
	if !ok {
		return pollAnswer{Unknown: true}, nil
	}
	timeout := time.NewTimer(r.Wait)
	defer timeout.Stop()
	for isOver := false; ; {
		batch, confirmed, changed, ok := log.after(r.After)
		age := z.clock() - confirmed
		if !ok || age > r.MaxAge {
			return pollAnswer{Unknown: true, Age: age}, nil
		}
		if len(batch.Events) > 0 || isOver {
			return toAnswer(batch, age), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			isOver = true
		case <-ctx.Done():
			return pollAnswer{Unknown: true}, nil
		}
	}
}

func toAnswer(batch kv.WatchBatch, age time.Duration) pollAnswer {
	a := pollAnswer{Revision: batch.Revision, Age: age}
	for _, e := range batch.Events {
		a.Events = append(a.Events, pollEvent{Key: e.Entry.Key, Value: e.Entry.Value, Revision: e.Entry.ModRevision, Deleted: e.Deleted})
	}
	return a
}
