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

// run starts s until the test's end.
func run(t *testing.T, s *Store) {
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

func at(service string, revision int64) *config.Document {
	doc := document(service)
	doc.Revision, doc.OperationID = revision, "op-"+service
	return doc
}

func put(t *testing.T, f *fakeStore, doc *config.Document) {
	value, err := encodeDocument(doc)
	require.NoError(t, err)
	f.put(DefaultKey, value)
}

func revision(s *Store) int64 {
	now, ok := s.Current()
	if !ok {
		return 0
	}
	return now.Revision
}

func TestRunFollowsTheStoreThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		put(t, f, at("a", 1))
		f.set(true)
		s := testStore(f)
		run(t, s)
		time.Sleep(time.Minute)
		require.Zero(t, revision(s))
		require.Less(t, f.callCount(), 40, "calls are backed off")

		f.set(false)
		time.Sleep(maxBackoff)
		require.EqualValues(t, 1, revision(s))
		put(t, f, at("b", 2))
		synctest.Wait()
		require.EqualValues(t, 2, revision(s))

		f.set(true)
		put(t, f, at("c", 3))
		time.Sleep(time.Second)
		f.set(false)
		time.Sleep(maxBackoff)
		require.EqualValues(t, 3, revision(s))
	})
}

func TestNodeTakesTheDocumentFromAPeerDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.set(true)
		s := testStore(f)
		run(t, s)
		latest, stop := s.Subscribe()
		defer stop()
		require.True(t, s.ApplyFromPeer(at("a", 7)))
		require.False(t, s.ApplyFromPeer(at("b", 6)))
		require.EqualValues(t, 7, (<-latest).Revision)
	})
}

func TestNodeThatDoesNotWatchStopsAskingOnceItHasADocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.set(true)
		s := New(Config{Self: "n1", WatchesStore: func() bool { return false }}, f, telemetry.Discard(), nil)
		run(t, s)
		time.Sleep(time.Minute)
		asked := f.callCount()
		require.Greater(t, asked, 1)
		require.True(t, s.ApplyFromPeer(at("a", 7)))
		time.Sleep(time.Hour)
		require.Equal(t, asked, f.callCount())
	})
}

func TestNodeThatDoesNotWatchReadsTheStoreOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		put(t, f, at("a", 1))
		var watches atomic.Bool
		s := New(Config{Self: "n1", WatchesStore: watches.Load}, f, telemetry.Discard(), nil)
		run(t, s)
		time.Sleep(time.Hour)
		require.EqualValues(t, 1, revision(s))
		require.Equal(t, 1, f.callCount())

		watches.Store(true)
		time.Sleep(2 * roleInterval)
		put(t, f, at("b", 2))
		synctest.Wait()
		require.EqualValues(t, 2, revision(s))
	})
}

func TestRestoredStoreDoesNotRevertTheNodeAndIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		put(t, f, at("old", 5))
		s := testStore(f)
		require.True(t, s.ApplyFromPeer(at("new", 7)))
		run(t, s)
		require.EqualValues(t, 7, revision(s))
		require.EqualValues(t, 7, stored(t, f).Revision, "the accepted change is written back")
		_, behind := s.RolledBackRevision()
		require.False(t, behind)
	})
}

func TestRollbackUnderTheWatchIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		put(t, f, at("new", 7))
		s := testStore(f)
		run(t, s)
		put(t, f, at("old", 5))
		synctest.Wait()
		require.EqualValues(t, 7, revision(s))
		require.EqualValues(t, 7, stored(t, f).Revision)
		_, behind := s.RolledBackRevision()
		require.False(t, behind)
	})
}

func TestRollbackThatCannotBeRepairedIsShown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		put(t, f, at("new", 7))
		s := testStore(f)
		run(t, s)
		f.mu.Lock()
		f.faults = []txnFault{lostBefore}
		f.mu.Unlock()
		put(t, f, at("old", 5))
		synctest.Wait()
		shown, behind := s.RolledBackRevision()
		require.True(t, behind)
		require.EqualValues(t, 5, shown)
		require.EqualValues(t, 7, revision(s))
		time.Sleep(refreshInterval)
		synctest.Wait()
		require.EqualValues(t, 7, stored(t, f).Revision)
	})
}

func TestChangeGoesOverARestoredStore(t *testing.T) {
	f := newFake()
	put(t, f, at("old", 5))
	s := testStore(f)
	require.True(t, s.ApplyFromPeer(at("new", 7)))
	_, err := s.Propose(t.Context(), change("next", 7, "op8"))
	require.NoError(t, err)
	require.EqualValues(t, 8, stored(t, f).Revision)
}

func TestSilentWatchIsMadeUpForByReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.silent = true
		put(t, f, at("a", 1))
		s := testStore(f)
		run(t, s)
		put(t, f, at("b", 2))
		time.Sleep(refreshInterval)
		synctest.Wait()
		require.EqualValues(t, 2, revision(s))
	})
}

func TestWrongDocumentIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		put(t, f, at("a", 1))
		s := testStore(f)
		run(t, s)
		bad := at("b", 2)
		bad.Rules[0].Then.Service = "none"
		require.False(t, s.ApplyFromPeer(bad))
		put(t, f, bad)
		f.put(DefaultKey, []byte("{"))
		synctest.Wait()
		require.EqualValues(t, 1, revision(s))
		require.EqualValues(t, 3, s.refused.Count())
		time.Sleep(refreshInterval)
		synctest.Wait()
		require.Equal(t, "{", string(f.entries[DefaultKey].Value), "it may come from a later release")
	})
}
