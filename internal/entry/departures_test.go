package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/site"
)

// Reclaims a zone with many entries at once. If each left the table by its own
// transaction, the transactions would conflict; instead a remaining node must remove
// them together.
func TestReclaimedZoneLeavesTheTableInFewTransactions(t *testing.T) {
	manyInOneZone := func(o *site.Options) {
		for range 10 {
			o.Entries = append(o.Entries, "a")
		}
	}
	withSite(t, manyInOneZone, func(s *testSite) {
		time.Sleep(10 * time.Second)
		before := s.Store.Calls()["txn"]
		s.Cloud.ReclaimZone("a", 30*time.Second)
		time.Sleep(5 * time.Second)
		for _, e := range s.Entries() {
			if e.Zone == "a" {
				continue
			}
			for _, m := range e.Node.Members().Table().Members {
				require.NotEqual(t, "a", m.Zone, "at %s", e.ID)
			}
		}
		require.LessOrEqual(t, s.Store.Calls()["txn"]-before, int64(6), "transactions for the departure of 12 nodes")
	})
}
