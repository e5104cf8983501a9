package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const mayServe = 11800 * time.Millisecond

func TestPartitionedEntryKeepsItsShareAfterDeregistration(t *testing.T) {
	a := newAttendance(mayServe)
	a.heard("b", 0, &state{})
	a.heard("c", 0, &state{})
	site, changes := a.judge(100*time.Millisecond, []string{"b", "c"}, false)
	require.Equal(t, 3, site.Entries)
	require.Equal(t, 3, site.Reachable)
	require.Len(t, changes, 2)

	for now := 2 * time.Second; now < mayServe; now += time.Second {
		a.heard("c", now, &state{})
		site, _ = a.judge(now, []string{"c"}, false)
		require.Equal(t, 3, site.Entries, "b may still serve after %v", now)
		require.Equal(t, 2, site.Reachable)
	}
	a.heard("c", mayServe, &state{})
	site, _ = a.judge(mayServe, []string{"c"}, false)
	require.Equal(t, 2, site.Entries)
	require.Equal(t, 2, site.Reachable)
}

func TestLeavingEntryKeepsNoShare(t *testing.T) {
	a := newAttendance(mayServe)
	a.heard("b", 0, &state{IsLeaving: true})
	site, _ := a.judge(100*time.Millisecond, nil, false)
	require.Equal(t, 1, site.Entries)
	a.heard("b", 5*time.Second, &state{})
	site, _ = a.judge(5*time.Second, []string{"b"}, false)
	require.Equal(t, 2, site.Entries, "started again")
	require.Equal(t, 2, site.Reachable)
}

func TestReachabilityChangesAreReturned(t *testing.T) {
	a := newAttendance(mayServe)
	a.heard("b", 0, &state{})
	_, changes := a.judge(0, []string{"b"}, false)
	require.Equal(t, []touch{{"b", true, 0}}, changes)
	site, changes := a.judge(silence, []string{"b"}, false)
	require.Equal(t, []touch{{"b", false, silence}}, changes)
	require.Equal(t, 1, site.Reachable)
	require.Equal(t, 2, site.Entries)
	a.heard("b", 3*time.Second, &state{})
	_, changes = a.judge(3*time.Second, []string{"b"}, false)
	require.Equal(t, []touch{{"b", true, 0}}, changes)
}
