package claim

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/fault"
)

// withSite runs f in a synctest bubble with a site in which node 0 owns
// partition 0.
func withSite(t *testing.T, nodes int, cfg Config, f func(t *testing.T, s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(nodes, cfg)
		defer s.stop()
		s.assign(0, 0, s.nodes...)
		f(t, s)
	})
}

func requireFault(t *testing.T, want *errorx.Type, err error) {
	t.Helper()
	require.True(t, fault.Is(err, want), "want %s, got %v", want, err)
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestNewOwnerSeesEarlierClaims(t *testing.T) {
	withSite(t, 2, Config{}, func(t *testing.T, s *site) {
		a, b := s.nodes[0], s.nodes[1]
		c := a.claim(testID(0, 1), 1)
		require.NoError(t, a.Commit(t.Context(), c))
		require.NoError(t, a.Commit(t.Context(), c), "the same attempt again")
		requireFault(t, fault.Conflict, a.Commit(t.Context(), a.claim(c.Request, 2)))
		_, _, err := b.Lookup(t.Context(), c.Request)
		requireFault(t, fault.Conflict, err)

		s.assign(0, 1, b) // a does not receive the new table
		got, found, err := b.Lookup(t.Context(), c.Request)
		require.NoError(t, err)
		require.True(t, found && got.sameAttempt(c), "%+v", got)
		require.Equal(t, c.Target, got.Target)
		requireFault(t, fault.Conflict, b.Commit(t.Context(), b.claim(c.Request, 3)))
		requireFault(t, fault.Conflict, a.Commit(t.Context(), a.claim(testID(0, 2), 1)))
		require.NoError(t, b.Commit(t.Context(), b.claim(testID(0, 2), 2)))
	})
}

func TestLaterOwnersAmendmentsWin(t *testing.T) {
	withSite(t, 6, Config{}, func(t *testing.T, s *site) {
		c := s.nodes[0].claim(testID(0, 1), 1)
		require.NoError(t, s.nodes[0].Commit(t.Context(), c))
		for i, n := range s.nodes[1:] {
			s.assign(0, i+1, s.nodes...)
			got, found, err := n.Lookup(t.Context(), c.Request)
			require.NoError(t, err)
			require.True(t, found)
			require.Equal(t, i+1, got.Number, "the latest attempt is known")
			next := n.claim(c.Request, i+2)
			next.Number = got.Number + 1
			require.NoError(t, n.Amend(t.Context(), next))
		}
	})
}

func TestStaleReadIsRejected(t *testing.T) {
	withSite(t, 2, Config{}, func(t *testing.T, s *site) {
		a, b := s.nodes[0], s.nodes[1]
		old := s.store.list("claims/")
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 1), 1)))
		s.assign(0, 1, s.nodes...)
		b.nodeStore.set(func(v *nodeStore) { v.staleList = &old })
		_, _, err := b.Lookup(t.Context(), testID(0, 1))
		requireFault(t, fault.Unavailable, err)
		requireFault(t, fault.Unavailable, b.Commit(t.Context(), b.claim(testID(0, 1), 2)))
		b.nodeStore.set(func(v *nodeStore) { v.staleList = nil })
		_, found, err := b.Lookup(t.Context(), testID(0, 1))
		require.NoError(t, err)
		require.True(t, found)
	})
}

func TestHungWriterIsBypassed(t *testing.T) {
	withSite(t, 2, Config{}, func(t *testing.T, s *site) {
		a, b := s.nodes[0], s.nodes[1]
		a.setWriter(b)
		s.pause(b, true)
		began := time.Now()
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 1), 1)))
		require.Less(t, time.Since(began), 2*defaultRelayTimeout)
		require.EqualValues(t, 1, a.ambiguities.Count())
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 2), 1)))
		require.EqualValues(t, 1, a.ambiguities.Count(), "the writer is not called during the backoff")
		s.pause(b, false) // its delayed write fails
		time.Sleep(time.Second)
		require.Len(t, s.store.list("claims/").Entries, 2)
	})
}

