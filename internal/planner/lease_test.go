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

// The first holder is cut off from the store while it orders engines slowly,
// so that its last orders arrive after its lease has lapsed in the store. The
// second one must not be overtaken by them.
func TestOrdersOfSuccessiveLeaseHoldersDoNotInterleave(t *testing.T) {
	var models []string
	for i := range 8 {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	for name, checksFencing := range map[string]bool{"engines check tokens": true, "engines check nothing": false} {
		for _, phase := range []time.Duration{0, 1300 * time.Millisecond, 2600 * time.Millisecond, 3900 * time.Millisecond} {
			t.Run(name+" "+phase.String(), func(t *testing.T) {
				withTestSite(t, checksFencing, models, func(r *testSite) {
					r.setDemand(100)
					tune := func(c *planner.Config) {
						c.MaxConcurrentLoads, c.LoadsPerSecond = 100, 1000
						c.ProtectedShare, c.Interval = 0.01, 200*time.Millisecond
					}
					r.startPlanner("p-1", "a", tune)
					r.waitUntil(20*time.Second, "engines are up", func() bool { return r.liveCount() >= 10 })
					r.setOrderDelay(4900 * time.Millisecond)
					r.waitUntil(20*time.Second, "the first holder orders", func() bool { return len(r.receivedOrders()) > 0 })
					r.startPlanner("p-2", "a", tune)
					time.Sleep(phase)
					r.network.CutZones("host-p-1", "platform")
					time.Sleep(20 * time.Second)
					r.setOrderDelay(0)
					r.waitUntil(5*time.Minute, "every engine has every model", func() bool { return r.allModelsLoaded(models) })
					requireNoInterleavedOrders(t, r.receivedOrders(), checksFencing)
				})
			})
		}
	}
}

// requireNoMix checks that no order of an earlier holder was taken after one of
// a later holder, and that both have ordered. Engines that check tokens do so
// each for itself; at the others no order of the earlier holder may be left.
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

func (r *testSite) allModelsLoaded(models []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.engines {
		if len(e.Models()) < len(models)+1 {
			return false
		}
	}
	return true
}

func TestModelLoadsRespectRateLimit(t *testing.T) {
	withTestSite(t, true, []string{"m1", "m2"}, func(r *testSite) {
		r.setDemand(100)
		r.startPlanner("p-1", "a", func(c *planner.Config) { c.LoadsPerSecond, c.ProtectedShare = 0.25, 0.01 })
		r.waitUntil(20*time.Second, "engines are up", func() bool { return r.liveCount() >= 10 })
		before := len(r.receivedOrders())
		time.Sleep(40 * time.Second)
		ordered := len(r.receivedOrders()) - before
		require.InDelta(t, 10, ordered, 1, "one order in 4 s")
	})
}

// Lost answers of the store and a second planner: one of them acts, and the
// zone is taken over when it dies.
func TestSinglePlannerActsDespiteLostStoreResponses(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(r *testSite) {
		r.setDemand(30)
		r.store.Faults.LoseAnswers(0.3)
		configure := func(c *planner.Config) { c.ProtectedShare = 0.01 }
		kill := r.startPlanner("p-1", "a", configure)
		r.startPlanner("p-2", "a", configure)
		time.Sleep(2 * time.Minute)
		kill()
		time.Sleep(2 * time.Minute)
		require.Len(t, r.cloud.VMs(), 3)
		r.setDemand(50)
		r.waitUntil(time.Minute, "the other planner acts", func() bool { return r.liveCount() == 5 })
	})
}
