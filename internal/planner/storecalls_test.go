package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/planner"
)

// The store is called at a rate that does not depend on the number of backend
// servers: an acting planner reads twice in a round and renews its lease.
func TestStoreCallRateIsIndependentOfFleetSize(t *testing.T) {
	rates := map[int]float64{}
	for _, vms := range []int{6, 60} {
		withTestSite(t, true, []string{"base"}, func(r *testSite) {
			r.setDemand(float64(10 * vms))
			r.startPlanner("p-1", "a", func(c *planner.Config) { c.ProtectedShare, c.MaxPendingStarts = 0.01, 100 })
			r.waitUntil(time.Minute, "the fleet meets the demand", func() bool { return r.liveCount() >= vms })
			time.Sleep(10 * time.Second)
			before := r.store.Calls()
			const seconds = 60
			time.Sleep(seconds * time.Second)
			total := 0.0
			for kind, n := range r.store.Calls() {
				t.Logf("%d VMs: %s %.2f/s", vms, kind, float64(n-before[kind])/seconds)
				total += float64(n-before[kind]) / seconds
			}
			rates[vms] = total
		})
	}
	require.InDelta(t, rates[6], rates[60], 0.1, fmt.Sprint(rates))
}
