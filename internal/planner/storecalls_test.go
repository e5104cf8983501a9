package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/planner"
)

// TestStoreCallRateIsIndependentOfFleetSize checks that the rate of store calls
// does not depend on the number of backend servers: an acting planner reads
// twice per round and renews its lease.
func TestStoreCallRateIsIndependentOfFleetSize(t *testing.T) {
	rates := map[int]float64{}
	for _, vms := range []int{6, 60} {
		withTestSite(t, true, []string{"base"}, func(site *testSite) {
			site.setDemand(float64(10 * vms))
			site.startPlanner("p-1", "a", func(c *planner.Config) { c.ProtectedShare, c.MaxPendingStarts = 0.01, 100 })
			site.waitUntil(time.Minute, "the fleet meets the demand", func() bool { return site.liveCount() >= vms })
			time.Sleep(10 * time.Second)
			before := site.store.Calls()
			const seconds = 60
			time.Sleep(seconds * time.Second)
			total := 0.0
			for kind, n := range site.store.Calls() {
				t.Logf("%d VMs: %s %.2f/s", vms, kind, float64(n-before[kind])/seconds)
				total += float64(n-before[kind]) / seconds
			}
			rates[vms] = total
		})
	}
	require.InDelta(t, rates[6], rates[60], 0.1, fmt.Sprint(rates))
}
