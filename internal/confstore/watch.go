package confstore

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
)

// Run reads the store until a document is in force, and watches it while
// WatchesStore allows, until ctx ends. It always returns ctx's error.
func (s *Store) Run(ctx context.Context) error {
	wait := backoff{random: s.random}
	hasTried, hasRead := false, false
	for ctx.Err() == nil {
		_, hasDocument := s.Current()
		if hasTried && (hasDocument || hasRead) && !s.cfg.WatchesStore() {
			s.sleep(ctx, watchCheckInterval)
			continue
		}
		hasTried = true
		err := s.readAndWatch(ctx, &wait)
		hasRead = hasRead || err == nil
		if err == nil || ctx.Err() != nil {
			continue
		}
		s.log.Log(EvReadFailed, "err", err)
		s.sleep(ctx, wait.next())
	}
	return ctx.Err()
}

// follow reads the document and, if this node watches, follows its changes. It
// returns nil when the node no longer watches.
func (s *Store) readAndWatch(ctx context.Context, wait *backoff) error {
	revision, err := s.readStore(ctx)
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
	return s.handleWatch(ctx, batches, wait)
}

// read takes the document from the store and returns the store's revision.
func (s *Store) readStore(ctx context.Context) (int64, error) {
	current, ok := s.Current()
	s.reads.Inc(1)
	snapshot, err := s.kv.List(ctx, s.cfg.Key)
	if err != nil {
		return 0, err
	}
	var entry kv.Entry
	if i := slices.IndexFunc(snapshot.Entries, s.isDocument); i >= 0 {
		entry = snapshot.Entries[i]
	}
	revision, readable := s.handleValue(entry.Value)
	if ok && readable && revision < current.Revision {
		s.recordRollback(revision)
		s.repair(ctx, current.Document, entry.ModRevision)
	}
	return snapshot.Revision, nil
}

func (s *Store) isDocument(e kv.Entry) bool { return e.Key == s.cfg.Key }

func (s *Store) handleWatch(ctx context.Context, batches <-chan kv.WatchBatch, wait *backoff) error {
	watchCheck := time.NewTicker(watchCheckInterval)
	defer watchCheck.Stop()
	refresh := time.NewTicker(refreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-watchCheck.C:
			wait.reset()
			if !s.cfg.WatchesStore() {
				return nil
			}
		case <-refresh.C:
			if _, err := s.readStore(ctx); err != nil {
				return err
			}
		case b, ok := <-batches:
			if err := s.handleBatch(ctx, b, ok); err != nil {
				return err
			}
		}
	}
}

// seeBatch takes one delivery of the watch; open is false after the last one.
func (s *Store) handleBatch(ctx context.Context, b kv.WatchBatch, open bool) error {
	if !open {
		return fault.New(fault.Unavailable, "config.watch", "store", "the watch ended")
	}
	if b.Compacted {
		return fault.New(fault.Unavailable, "config.watch", "store", "the watched revision is compacted")
	}
	for _, e := range b.Events {
		if !s.handleEvent(e) {
			continue
		}
		if _, err := s.readStore(ctx); err != nil {
			return err
		}
	}
	return nil
}

// seeEvent takes one change and reports whether it went back.
func (s *Store) handleEvent(e kv.Event) (isRollback bool) {
	if !s.isDocument(e.Entry) {
		return false
	}
	value := e.Entry.Value
	if e.Deleted {
		value = nil
	}
	revision, readable := s.handleValue(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	return readable && revision < s.highestStored
}

// see takes the value of the document's key and returns its revision, 0 for an
// absent document. A value that cannot be read may come from a later release,
// so it is not treated as an older revision.
func (s *Store) handleValue(value []byte) (revision int64, readable bool) {
	if value == nil {
		return 0, true
	}
	doc, err := decodeDocument(value)
	if err != nil {
		s.refused.Inc(1)
		s.log.Log(EvRefused, "source", "store", "err", err)
		return 0, false
	}
	s.install(doc, "store")
	s.recordStoredRevision(doc.Revision)
	return doc.Revision, true
}

// noteStored records that the store holds revision.
func (s *Store) recordStoredRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.highestStored {
		s.highestStored = revision
		s.rolledBack = s.current != nil && s.rolledBack && revision < s.current.Revision
	}
}

func (s *Store) recordRollback(revision int64) {
	s.mu.Lock()
	wasRolledBack := s.rolledBack
	s.rolledBack, s.rolledBackRevision = true, revision
	s.mu.Unlock()
	if !wasRolledBack {
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
	s.recordStoredRevision(own.Revision)
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

// backoff doubles its wait up to maxBackoff. Half of each wait is random.
type backoff struct {
	last   time.Duration
	random func(time.Duration) time.Duration
}

func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last/2 + b.random(b.last/2)
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
