package confstore

import (
	"context"
	"slices"
	"time"

	"buckthornpick/internal/config"
	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
)

// Run reads the document from the store, and watches it for changes while
// Config.WatchesStore reports true, until ctx ends. A node that does not watch
// retries the read until it succeeds or a document from a peer is in force. Run
// always returns the error of ctx.
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

// readAndWatch reads the document and, if this node watches the store, applies
// changes as they are made. It returns nil when the node should not watch.
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

// readStore reads the document, puts it in force if it is newer, and repairs the
// store if it was rolled back. It returns the store revision of the read.
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

// handleWatch processes the watch, and reads the document every refreshInterval.
// It resets wait once the watch has lasted for watchCheckInterval. It returns nil when the node should no longer watch.
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

// handleBatch processes one batch of the watch; open is false if the watch has
// ended. After a rollback it reads the store, which also repairs it.
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

// handleEvent processes one change and reports whether it set the document back
// to a lower revision.
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

// handleValue decodes the stored document, puts it in force if it is newer, and
// returns its revision, 0 if there is none. readable is false if it cannot be
// decoded: a later release may have written it, so it must not be treated as a
// rollback and overwritten.
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

// recordStoredRevision records that the store holds revision. It ends the
// rolled-back state once the store holds the revision in force.
func (s *Store) recordStoredRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision >= s.highestStored {
		s.highestStored = revision
		s.rolledBack = s.current != nil && s.rolledBack && revision < s.current.Revision
	}
}

// recordRollback records that the store holds a lower revision than the one in
// force, and logs it once for each rollback.
func (s *Store) recordRollback(revision int64) {
	s.mu.Lock()
	wasRolledBack := s.rolledBack
	s.rolledBack, s.rolledBackRevision = true, revision
	s.mu.Unlock()
	if !wasRolledBack {
		s.log.Log(EvRolledBack, "store", revision)
	}
}

// repair writes doc, the document in force, over the lower revision that was read
// at modRevision. Every document in force was once written to the store, so this
// restores an accepted change. A lost response is harmless: the guard lets the
// write take effect at most once, and the next read tries again.
func (s *Store) repair(ctx context.Context, doc *config.Document, modRevision int64) {
	value, err := encodeDocument(doc)
	if err != nil {
		return
	}
	guard := kv.Compare{Key: s.cfg.Key, ModRevision: modRevision}
	result, err := s.kv.Txn(ctx, []kv.Compare{guard}, []kv.Op{kv.Put(s.cfg.Key, value)})
	if err != nil || !result.Succeeded {
		return
	}
	s.recordStoredRevision(doc.Revision)
	s.log.Log(EvRepaired, "revision", doc.Revision)
}

// sleep waits for d or until ctx ends.
func (s *Store) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// backoff doubles its wait from minBackoff to maxBackoff. Half of each wait is
// random jitter.
type backoff struct {
	last   time.Duration
	random func(time.Duration) time.Duration
}

func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, minBackoff), maxBackoff)
	return b.last/2 + b.random(b.last/2)
}

func (b *backoff) reset() { b.last = 0 }

// readDocument returns the stored document and the ModRevision of its key; doc is
// nil if there is none.
func (s *Store) readDocument(ctx context.Context) (doc *config.Document, modRevision int64, err error) {
	e, found, err := s.kv.Get(ctx, s.cfg.Key)
	if err != nil || !found {
		return nil, 0, err
	}
	doc, err = decodeDocument(e.Value)
	return doc, e.ModRevision, err
}
