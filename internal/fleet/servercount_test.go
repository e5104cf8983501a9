package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var threeZones = []ServerZone{{"a", 0.85}, {"b", 1.2}, {"c", 1.0}}

func TestServerCountsFollowDemandWithinBounds(t *testing.T) {
	in := ServerCountInput{Zones: threeZones, Min: 1, Max: 6}
	for _, tc := range []struct {
		name    string
		demand  float64
		running int
		want    map[string]ServerCount
	}{
		{"idle: each zone serves its own callers when it is partitioned", 0, 0, map[string]ServerCount{"a": {OnDemand: 2}, "b": {OnDemand: 2}, "c": {OnDemand: 2}}},
		{"the remainder goes to the cheaper zones", 4, 0, map[string]ServerCount{"a": {OnDemand: 3}, "b": {OnDemand: 2}, "c": {OnDemand: 2}}},
		{"long running streams", 0, 300, map[string]ServerCount{"a": {OnDemand: 3}, "b": {OnDemand: 2}, "c": {OnDemand: 3}}},
		{"a burst orders at most the load-driven share of the maximum", 50, 2000, map[string]ServerCount{"a": {OnDemand: 3}, "b": {OnDemand: 3}, "c": {OnDemand: 3}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in.Demand, in.Running = tc.demand, tc.running
			require.Equal(t, tc.want, ServerCounts(in))
		})
	}
	in.Min, in.Max = 4, 4
	require.Equal(t, map[string]ServerCount{"a": {OnDemand: 4}, "b": {OnDemand: 4}, "c": {OnDemand: 4}}, ServerCounts(in), "the configured bounds take precedence")
	require.Empty(t, ServerCounts(ServerCountInput{Min: 1, Max: 6}))
}

func TestReclaimableServersCarryLoadAboveOnDemandMinimum(t *testing.T) {
	in := ServerCountInput{Zones: threeZones, Min: 1, Max: 6, ReclaimablePrice: 0.2, Demand: 4}
	require.Equal(t, ServerCount{OnDemand: 3, Reclaimable: 3}, ServerCounts(in)["a"], "no reclaimable server is ready yet")
	in.ReadyReclaimable = map[string]int{"a": 2, "b": 3}
	want := ServerCounts(in)
	require.Equal(t, ServerCount{OnDemand: 1, Reclaimable: 4}, want["a"])
	require.Equal(t, ServerCount{OnDemand: 1, Reclaimable: 3}, want["b"])
	require.Equal(t, ServerCount{OnDemand: 2, Reclaimable: 3}, want["c"], "the zone was reclaimed")
	in.Max = 2
	for _, n := range ServerCounts(in) {
		require.LessOrEqual(t, n.OnDemand+n.Reclaimable, in.Max)
	}
	in.ReclaimablePrice = 0.9
	require.Zero(t, ServerCounts(in)["a"].Reclaimable, "reclaimable servers are too expensive for the cost of a reclaim")
}

func TestServerCountsRespectLowMaximum(t *testing.T) {
	require.Equal(t, map[string]ServerCount{"a": {OnDemand: 1}}, ServerCounts(ServerCountInput{Zones: threeZones[:1], Min: 0, Max: 1, Demand: 9}))
}

func TestSlidingMaxFollowsRiseAtOnceAndFallAfterWindow(t *testing.T) {
	peak := SlidingMax{Window: 4 * time.Second}
	require.InDelta(t, 1, peak.Add(0, 1), 0)
	require.False(t, peak.IsFull(0))
	require.InDelta(t, 5, peak.Add(2*time.Second, 5), 0)
	require.InDelta(t, 5, peak.Add(5*time.Second, 1), 0)
	require.InDelta(t, 1, peak.Add(7*time.Second, 1), 0)
	require.True(t, peak.IsFull(9*time.Second))
}
