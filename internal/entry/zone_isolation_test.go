package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/standin/site"
)

// isolateZone partitions a zone from the other zones and from the platform.
func (s *testSite) isolateZone(zone string) {
	for _, other := range []string{"a", "b", "c", ""} {
		if other != zone {
			s.network.PartitionZones(zone, other)
		}
	}
}

// insideZone returns the site with a client inside the zone, and a function that closes
// the client's connections.
func (s *testSite) insideZone(zone string) (*testSite, func()) {
	inside := *s
	inside.client = s.clientIn(zone)
	return &inside, inside.client.CloseIdleConnections
}

// entryIn returns the first entry of the zone.
func (s *testSite) entryIn(zone string) *site.Entry {
	for _, e := range s.Entries() {
		if e.Zone == zone {
			return e
		}
	}
	s.t.Fatalf("no entry in zone %s", zone)
	return nil
}

// Sends requests inside a zone that is partitioned from the rest of the site, and one of
// them again outside after the network has healed; it must run exactly once.
func TestIsolatedZoneServesOnlyRepeatableRequests(t *testing.T) {
	withSite(t, nil, func(s *testSite) {
		owner, e := s.entryIn("a"), s.entryIn("c")
		chatKey := map[string]string{"Idempotency-Key": s.keyOwnedBy(owner, "chat-")}
		exportKey := map[string]string{"Idempotency-Key": s.keyOwnedBy(owner, "export-")}
		s.isolateZone("c")
		inside, closeClient := s.insideZone("c")
		defer closeClient()
		for name, c := range map[string]struct {
			path    string
			header  map[string]string
			body    []byte
			outcome string
			within  time.Duration
		}{
			"a chat without a key":                 {chatPath, nil, chatBody("check", 10, false), "completed", 8 * time.Second},
			"a chat whose owner is unreachable":    {chatPath, chatKey, chatBody("check", 10, false), "completed", 12 * time.Second},
			"an export without a key":              {exportPath, nil, []byte("x"), "not-run", 8 * time.Second},
			"an export whose owner is unreachable": {exportPath, exportKey, []byte("x"), "unknown", 20 * time.Second},
		} {
			began := time.Now()
			r, err := inside.send(e, "POST", c.path, c.header, c.body)
			require.NoError(t, err, name)
			require.Equal(t, c.outcome, r.outcome(), "%s: %s", name, r.tail())
			require.Less(t, time.Since(began), c.within, name)
		}
		s.network.HealAll()
		time.Sleep(20 * time.Second)
		r, err := s.send(owner, "POST", exportPath, exportKey, []byte("x"))
		require.NoError(t, err)
		require.Equal(t, "completed", r.outcome(), "%s", r.tail())
		require.Equal(t, 1, s.runs(exportKey["Idempotency-Key"]))
	})
}
