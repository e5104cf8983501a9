package lease

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
)

// stubStore grants every lease and keeps its key until a test removes it. While it
// is unavailable every call fails. Calls that Lease does not use panic.
type stubStore struct {
	kv.Store
	mu            sync.Mutex
	isUnavailable bool
	revision      int64
	holder        kv.Entry
	generation    atomic.Int64
}

func (s *stubStore) Generation() int64 { return s.generation.Load() }

func (s *stubStore) setUnavailable(isUnavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isUnavailable = isUnavailable
}

// lockIfAvailable locks the store, or returns an error while it is unavailable.
func (s *stubStore) lockIfAvailable() error {
	s.mu.Lock()
	if !s.isUnavailable {
		return nil
	}
	s.mu.Unlock()
	return fault.New(fault.Unavailable, "stub", "store", "away")
}

func (s *stubStore) Get(context.Context, string) (kv.Entry, bool, error) {
	if err := s.lockIfAvailable(); err != nil {
		return kv.Entry{}, false, err
	}
	defer s.mu.Unlock()
	return s.holder, s.holder.Key != "", nil
}

func (s *stubStore) List(context.Context, string) (kv.Snapshot, error) {
	if err := s.lockIfAvailable(); err != nil {
		return kv.Snapshot{}, err
	}
	defer s.mu.Unlock()
	snapshot := kv.Snapshot{Revision: s.revision, Generation: s.Generation()}
	if s.holder.Key != "" {
		snapshot.Entries = []kv.Entry{s.holder}
	}
	return snapshot, nil
}

