package confstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
	"buckthornpick/internal/telemetry"
)

// startStore runs s in the background until the test ends.
func startStore(t *testing.T, s *Store) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
}

// documentAt returns a document with one service and the given revision.
func documentAt(service string, revision int64) *config.Document {
	doc := documentWithService(service)
	doc.Revision, doc.OperationID = revision, "op-"+service
	return doc
}

func putDocument(t *testing.T, f *fakeStore, doc *config.Document) {
	value, err := encodeDocument(doc)
	require.NoError(t, err)
	f.put(DefaultKey, value)
}

func currentRevision(s *Store) int64 {
	current, ok := s.Current()
	if !ok {
		return 0
	}
	return current.Revision
}

func TestRunFollowsTheStoreThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		putDocument(t, f, documentAt("a", 1))
		f.setDown(true)
		s := newTestStore(f)
		startStore(t, s)
		time.Sleep(time.Minute)
		require.Zero(t, currentRevision(s))
		require.Less(t, f.callCount(), 40, "calls are retried with backoff")

		f.setDown(false)
		time.Sleep(maxBackoff)
		require.EqualValues(t, 1, currentRevision(s))
		putDocument(t, f, documentAt("b", 2))
		synctest.Wait()
		require.EqualValues(t, 2, currentRevision(s))

		f.setDown(true)
		putDocument(t, f, documentAt("c", 3))
		time.Sleep(time.Second)
		f.setDown(false)
		time.Sleep(maxBackoff)
		require.EqualValues(t, 3, currentRevision(s))
	})
}

func TestNodeTakesTheDocumentFromAPeerDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.setDown(true)
		s := newTestStore(f)
		startStore(t, s)
		latest, stop := s.Subscribe()
		defer stop()
		require.True(t, s.ApplyFromPeer(documentAt("a", 7)))
		require.False(t, s.ApplyFromPeer(documentAt("b", 6)))
		require.EqualValues(t, 7, (<-latest).Revision)
	})
}

func TestNodeThatDoesNotWatchStopsReadingOnceItHasADocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.setDown(true)
		s := New(Config{Self: "n1", WatchesStore: func() bool { return false }}, f, telemetry.Discard(), nil)
		startStore(t, s)
		time.Sleep(time.Minute)
		callsBefore := f.callCount()
		require.Greater(t, callsBefore, 1)
		require.True(t, s.ApplyFromPeer(documentAt("a", 7)))
		time.Sleep(time.Hour)
		require.Equal(t, callsBefore, f.callCount())
	})
}

func TestNodeThatDoesNotWatchReadsTheStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		putDocument(t, f, documentAt("a", 1))
		var watches atomic.Bool
		s := New(Config{Self: "n1", WatchesStore: watches.Load}, f, telemetry.Discard(), nil)
		startStore(t, s)
		time.Sleep(time.Hour)
		require.EqualValues(t, 1, currentRevision(s))
		require.Equal(t, 1, f.callCount())

		watches.Store(true)
		time.Sleep(2 * watchCheckInterval)
		putDocument(t, f, documentAt("b", 2))
		synctest.Wait()
		require.EqualValues(t, 2, currentRevision(s))
	})
}

func TestRestoredStoreDoesNotRevertTheNodeAndIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		putDocument(t, f, documentAt("old", 5))
		s := newTestStore(f)
		require.True(t, s.ApplyFromPeer(documentAt("new", 7)))
		startStore(t, s)
		require.EqualValues(t, 7, currentRevision(s))
		require.EqualValues(t, 7, storedDocument(t, f).Revision, "the accepted change is written back")
		_, rolledBack := s.RolledBackRevision()
		require.False(t, rolledBack)
	})
}

func TestRollbackDuringAWatchIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		putDocument(t, f, documentAt("new", 7))
		s := newTestStore(f)
		startStore(t, s)
		putDocument(t, f, documentAt("old", 5))
		synctest.Wait()
		require.EqualValues(t, 7, currentRevision(s))
		require.EqualValues(t, 7, storedDocument(t, f).Revision)
		_, rolledBack := s.RolledBackRevision()
		require.False(t, rolledBack)
	})
}

func TestUnrepairedRollbackIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		putDocument(t, f, documentAt("new", 7))
		s := newTestStore(f)
		startStore(t, s)
		f.mu.Lock()
		f.faults = []txnFault{lostBeforeApply}
		f.mu.Unlock()
		putDocument(t, f, documentAt("old", 5))
		synctest.Wait()
		storedRevision, rolledBack := s.RolledBackRevision()
		require.True(t, rolledBack)
		require.EqualValues(t, 5, storedRevision)
		require.EqualValues(t, 7, currentRevision(s))
		time.Sleep(refreshInterval)
		synctest.Wait()
		require.EqualValues(t, 7, storedDocument(t, f).Revision)
	})
}

func TestChangeOverwritesARestoredStore(t *testing.T) {
	f := newFake()
	putDocument(t, f, documentAt("old", 5))
	s := newTestStore(f)
	require.True(t, s.ApplyFromPeer(documentAt("new", 7)))
	_, err := s.Propose(t.Context(), newChange("next", 7, "op8"))
	require.NoError(t, err)
	require.EqualValues(t, 8, storedDocument(t, f).Revision)
}

func TestPeriodicReadsCoverASilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.silent = true
		putDocument(t, f, documentAt("a", 1))
		s := newTestStore(f)
		startStore(t, s)
		putDocument(t, f, documentAt("b", 2))
		time.Sleep(refreshInterval)
		synctest.Wait()
		require.EqualValues(t, 2, currentRevision(s))
	})
}

func TestInvalidDocumentIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		putDocument(t, f, documentAt("a", 1))
		s := newTestStore(f)
		startStore(t, s)
		bad := documentAt("b", 2)
		bad.Rules[0].Then.Service = "none"
		require.False(t, s.ApplyFromPeer(bad))
		putDocument(t, f, bad)
		f.put(DefaultKey, []byte("{"))
		synctest.Wait()
		require.EqualValues(t, 1, currentRevision(s))
		require.EqualValues(t, 3, s.refused.Count())
		time.Sleep(refreshInterval)
		synctest.Wait()
		require.Equal(t, "{", string(f.entries[DefaultKey].Value), "an unreadable document may come from a later release and must not be overwritten")
	})
}
