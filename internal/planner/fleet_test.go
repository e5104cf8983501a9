package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/planner"
)

// A demand of 60 requests needs 6 VMs. VMs in use are removed only as long as
// the remaining ones exceed the demand by 15 %.
const steadyDemand, steadyVMs, maxVMsAfterScaleDown = 60, 6, 8

func (s *testSite) reachSteadyState(protectedShare float64) {
	s.t.Helper()
	s.setDemand(steadyDemand)
	s.startPlanners(func(c *planner.Config) { c.ProtectedShare, c.StabilisationTime = protectedShare, 3*stabilisation })
	s.waitUntil(30*time.Second, "the fleet meets the demand", func() bool { return s.liveCount() >= steadyVMs })
	time.Sleep(6 * stabilisation)
}

func TestDemandStartsAndStopsVMs(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(site *testSite) {
		site.reachSteadyState(0.3)
		require.Equal(t, steadyVMs, site.liveCount())
		for zone, n := range site.liveByZone() {
			require.GreaterOrEqual(t, float64(steadyVMs-n), 0.3*steadyVMs, "capacity left after the loss of zone %s", zone)
		}
		site.setDemand(2 * steadyDemand)
		site.waitUntil(20*time.Second, "the fleet has doubled", func() bool { return site.liveCount() >= 2*steadyVMs })
		site.setDemand(steadyDemand)
		time.Sleep(4*stabilisation - 5*time.Second) // less than ScaleDownDelay and StabilisationTime
		require.Zero(t, site.drainingCount(), "a short dip drains nothing")
		require.Equal(t, 2*steadyVMs, site.liveCount(), "a short dip stops nothing")
		site.waitUntil(3*time.Minute, "the fleet has shrunk", func() bool { return site.liveCount() <= maxVMsAfterScaleDown })
		time.Sleep(6 * stabilisation)
		require.GreaterOrEqual(t, site.liveCount(), steadyVMs)
		require.Len(t, site.cloud.VMs(), 2*steadyVMs, "no VM was started unnecessarily")
	})
}

func TestRefusedStartsBackOffAndFailOver(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(site *testSite) {
		site.cloud.SetRefusal("a", "gpu", true)
		site.setDemand(150)
		site.startPlanners(nil)
		site.waitUntil(time.Minute, "other zones provide the capacity", func() bool { return site.liveCount() >= 15 })
		require.LessOrEqual(t, site.startsIn("a"), 2, "one refusal ends the starts of its offer")
		time.Sleep(10 * time.Minute)
		require.Zero(t, site.liveByZone()["a"])
		require.LessOrEqual(t, site.startsIn("a"), 8, "the interval between requests to a refusing offer doubles")
		require.GreaterOrEqual(t, min(site.liveByZone()["b"], site.liveByZone()["c"]), 9, "the protected demand is met without one zone")
	})
}

func TestReclaimedZoneIsReplacedWithoutExcessStarts(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(site *testSite) {
		site.reachSteadyState(0.6)
		before := site.startsIn("a") + site.startsIn("b") + site.startsIn("c")
		lost := len(site.cloud.ReclaimZone("c", 20*time.Second))
		require.Positive(t, lost)
		took := site.waitUntil(30*time.Second, "capacity is back", func() bool {
			return site.liveByZone()["a"]+site.liveByZone()["b"] >= steadyVMs
		})
		t.Logf("capacity back %s after the notice, %d VMs lost", took, lost)
		require.Less(t, took, 20*time.Second, "before the VMs are reclaimed")
		starts := func() int { return site.startsIn("a") + site.startsIn("b") + site.startsIn("c") - before }
		time.Sleep(stabilisation)
		// 3.6 VMs must remain after the loss of a zone, so two zones have four each.
		t.Logf("starts requested shortly after the reclaim: %d", starts())
		require.LessOrEqual(t, starts(), 4, "starts requested shortly after the reclaim")
		time.Sleep(20 * stabilisation)
		require.LessOrEqual(t, starts(), 4+lost, "only the capacity of the lost zone is replaced")
	})
}

func TestLargePriceChangeMovesVMsOnceAndSmallOnesMoveNone(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(site *testSite) {
		site.reachSteadyState(0.3)
		started := len(site.cloud.VMs())
		for i := range 20 {
			site.cloud.SetPrice("a", "gpu", true, 1+0.03*float64(i%2))
			site.cloud.SetPrice("b", "gpu", true, 1+0.03*float64((i+1)%2))
			time.Sleep(3 * stabilisation / 4)
		}
		require.Len(t, site.cloud.VMs(), started, "price fluctuations of 3 % move no VMs")
		expensive := site.liveByZone()["a"]
		require.Positive(t, expensive)
		site.cloud.SetPrice("a", "gpu", true, 3)
		time.Sleep(30 * stabilisation)
		moved := len(site.cloud.VMs()) - started
		t.Logf("a threefold price in one zone starts %d VMs elsewhere", moved)
		require.Positive(t, moved)
		require.LessOrEqual(t, moved, expensive, "no more VMs than the expensive zone had")
		require.GreaterOrEqual(t, site.liveCount(), steadyVMs)
		settled := len(site.cloud.VMs())
		time.Sleep(30 * stabilisation)
		require.Len(t, site.cloud.VMs(), settled, "the fleet is stable after the move")
	})
}

// TestPlannerCrashDoesNotDuplicateVMs kills a planner at various times around
// its starts while the platform's responses are lost. The next lease holder must
// retry the recorded operations, so that no extra VM is started.
func TestPlannerCrashDoesNotDuplicateVMs(t *testing.T) {
	for _, after := range []time.Duration{200, 2003, 2006, 2009, 2012, 2500, 4100} {
		t.Run((after * time.Millisecond).String(), func(t *testing.T) {
			// The VM list lags so long that a start is known only from the store.
			withLaggingTestSite(t, 30*time.Second, true, []string{"base"}, func(site *testSite) {
				site.network.SetLatency(time.Millisecond, 0)
				site.setDemand(30)
				time.Sleep(31 * time.Second)
				site.cloud.SetFaults(lostResponses)
				configure := func(c *planner.Config) { c.ProtectedShare = 0.01 }
				kill := site.startPlanner("p-1", "a", configure)
				time.Sleep(after * time.Millisecond)
				kill()
				site.startPlanner("p-2", "a", configure)
				time.Sleep(time.Minute)
				require.NotEmpty(t, site.cloud.VMs(), "the next lease holder starts the VMs")
				site.cloud.SetFaults(noFaults)
				time.Sleep(5 * time.Minute)
				require.Len(t, site.cloud.VMs(), 3)
			})
		})
	}
}

func TestNoActionDuringStoreOutage(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(site *testSite) {
		site.reachSteadyState(0.6)
		site.store.Faults.SetOutage(true)
		started := len(site.cloud.VMs())
		site.cloud.ReclaimZone("c", 20*time.Second)
		time.Sleep(2 * time.Minute)
		require.Len(t, site.cloud.VMs(), started)
		site.store.Faults.SetOutage(false)
		site.waitUntil(time.Minute, "capacity is back", func() bool { return site.liveCount() >= steadyVMs })
	})
}
