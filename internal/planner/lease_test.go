package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/planner"
	"buckthornpick/internal/standin/cloud"
)

var (
	lostResponses = cloud.Faults{LoseAnswers: true}
	noFaults      = cloud.Faults{}
)

// TestOrdersOfSuccessiveLeaseHoldersDoNotInterleave partitions the first lease
// holder from the store while its orders are delayed, so that its last orders
// arrive after its lease has lapsed in the store. No engine may accept them
// after orders of the second holder.
func TestOrdersOfSuccessiveLeaseHoldersDoNotInterleave(t *testing.T) {
	var models []string
	for i := range 8 {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	for name, checksFencing := range map[string]bool{"engines check tokens": true, "engines check no tokens": false} {
		for _, phase := range []time.Duration{0, 1300 * time.Millisecond, 2600 * time.Millisecond, 3900 * time.Millisecond} {
			t.Run(name+" "+phase.String(), func(t *testing.T) {
				withTestSite(t, checksFencing, models, func(site *testSite) {
					site.setDemand(100)
					configure := func(c *planner.Config) {
						c.MaxConcurrentLoads, c.LoadsPerSecond = 100, 1000
						c.ProtectedShare, c.Interval = 0.01, 200*time.Millisecond
					}
					site.startPlanner("p-1", "a", configure)
					site.waitUntil(20*time.Second, "engines are up", func() bool { return site.liveCount() >= 10 })
					site.setOrderDelay(4900 * time.Millisecond)
					site.waitUntil(20*time.Second, "the first holder orders", func() bool { return len(site.receivedOrders()) > 0 })
					site.startPlanner("p-2", "a", configure)
					time.Sleep(phase)
					site.network.PartitionZones("host-p-1", "platform")
					time.Sleep(20 * time.Second)
					site.setOrderDelay(0)
					site.waitUntil(5*time.Minute, "every engine has every model", func() bool { return site.allModelsLoaded(models) })
					requireNoInterleavedOrders(t, site.receivedOrders(), checksFencing)
				})
			})
		}
	}
}

// requireNoInterleavedOrders checks that no order of an earlier lease holder was
// accepted after one of a later holder, and that both have sent orders. Engines
// that check fencing tokens are compared one by one; for others the order must
// hold across all engines, because only the grace period separates the holders.
func requireNoInterleavedOrders(t *testing.T, orders []receivedOrder, checksFencing bool) {
	highest, tokens := map[string]int64{}, map[int64]bool{}
	for i, o := range orders {
		if !o.accepted {
			continue
		}
		scope := "all"
		if checksFencing {
			scope = o.engine
		}
		require.GreaterOrEqual(t, o.token, highest[scope], "order %d of %v", i, orders)
		highest[scope] = o.token
		tokens[o.token] = true
	}
	require.Len(t, tokens, 2)
}

func (s *testSite) allModelsLoaded(models []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if len(e.Models()) < len(models)+1 {
			return false
		}
	}
	return true
}

func TestModelLoadsRespectRateLimit(t *testing.T) {
	withTestSite(t, true, []string{"m1", "m2"}, func(site *testSite) {
		site.setDemand(100)
		site.startPlanner("p-1", "a", func(c *planner.Config) { c.LoadsPerSecond, c.ProtectedShare = 0.25, 0.01 })
		site.waitUntil(20*time.Second, "engines are up", func() bool { return site.liveCount() >= 10 })
		before := len(site.receivedOrders())
		time.Sleep(40 * time.Second)
		ordered := len(site.receivedOrders()) - before
		require.InDelta(t, 10, ordered, 1, "one order every 4 s")
	})
}

// TestSinglePlannerActsDespiteLostStoreResponses runs two planners while the
// store loses responses. Only one of them may act, and the other takes over the
// zone when it crashes.
func TestSinglePlannerActsDespiteLostStoreResponses(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(site *testSite) {
		site.setDemand(30)
		site.store.Faults.LoseWriteAnswers(0.3)
		configure := func(c *planner.Config) { c.ProtectedShare = 0.01 }
		kill := site.startPlanner("p-1", "a", configure)
		site.startPlanner("p-2", "a", configure)
		time.Sleep(2 * time.Minute)
		kill()
		time.Sleep(2 * time.Minute)
		require.Len(t, site.cloud.VMs(), 3)
		site.setDemand(50)
		site.waitUntil(time.Minute, "the other planner acts", func() bool { return site.liveCount() == 5 })
	})
}
