package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"buckthornpick/internal/follow"
	"buckthornpick/internal/standin/memnet"
	"buckthornpick/internal/upstream"
)

// Two entries that both permit requests to a server stay within one and a half times
// its limit and five requests more in any four seconds.
func TestPermitsOfTwoEntriesStayWithinTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1, 1.6, 4, 20} {
		rng := rand.New(rand.NewPCG(1, uint64(perSecond*10)))
		limits := [2]limitState{{ServerLimit: ServerLimit{IsNamed: true, PerSecond: perSecond}}, {ServerLimit: ServerLimit{IsNamed: true, PerSecond: perSecond}}}
		var granted []time.Duration
		for now := time.Hour; now < time.Hour+2*time.Minute; now += time.Duration(rng.IntN(20)) * time.Millisecond {
			isGranted, wait := limits[rng.IntN(2)].take(now)
			if isGranted {
				granted = append(granted, now)
			}
			require.LessOrEqual(t, wait, maxPermitWait)
			require.GreaterOrEqual(t, wait, time.Duration(0))
		}
		require.NotEmpty(t, granted)
		for i, first := range granted {
			n := 0
			for _, at := range granted[i:] {
				if at-first < 4*time.Second {
					n++
				}
			}
			require.LessOrEqual(t, float64(n), 6*perSecond+5, "limit %g", perSecond)
		}
	}
}

func TestNewerStatementAboutLimitReplacesOlderOne(t *testing.T) {
	now := time.Hour
	network := memnet.New(1).Host("a", "z")
	b := NewBalancer("a", "z", func() time.Duration { return now }, upstream.NewPool(network, metrics.NewRegistry()))
	b.SetServers([]follow.Server{{ID: "s", Service: "app", Address: "s:1", Incarnation: 7}})
	target := upstream.Target{ID: "s", Incarnation: 7}
	report := func(isNamed bool, perSecond float64, ageMillis int64) map[string]LimitReport {
		return map[string]LimitReport{"s": {Incarnation: 7, IsNamed: isNamed, PerSecond: perSecond, AgeMillis: ageMillis}}
	}
	_, isChanged := b.setLimit(target, ServerLimit{})
	require.False(t, isChanged)
	require.Empty(t, b.LimitReports())
	require.Empty(t, b.MergeLimits(report(false, 0, 0)), "no limit was ever named")
	require.Len(t, b.MergeLimits(report(true, 2, 500)), 1)
	now += time.Second
	require.Empty(t, b.MergeLimits(report(true, 3, 2000)), "older")
	require.Empty(t, b.MergeLimits(map[string]LimitReport{"s": {Incarnation: 6, IsNamed: true, PerSecond: 9}}), "another incarnation")
	require.Equal(t, 2.0, b.LimitReports()["s"].PerSecond)
	require.Equal(t, int64(1500), b.LimitReports()["s"].AgeMillis)
	require.Empty(t, b.MergeLimits(report(true, 2, 1400)))
	require.Equal(t, int64(1500), b.LimitReports()["s"].AgeMillis, "passing a limit on does not make it younger")
	previous, isChanged := b.setLimit(target, ServerLimit{})
	require.True(t, isChanged)
	require.Equal(t, 2.0, previous.PerSecond)
	require.Empty(t, b.MergeLimits(report(true, 2, 100)), "it has ended since")
	require.False(t, b.LimitReports()["s"].IsNamed)
	now += endedLimitRetention + time.Second
	require.Empty(t, b.LimitReports())
}

// The server restarts while its permit is under way: a call that is not counted there must
// not be sent, since its end would be counted.
func TestPermitOfRestartedServerIsNotUsed(t *testing.T) {
	now := time.Hour
	network := memnet.New(1).Host("a", "z")
	b := NewBalancer("a", "z", func() time.Duration { return now }, upstream.NewPool(network, metrics.NewRegistry()))
	server := follow.Server{ID: "s", Service: "app", Address: "s:1", Incarnation: 7}
	b.SetServers([]follow.Server{server})
	b.setLimit(upstream.Target{ID: "s", Incarnation: 7}, ServerLimit{IsNamed: true, PerSecond: 1})
	now += time.Second
	pick := func() *choice {
		c, err := b.pick("app", &RequestInfo{}, 0, nil, nil, true)
		require.NoError(t, err)
		require.NotNil(t, c.permit)
		return c
	}
	require.True(t, b.recordPermit(pick(), Permit{IsGranted: true}))
	require.Equal(t, 1, b.Loads()["s"].Running)
	c := pick()
	require.False(t, b.recordPermit(c, Permit{}))
	now += time.Second
	c = pick()
	server.Incarnation = 8
	b.SetServers([]follow.Server{server})
	require.False(t, b.recordPermit(c, Permit{IsGranted: true}))
	require.Empty(t, b.Loads())
}
