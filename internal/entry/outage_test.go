package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/config"
)

const exportPath = "/services/report/exports"

// useOwnerMode lets the report service go on without the store.
func (s *testSite) useOwnerMode() {
	doc := testDocument()
	doc.Services[1].StoreOutage = config.OutageOwner
	_, err := s.Propose(s.t.Context(), s.Entries()[0], doc, 1, "owner mode")
	require.NoError(s.t, err)
	time.Sleep(5 * time.Second)
}

func TestOwnerModeRunsOnceThroughAnOutageAndTheLossOfTheOwner(t *testing.T) {
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

func TestOwnerModeOfAnOwnerCutOffFromTheStoreIsNotRunElsewhere(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.useOwnerMode()
		owner := s.Entries()[4]
		require.Equal(t, "c", owner.Zone)
		key := s.keyOwnedBy(owner, "export-")
		header := map[string]string{"Idempotency-Key": key}
		s.network.CutZones("c", "")
		s.network.CutZones("c", "b")
		s.network.CutZones("c", "a")
		inside := s.sendFromZone("c", owner, header)
		require.Equal(t, "completed", inside.outcome(), "%s", inside.tail())
		time.Sleep(30 * time.Second) // the others remove zone c's members
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