func TestReturningOwnerReloadsPartition(t *testing.T) {
	withSite(t, 2, Config{}, func(t *testing.T, s *site) {
		a, b := s.nodes[0], s.nodes[1]
		id := testID(0, 1)
		_, found, err := a.Lookup(t.Context(), id)
		require.NoError(t, err)
		require.False(t, found)
		s.assign(0, 1, b)
		require.NoError(t, b.Commit(t.Context(), b.claim(id, 1)))
		s.assign(0, 0, s.nodes...) // a has missed the table in between, so it must reload
		_, found, err = a.Lookup(t.Context(), id)
		require.NoError(t, err)
		require.True(t, found)
		requireFault(t, fault.Conflict, a.Commit(t.Context(), a.claim(id, 2)))
	})
}

func TestPausedOwnerCannotCommit(t *testing.T) {
	withSite(t, 2, Config{}, func(t *testing.T, s *site) {
		a, b := s.nodes[0], s.nodes[1]
		_, _, err := a.Lookup(t.Context(), testID(0, 1))
		require.NoError(t, err)
		s.pause(a, true)
		result := make(chan error, 1)
		go func() { result <- a.Commit(context.Background(), a.claim(testID(0, 1), 1)) }()
		synctest.Wait()
		s.assign(0, 1, b)
		require.NoError(t, b.Commit(t.Context(), b.claim(testID(0, 1), 2)))
		time.Sleep(time.Minute)
		s.pause(a, false)
		requireFault(t, fault.Conflict, <-result)
	})
}

func TestLostAnswerIsResolved(t *testing.T) {
	withSite(t, 1, Config{}, func(t *testing.T, s *site) {
		a := s.nodes[0]
		a.nodeStore.set(func(v *nodeStore) { v.loseAnswers = 1 })
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 1), 1)))
		require.Len(t, s.store.list("claims/").Entries, 1)
		a.nodeStore.set(func(v *nodeStore) { v.loseAnswers = 2 })
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 2), 1)))
		require.Len(t, s.store.list("claims/").Entries, 2)
	})
}

func TestLateWriteFailsAfterTimeout(t *testing.T) {
	withSite(t, 1, Config{}, func(t *testing.T, s *site) {
		a := s.nodes[0]
		_, _, err := a.Lookup(t.Context(), testID(0, 1))
		require.NoError(t, err)
		a.nodeStore.set(func(v *nodeStore) { v.delayNextWrite = time.Hour })
		requireFault(t, fault.Ambiguous, a.Commit(contextWithTimeout(t, 10*time.Millisecond), a.claim(testID(0, 1), 1)))
		_, _, err = a.Lookup(t.Context(), testID(0, 1))
		requireFault(t, fault.Unavailable, err)
		requireFault(t, fault.Ambiguous, a.Commit(t.Context(), a.claim(testID(0, 1), 2)))
		time.Sleep(time.Second)
		_, found, err := a.Lookup(t.Context(), testID(0, 1))
		require.NoError(t, err)
		require.False(t, found, "the write is known not to have taken effect")
		second := a.claim(testID(0, 1), 3)
		require.NoError(t, a.Commit(t.Context(), second))
		time.Sleep(2 * time.Hour)
		s.assign(0, 0) // a misses a table, so it reloads the partition
		s.assign(0, 0, a)
		got, _, err := a.Lookup(t.Context(), testID(0, 1))
		require.NoError(t, err)
		require.True(t, got.sameAttempt(second), "the delayed write took effect: %+v", got)
	})
}

func TestStoreDown(t *testing.T) {
	withSite(t, 1, Config{}, func(t *testing.T, s *site) {
		a := s.nodes[0]
		down := func(on bool) { a.nodeStore.set(func(v *nodeStore) { v.down = on }) }
		down(true)
		_, _, err := a.Lookup(t.Context(), testID(0, 1))
		requireFault(t, fault.Unavailable, err)
		requireFault(t, fault.Unavailable, a.Commit(t.Context(), a.claim(testID(0, 1), 1)))
		down(false)
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 1), 2)))
		down(true)
		requireFault(t, fault.Unavailable, a.Commit(t.Context(), a.claim(testID(0, 2), 1)))
		got, found, err := a.Lookup(t.Context(), testID(0, 1))
		require.NoError(t, err, "loaded claims stay available while the store is down")
		require.True(t, found)
		require.Equal(t, "n0", got.Owner)
	})
}

