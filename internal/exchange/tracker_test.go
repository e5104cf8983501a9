package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/relay"
	"buckthornpick/internal/usage"
)

const unregisteredGrace = 11800 * time.Millisecond

func TestPartitionedEntryKeepsItsShareAfterDeregistration(t *testing.T) {
	tracker := newEntryTracker(unregisteredGrace)
	tracker.recordState("b", 0, &stateMessage{})
	tracker.recordState("c", 0, &stateMessage{})
	site, changes := tracker.evaluate(100*time.Millisecond, []string{"b", "c"}, false)
	require.Equal(t, 3, site.Entries)
	require.Equal(t, 3, site.Reachable)
	require.Len(t, changes, 2)

	for now := 2 * time.Second; now < unregisteredGrace; now += time.Second {
		tracker.recordState("c", now, &stateMessage{})
		site, _ = tracker.evaluate(now, []string{"c"}, false)
		require.Equal(t, 3, site.Entries, "b may still serve after %v", now)
		require.Equal(t, 2, site.Reachable)
	}
	tracker.recordState("c", unregisteredGrace, &stateMessage{})
	site, _ = tracker.evaluate(unregisteredGrace, []string{"c"}, false)
	require.Equal(t, 2, site.Entries)
	require.Equal(t, 2, site.Reachable)
}

func TestLeavingEntryKeepsNoShare(t *testing.T) {
	tracker := newEntryTracker(unregisteredGrace)
	tracker.recordState("b", 0, &stateMessage{IsLeaving: true})
	site, _ := tracker.evaluate(100*time.Millisecond, nil, false)
	require.Equal(t, 1, site.Entries)
	tracker.recordState("b", 5*time.Second, &stateMessage{})
	site, _ = tracker.evaluate(5*time.Second, []string{"b"}, false)
	require.Equal(t, 2, site.Entries, "started again")
	require.Equal(t, 2, site.Reachable)
}

func TestReachabilityChangesAreReturned(t *testing.T) {
	tracker := newEntryTracker(unregisteredGrace)
	tracker.recordState("b", 0, &stateMessage{})
	_, changes := tracker.evaluate(0, []string{"b"}, false)
	require.Equal(t, []reachabilityChange{{"b", true, 0}}, changes)
	site, changes := tracker.evaluate(silenceTimeout, []string{"b"}, false)
	require.Equal(t, []reachabilityChange{{"b", false, silenceTimeout}}, changes)
	require.Equal(t, 1, site.Reachable)
	require.Equal(t, 2, site.Entries)
	tracker.recordState("b", 3*time.Second, &stateMessage{})
	_, changes = tracker.evaluate(3*time.Second, []string{"b"}, false)
	require.Equal(t, []reachabilityChange{{"b", true, 0}}, changes)
}

// The first messages of a restarted entry may be lost, or hold no usage yet.
func TestRestartedEntryDoesNotKeepTheUsageOfItsFormerRun(t *testing.T) {
	tracker := newEntryTracker(unregisteredGrace)
	former := usage.WindowCounts{7: {"o": 40}}
	tracker.recordState("b", 0, &stateMessage{Run: "b/1", Usage: former, Prefill: map[string]relay.PrefillStats{"s": {Tokens: 9}}})
	tracker.recordState("b", time.Second, &stateMessage{Run: "b/1"})
	require.Equal(t, former, tracker.states["b"].usage)
	tracker.recordState("b", 2*time.Second, &stateMessage{Run: "b/2"})
	require.Empty(t, tracker.states["b"].usage)
	require.Empty(t, tracker.states["b"].prefill)
}
