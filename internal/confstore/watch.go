package confstore

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
)

// Run reads the store until a document is in force, and watches it while
// WatchesStore allows, until ctx ends. It always returns ctx's error.
func (s *Store) Run(ctx context.Context) error {
	var wait backoff
	first := true
	for ctx.Err() == nil {
		if !first && !s.cfg.WatchesStore() {
			s.sleep(ctx, roleInterval)
			continue
		}
		err := s.follow(ctx, &wait)
		_, ok := s.Current()
		first = !ok && err != nil
		if err == nil || ctx.Err() != nil {
			continue
		}
		s.log.Log(EvReadFailed, "err", err)
		s.sleepOrArrive(ctx, wait.next())
	}
	return ctx.Err()
}

// follow reads the document and, if this node watches, follows its changes. It
// returns nil when the node no longer watches.
func (s *Store) follow(ctx context.Context, wait *backoff) error {
	revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	if !s.cfg.WatchesStore() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := s.kv.Watch(ctx, s.cfg.Key, revision)
	if err != nil {
		return err
	}
	return s.consume(ctx, batches, wait)
}

// read takes the document from the store and returns the store's revision.
func (s *Store) read(ctx context.Context) (int64, error) {
	before, ok := s.Current()
	s.reads.Inc(1)
	snapshot, err := s.kv.List(ctx, s.cfg.Key)
	if err != nil {
		return 0, err
	}
	i := slices.IndexFunc(snapshot.Entries, func(e kv.Entry) bool { return e.Key == s.cfg.Key })
	var entry kv.Entry
	var revision int64
	if i >= 0 {
		entry = snapshot.Entries[i]
		revision = s.see(entry.Value)
	}
	if ok && revision < before.Revision {
		s.noteBehind(revision)
		s.repair(ctx, before.Document, entry.ModRevision)
	}
	return snapshot.Revision, nil
}

func (s *Store) consume(ctx context.Context, batches <-chan kv.WatchBatch, wait *backoff) error {
	role := time.NewTicker(roleInterval)
	defer role.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-role.C:
			wait.reset()
			if !s.cfg.WatchesStore() {
				return nil
			}
		case b, ok := <-batches:
			if !ok {
				return fault.New(fault.Unavailable, "config.watch", "store", "the watch ended")
			}
			if b.Compacted {
				return fault.New(fault.Unavailable, "config.watch", "store", "the watched revision is compacted")
			}
			for _, e := range b.Events {
				s.seeEvent(e)
			}
		}
	}
}

func (s *Store) seeEvent(e kv.Event) {
	if e.Entry.Key != s.cfg.Key {
		return
	}
	var revision int64
	if !e.Deleted {
		revision = s.see(e.Entry.Value)
	}
	s.mu.Lock()
	behind := revision < s.seen
	s.mu.Unlock()
	if behind {
		s.noteBehind(revision)
	}
}

// see takes the value of the document's key and returns its revision, 0 if it
// is not a document.
func (s *Store) see(value []byte) int64 {
	doc, err := decodeDocument(value)
	if err != nil {
		s.refused.Inc(1)
		s.log.Log(EvRefused, "source", "store", "err", err)
		return 0
	}
	s.install(doc, "store")
	s.noteStored(doc.Revision)
	return doc.Revision
}

// noteStored records that the store holds revision.
func (s *Store) noteStored(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.seen {
		s.seen = revision
		s.behind = s.current != nil && s.behind && revision < s.current.Revision
	}
}

func (s *Store) noteBehind(revision int64) {
	s.mu.Lock()
	before := s.behind
	s.behind, s.behindAt = true, revision
	s.mu.Unlock()
	if !before {
		s.log.Log(EvRolledBack, "store", revision)
	}
}

// repair writes own back over the lower revision that was read at modRevision.
// Every document in force at a node was written to the store once, so this
// brings back an accepted change. A lost answer does no harm: the guard lets
// the write take effect at most once.
func (s *Store) repair(ctx context.Context, own *config.Document, modRevision int64) {
	value, err := encodeDocument(own)
	if err != nil {
		return
	}
	guard := kv.Compare{Key: s.cfg.Key, ModRevision: modRevision}
	result, err := s.kv.Txn(ctx, []kv.Compare{guard}, []kv.Op{kv.Put(s.cfg.Key, value)})
	if err != nil || !result.Succeeded {
		return
	}
	s.noteStored(own.Revision)
	s.log.Log(EvRepaired, "revision", own.Revision)
}

func (s *Store) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// sleepOrArrive is a sleep that ends when the first document arrives from a
// peer.
func (s *Store) sleepOrArrive(ctx context.Context, d time.Duration) {
	if _, ok := s.Current(); ok {
		s.sleep(ctx, d)
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-s.arrived:
	}
}

// backoff doubles its wait up to maxBackoff. Half of each wait is random.
type backoff struct{ last time.Duration }

func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last/2 + rand.N(b.last/2)
}

func (b *backoff) reset() { b.last = 0 }

func (s *Store) readDocument(ctx context.Context) (doc *config.Document, modRevision int64, err error) {
	e, found, err := s.kv.Get(ctx, s.cfg.Key)
	if err != nil || !found {
		return nil, 0, err
	}
	doc, err = decodeDocument(e.Value)
	return doc, e.ModRevision, err
}
