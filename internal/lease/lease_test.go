package lease

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
	"buckthornpick/internal/kv"
	"buckthornpick/internal/telemetry"
)

// stubStore grants every lease and forgets nothing; while it is away every call
// fails. Calls that the lease does not make panic.
type stubStore struct {
	kv.Store
	mu       sync.Mutex
	isAway   bool
	revision int64
	holder   kv.Entry
}

func (s *stubStore) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = away
}

// enter locks the store, or fails while it is away.
func (s *stubStore) enter() error {
	s.mu.Lock()
	if !s.isAway {
		return nil
	}
	s.mu.Unlock()
	return fault.New(fault.Unavailable, "stub", "store", "away")
}

func (s *stubStore) Get(context.Context, string) (kv.Entry, bool, error) {
	if err := s.enter(); err != nil {
		return kv.Entry{}, false, err
	}
	defer s.mu.Unlock()
	return s.holder, s.holder.Key != "", nil
}

func (s *stubStore) Grant(context.Context, time.Duration) (kv.LeaseID, error) {
	if err := s.enter(); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	return 1, nil
}

func (s *stubStore) Txn(_ context.Context, _ []kv.Compare, ops []kv.Op) (kv.TxnResult, error) {
	if err := s.enter(); err != nil {
		return kv.TxnResult{}, err
	}
	defer s.mu.Unlock()
	s.revision++
	s.holder = kv.Entry{Key: ops[0].Key, Lease: ops[0].Lease, ModRevision: s.revision, CreateRevision: s.revision}
	return kv.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

func (s *stubStore) KeepAlive(context.Context, kv.LeaseID) error {
	err := s.enter()
	if err == nil {
		s.mu.Unlock()
	}
	return err
}

func (s *stubStore) Revoke(context.Context, kv.LeaseID) error { return nil }

func withLease(t *testing.T, candidate func() bool, f func(*stubStore, *Lease)) {
	synctest.Test(t, func(t *testing.T) {
		store := &stubStore{}
		l := New(Config{
			Key: "duty", Holder: "a", TTL: 3 * time.Second, Margin: 300 * time.Millisecond, Standby: time.Second, IsCandidate: candidate,
		}, store, telemetry.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = l.Run(ctx) }()
		f(store, l)
		cancel()
		<-done
	})
}

// A holder that cannot renew stops acting before the store frees the key.
func TestHolderStopsBeforeItsLeaseLapses(t *testing.T) {
	withLease(t, nil, func(store *stubStore, l *Lease) {
		time.Sleep(10 * time.Second)
		token, _, err := l.Check()
		require.NoError(t, err)
		require.Equal(t, int64(1), token)
		store.set(true)
		time.Sleep(2700 * time.Millisecond)
		_, _, err = l.Check()
		require.True(t, fault.Is(err, fault.Conflict))
		store.set(false)
		time.Sleep(time.Second)
		again, _, err := l.Check()
		require.NoError(t, err, "the lease had not lapsed in the store")
		require.Equal(t, token, again)
		l.Lose(token, "test")
		_, _, err = l.Check()
		require.True(t, fault.Is(err, fault.Conflict))
	})
}

func TestOnlyCandidatesTakeALease(t *testing.T) {
	withLease(t, func() bool { return false }, func(store *stubStore, l *Lease) {
		time.Sleep(10 * time.Second)
		_, _, err := l.Check()
		require.True(t, fault.Is(err, fault.Conflict))
		require.Zero(t, store.revision)
	})
}
