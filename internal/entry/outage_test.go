package entry_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
)

const exportPath = "/services/report/exports"

// useOwnerMode configures the report service to continue during a store outage.
func (s *testSite) useOwnerMode() {
	doc := testDocument()
	doc.Services[1].StoreOutage = config.OutageOwner
	_, err := s.Propose(s.t.Context(), s.Entries()[0], doc, 1, "owner mode")
	require.NoError(s.t, err)
	time.Sleep(5 * time.Second)
}

func TestOwnerModeRunsOnceAcrossAStoreOutageAndTheLossOfTheOwner(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.useOwnerMode()
		owner := s.Entries()[4]
		key := s.keyOwnedBy(owner, "export-")
		header := map[string]string{"Idempotency-Key": key}
		s.Store.Faults.SetOutage(true)
		first, err := s.send(s.Entries()[0], "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, "completed", first.outcome(), "%s", first.tail())
		again, err := s.send(s.Entries()[1], "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, first.body, again.body)
		s.Store.Faults.SetOutage(false)
		time.Sleep(20 * time.Second)
		owner.Kill()
		time.Sleep(30 * time.Second)
		later, err := s.send(s.Entries()[0], "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, "unknown", later.outcome(), "%s", later.tail())
		require.Equal(t, 1, s.runs(key))
	})
}

func TestOwnerModeRequestOfAnIsolatedOwnerDoesNotRunElsewhere(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.useOwnerMode()
		owner := s.Entries()[4]
		require.Equal(t, "c", owner.Zone)
		key := s.keyOwnedBy(owner, "export-")
		header := map[string]string{"Idempotency-Key": key}
		s.isolateZone("c")
		inZone, closeClient := s.insideZone("c")
		defer closeClient()
		inside, err := inZone.send(owner, "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, "completed", inside.outcome(), "%s", inside.tail())
		time.Sleep(30 * time.Second) // the other members remove those of zone c
		outside, err := s.send(s.Entries()[0], "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, "unknown", outside.outcome(), "%s", outside.tail())
		s.network.HealAll()
		time.Sleep(30 * time.Second)
		healed, err := s.send(s.Entries()[0], "POST", exportPath, header, []byte("x"))
		require.NoError(t, err)
		require.Contains(t, []string{"unknown", "completed"}, healed.outcome(), "%s", healed.tail())
		require.Equal(t, 1, s.runs(key))
	})
}

// Replaces every entry, one after the other, during a store outage.
func TestNodeStartedDuringAStoreOutageGetsTheDocumentFromPeers(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.Store.Faults.SetOutage(true)
		for _, old := range s.Entries() {
			e, err := s.StartEntry(old.Zone)
			require.NoError(t, err)
			s.eventually("the new entry is ready", func() bool { return e.Node.Ready() == nil })
			old.Kill()
			snapshot, ok := e.Node.Documents().Current()
			require.True(t, ok)
			require.Equal(t, int64(1), snapshot.Revision)
			r, err := s.send(e, "POST", chatPath, nil, chatBody("check the shop", 10, false))
			require.NoError(t, err)
			require.Equal(t, "completed", r.outcome(), "%s", r.tail())
		}
	})
}

// Proposes changes at several entries; each must be in force at all entries in time.
func TestConfigurationIsInForceEverywhereWithinFourSeconds(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		for i := range int64(5) {
			doc := testDocument()
			doc.Rules[0].Then.Priority = []string{"high", "low"}[i%2]
			accepting := s.Entries()[int(i)]
			_, err := s.Propose(s.t.Context(), accepting, doc, i+1, "change "+strconv.FormatInt(i, 10))
			require.NoError(t, err)
			accepted := time.Now()
			for _, e := range s.Entries() {
				for {
					snapshot, _ := e.Node.Documents().Current()
					if snapshot.Revision >= i+2 {
						break
					}
					time.Sleep(10 * time.Millisecond)
				}
			}
			require.Less(t, time.Since(accepted), 4*time.Second)
		}
	})
}
