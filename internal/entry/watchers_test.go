package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/site"
)

// inForceWithin is the required limit on the time until an accepted change of the
// document is in force.
const inForceWithin = 4 * time.Second

// The members of a zone that watch the store have died, but their leases have not
// expired, and the zone is partitioned from the other zones but not from the platform.
// Its remaining entries must watch the store themselves.
func TestChangeReachesAZoneWhoseWatchersDied(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		var started []*site.Entry
		for _, e := range s.Entries() {
			if e.Zone != "a" {
				continue
			}
			next, err := s.StartEntry("a")
			require.NoError(t, err)
			started = append(started, next)
		}
		s.eventually("the new entries have the document", func() bool {
			for _, e := range started {
				if _, isMember := e.Node.Members().Table().Find(e.ID); !isMember || e.Node.Ready() != nil {
					return false
				}
			}
			return true
		})
		for _, e := range s.Entries() {
			if e.Zone == "a" && e.ID != started[0].ID && e.ID != started[1].ID {
				e.Kill()
			}
		}
		s.network.PartitionZones("a", "b")
		s.network.PartitionZones("a", "c")
		time.Sleep(time.Second)

		revision, err := s.Propose(s.t.Context(), s.entryIn("b"), testDocument(), 1, "second")
		require.NoError(t, err)
		time.Sleep(inForceWithin)
		for _, e := range started {
			doc, ok := e.Node.Document()
			require.True(t, ok)
			require.Equal(t, revision, doc.Revision, "%s", e.ID)
		}
	})
}

// The watches of two zones have gone silent, and the zone in which a change is accepted
// cannot reach them. They must read the change from the store on new connections.
func TestChangeReachesZonesWhoseWatchesAreSilent(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		s.network.PartitionZones("a", "c")
		s.network.PartitionZones("b", "c")
		for _, e := range s.Entries() {
			if e.Zone != "c" {
				s.network.SilenceConnections(e.ID, "") // the store's zone
			}
		}
		revision, err := s.Propose(s.t.Context(), s.entryIn("c"), testDocument(), 1, "second")
		require.NoError(t, err)
		time.Sleep(inForceWithin)
		for _, e := range s.Entries() {
			doc, ok := e.Node.Document()
			require.True(t, ok)
			require.Equal(t, revision, doc.Revision, "%s", e.ID)
		}
	})
}
