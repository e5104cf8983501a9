package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/site"
)

// TestZoneUnderNoticeLeavesInFewChanges takes a zone with many entries back at
// once. A node that stays takes them out of the table together.
func TestZoneUnderNoticeLeavesInFewChanges(t *testing.T) {
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
		require.LessOrEqual(t, s.Store.Calls()["txn"]-before, int64(6), "changes of the table for 12 nodes")
	})
}