func TestAmendAndRelease(t *testing.T) {
	withSite(t, 1, Config{}, func(t *testing.T, s *site) {
		a := s.nodes[0]
		with := func(serial, number int, released bool) Claim {
			c := a.claim(testID(0, 1), serial)
			c.Number, c.Released = number, released
			return c
		}
		requireFault(t, fault.Conflict, a.Amend(t.Context(), with(1, 1, false)))
		require.NoError(t, a.Commit(t.Context(), with(1, 1, false)))
		requireFault(t, fault.Conflict, a.Amend(t.Context(), with(2, 3, false)))
		require.NoError(t, a.Amend(t.Context(), with(2, 2, false)))
		require.NoError(t, a.Amend(t.Context(), with(2, 2, true)))
		requireFault(t, fault.Conflict, a.Amend(t.Context(), with(3, 3, false)))
		require.NoError(t, a.Commit(t.Context(), with(4, 3, false)))
		bad := a.claim("xyz", 1)
		requireFault(t, fault.Invalid, a.Commit(t.Context(), bad))
	})
}

// commitMany commits count claims at each node concurrently and returns the
// number of store transactions.
func commitMany(t *testing.T, s *site, nodes []*node, count int) int {
	before := s.store.txns
	var wg sync.WaitGroup
	for i, n := range nodes {
		for k := range count {
			wg.Go(func() {
				if err := n.Commit(t.Context(), n.claim(testID(i, 100+k), 1)); err != nil {
					t.Errorf("node %d claim %d: %v", i, k, err)
				}
			})
		}
	}
	wg.Wait()
	return s.store.txns - before
}

func TestWriterMergesBatches(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(s *site)
		// atMost is the maximum number of transactions for 150 claims. A node
		// sends at most three batches: two in flight, and one with all claims
		// that were queued meanwhile.
		atMost int
	}{
		"one writer":          {func(*site) {}, 4},
		"two writers":         {func(s *site) { s.nodes[2].setWriter(s.nodes[2]) }, 7},
		"writer unreachable":  {func(s *site) { s.net.setPartitioned(true) }, 9},
		"writer's store down": {func(s *site) { s.nodes[3].nodeStore.down = true }, 9},
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, 4, Config{}, func(t *testing.T, s *site) {
				for i, n := range s.nodes {
					n.setWriter(s.nodes[3])
					s.assign(i, i, s.nodes...)
				}
				tc.prepare(s)
				require.LessOrEqual(t, commitMany(t, s, s.nodes[:3], 50), tc.atMost)
				require.Zero(t, s.nodes[0].ambiguities.Count())
			})
		})
	}
}

func TestSweepRemovesOldClaims(t *testing.T) {
	withSite(t, 2, Config{Retention: time.Hour}, func(t *testing.T, s *site) {
		a, b := s.nodes[0], s.nodes[1]
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 1), 1)))
		time.Sleep(30 * time.Minute)
		require.NoError(t, a.Commit(t.Context(), a.claim(testID(0, 2), 1)))
		s.assign(0, 1, a, b) // the new owner sweeps without any request for the partition
		time.Sleep(45 * time.Minute)
		require.Len(t, s.store.list("claims/").Entries, 1)
		_, found, err := b.Lookup(t.Context(), testID(0, 1))
		require.NoError(t, err)
		require.False(t, found)
		_, found, err = b.Lookup(t.Context(), testID(0, 2))
		require.NoError(t, err)
		require.True(t, found)
	})
}

func TestOwnershipTracker(t *testing.T) {
	var tracker OwnershipTracker
	own := func(p int) bool { return p == 1 }
	steps := []struct {
		revision, previous, since int64
		owns                      func(int) bool
	}{
		{5, 0, 5, own},
		{7, 5, 5, own}, // nothing missed
		{6, 5, 5, func(int) bool { return false }}, // older table
		{12, 9, 12, own}, // a table was missed
		{13, 12, 0, func(int) bool { return false }}, // partition lost
		{14, 13, 14, own},
	}
	for _, step := range steps {
		tracker.Observe(step.revision, step.previous, step.owns)
		since, owned := tracker.OwnedSince(1)
		require.Equal(t, step.since, since, "table %d", step.revision)
		require.Equal(t, step.since != 0, owned)
	}
}

func TestDecodeRejectsTruncatedClaim(t *testing.T) {
	n := &node{}
	encoded, err := encodeClaim(n.claim(testID(3, 1), 1))
	require.NoError(t, err)
	for cut := 1; cut < len(encoded); cut++ {
		_, err := decodeClaims(encoded[:cut])
		requireFault(t, fault.Protocol, err)
	}
	claims, err := decodeClaims(append(encoded, encoded...))
	require.NoError(t, err)
	require.Len(t, claims, 2)
}