func (s *stubStore) Grant(context.Context, time.Duration) (kv.LeaseID, error) {
	if err := s.lockIfAvailable(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	return 1, nil
}

func (s *stubStore) Txn(_ context.Context, _ []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	if err := s.lockIfAvailable(); err != nil {
		return kv.TxnResult{}, err
	}
	defer s.mu.Unlock()
	s.revision++
	s.holder = kv.Entry{Key: ops[0].Key, Lease: ops[0].Lease, ModRevision: s.revision, CreateRevision: s.revision}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

func (s *stubStore) KeepAlive(context.Context, kv.LeaseID) error {
	err := s.lockIfAvailable()
	if err == nil {
		s.mu.Unlock()
	}
	return err
}

func (s *stubStore) Revoke(context.Context, kv.LeaseID) error { return nil }

// run runs a lease for the duration of f.
func run(t *testing.T, l *Lease, f func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	f()
	cancel()
	<-done
}

func withLease(t *testing.T, isCandidate func() bool, f func(*stubStore, *Lease)) {
	synctest.Test(t, func(t *testing.T) {
		store := &stubStore{}
		l := New(Config{
			Key: "duty", Holder: "a", TTL: 3 * time.Second, ClockMargin: 300 * time.Millisecond, StandbyInterval: time.Second, IsCandidate: isCandidate,
		}, store, telemetry.Discard())
		run(t, l, func() { f(store, l) })
	})
}

// A holder that cannot renew its lease must stop acting before the store deletes
// the key and another process can acquire it.
func TestHolderStopsBeforeItsLeaseLapses(t *testing.T) {
	withLease(t, nil, func(store *stubStore, l *Lease) {
		time.Sleep(10 * time.Second)
		token, _, err := l.Check()
		require.NoError(t, err)
		require.Equal(t, int64(1), token)
		store.setUnavailable(true)
		time.Sleep(2700 * time.Millisecond)
		_, _, err = l.Check()
		require.True(t, fault.Is(err, fault.Conflict))
		store.setUnavailable(false)
		time.Sleep(time.Second)
		again, _, err := l.Check()
		require.NoError(t, err, "the lease had not lapsed in the store")
		require.Equal(t, token, again)
		l.MarkLost(token, "test")
		_, _, err = l.Check()
		require.True(t, fault.Is(err, fault.Conflict))
	})
}

// restore brings the store back from a copy without the holder's key.
func (s *stubStore) restore(generation int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder = kv.Entry{}
	s.generation.Store(generation)
}

// A tenure must not go on over a time in which another process may have held the lease: a
// generation of the store that was passed over, or a lapse.
func TestTenureGoesOnOnlyWithoutAnotherHolder(t *testing.T) {
	withLease(t, nil, func(store *stubStore, l *Lease) {
		store.restore(1)
		time.Sleep(5 * time.Second)
		first, err := l.CheckTenure()
		require.NoError(t, err)
		require.Equal(t, first.Token, first.First)
		require.Equal(t, first.Since, first.AcquiredAt)

		store.restore(2)
		time.Sleep(2 * time.Second)
		second, err := l.CheckTenure()
		require.NoError(t, err)
		require.Greater(t, second.Token, first.Token)
		require.Equal(t, []any{first.First, first.Since}, []any{second.First, second.Since})
		require.True(t, second.AcquiredAt.After(first.AcquiredAt))

		store.restore(4)
		time.Sleep(2 * time.Second)
		third, err := l.CheckTenure()
		require.NoError(t, err)
		require.Equal(t, third.Token, third.First, "generation 3 was passed over")

		store.setUnavailable(true)
		time.Sleep(4 * time.Second)
		_, err = l.CheckTenure()
		require.True(t, fault.Is(err, fault.Conflict))
		store.restore(5)
		store.setUnavailable(false)
		time.Sleep(5 * time.Second)
		fourth, err := l.CheckTenure()
		require.NoError(t, err)
		require.Equal(t, fourth.Token, fourth.First, "the lease had lapsed")
	})
}

func TestOnlyCandidatesAcquireLease(t *testing.T) {
	withLease(t, func() bool { return false }, func(store *stubStore, l *Lease) {
		time.Sleep(10 * time.Second)
		_, _, err := l.Check()
		require.True(t, fault.Is(err, fault.Conflict))
		require.Zero(t, store.revision)
	})
}

// pollStore answers polls as compacted at once, or when the lease is freed or the
// timeout of the poll ends.
type pollStore struct {
	stubStore
	calls       atomic.Int64
	isCompacted bool
	freed       chan struct{}
}

func (s *pollStore) List(ctx context.Context, key string) (kv.Snapshot, error) {
	s.calls.Add(1)
	return s.stubStore.List(ctx, key)
}

func (s *pollStore) Poll(ctx context.Context, key string, _ int64, d time.Duration) (kv.WatchBatch, error) {
	s.calls.Add(1)
	if s.isCompacted {
		return kv.WatchBatch{Compacted: true}, nil
	}
	select {
	case <-s.freed:
		s.mu.Lock()
		s.holder = kv.Entry{}
		s.mu.Unlock()
		return kv.WatchBatch{Events: []kv.Event{{Entry: kv.Entry{Key: key}, Deleted: true}}}, nil
	case <-time.After(d):
	case <-ctx.Done():
	}
	return kv.WatchBatch{Revision: s.revision}, nil
}

func withStandby(t *testing.T, isCompacted bool, f func(*pollStore, *Lease)) {
	synctest.Test(t, func(t *testing.T) {
		store := &pollStore{isCompacted: isCompacted, freed: make(chan struct{})}
		store.revision, store.holder = 5, kv.Entry{Key: "duty", ModRevision: 1}
		l := New(Config{Key: "duty", Holder: "a", TTL: 3 * time.Second, StandbyInterval: 2 * time.Second}, store, telemetry.Discard())
		run(t, l, func() { f(store, l) })
	})
}

func TestStandbyBoundsStoreCalls(t *testing.T) {
	for _, isCompacted := range []bool{false, true} {
		withStandby(t, isCompacted, func(store *pollStore, _ *Lease) {
			time.Sleep(time.Minute)
			// At most two calls per read of the key, and at most one read per half of the
			// standby interval.
			require.Less(t, store.calls.Load(), int64(2*60))
			require.Positive(t, store.calls.Load())
		})
	}
}

func TestStandbyAcquiresFreedLeaseImmediately(t *testing.T) {
	withStandby(t, false, func(store *pollStore, l *Lease) {
		time.Sleep(10 * time.Second)
		store.freed <- struct{}{}
		time.Sleep(time.Second)
		_, _, err := l.Check()
		require.NoError(t, err)
	})
}

func TestHolderGivesUpLeaseWhenNoLongerCandidate(t *testing.T) {
	var isCandidate atomic.Bool
	isCandidate.Store(true)
	withLease(t, isCandidate.Load, func(_ *stubStore, l *Lease) {
		time.Sleep(5 * time.Second)
		_, _, err := l.Check()
		require.NoError(t, err)
		isCandidate.Store(false)
		time.Sleep(2 * time.Second)
		_, _, err = l.Check()
		require.True(t, fault.Is(err, fault.Conflict))
	})
}
