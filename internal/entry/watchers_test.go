package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/site"
)

// inForceWithin is the users' bound on an accepted change.
const inForceWithin = 4 * time.Second

// TestChangeReachesAZoneWhoseWatchersDied cuts a zone off from the others, but
// not from the platform, while its watchers are dead and still have leases.
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
		s.network.CutZones("a", "b")
		s.network.CutZones("a", "c")
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
