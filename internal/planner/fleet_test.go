package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/planner"
)

// A demand of 60 requests is 6 VMs. VMs in use are dropped only while 15 % more
// than that stays.
const steadyDemand, steadyVMs, maxVMsAfterScaleDown = 60, 6, 8

func (r *testSite) reachSteadyState(protected float64) {
	r.t.Helper()
	r.setDemand(steadyDemand)
	r.startPlanners(func(c *planner.Config) { c.ProtectedShare, c.StabilisationTime = protected, 3*stabilisation })
	r.waitUntil(30*time.Second, "the fleet meets the demand", func() bool { return r.liveCount() >= steadyVMs })
	time.Sleep(6 * stabilisation)
}

func TestDemandStartsAndStopsVMs(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(r *testSite) {
		r.reachSteadyState(0.3)
		require.Equal(t, steadyVMs, r.liveCount())
		for zone, n := range r.liveByZone() {
			require.GreaterOrEqual(t, float64(steadyVMs-n), 0.3*steadyVMs, "what survives the loss of zone %s", zone)
		}
		r.setDemand(2 * steadyDemand)
		r.waitUntil(20*time.Second, "the fleet has doubled", func() bool { return r.liveCount() >= 2*steadyVMs })
		r.setDemand(steadyDemand)
		time.Sleep(4*stabilisation - 5*time.Second) // less than ShrinkAfter and HoldTime
		require.Zero(t, r.drainingCount(), "a short dip drains nothing")
		require.Equal(t, 2*steadyVMs, r.liveCount(), "a short dip stops nothing")
		r.waitUntil(3*time.Minute, "the fleet has shrunk", func() bool { return r.liveCount() <= maxVMsAfterScaleDown })
		time.Sleep(6 * stabilisation)
		require.GreaterOrEqual(t, r.liveCount(), steadyVMs)
		require.Len(t, r.cloud.VMs(), 2*steadyVMs, "no VM was started for nothing")
	})
}

func TestRefusedStartsBackOffAndFailOver(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(r *testSite) {
		r.cloud.SetRefusal("a", "gpu", true)
		r.setDemand(150)
		r.startPlanners(nil)
		r.waitUntil(time.Minute, "other zones stand in", func() bool { return r.liveCount() >= 15 })
		require.LessOrEqual(t, r.startRequestsIn("a"), 2, "one refusal ends the starts of its offer")
		time.Sleep(10 * time.Minute)
		require.Zero(t, r.liveByZone()["a"])
		require.LessOrEqual(t, r.startRequestsIn("a"), 8, "asks of an offer that refuses double their distance")
		require.GreaterOrEqual(t, min(r.liveByZone()["b"], r.liveByZone()["c"]), 9, "the protected demand survives a zone")
	})
}

func TestReclaimedZoneIsReplacedWithoutExcessStarts(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(r *testSite) {
		r.reachSteadyState(0.6)
		before := r.startRequestsIn("a") + r.startRequestsIn("b") + r.startRequestsIn("c")
		lost := len(r.cloud.ReclaimZone("c", 20*time.Second))
		require.Positive(t, lost)
		took := r.waitUntil(30*time.Second, "capacity is back", func() bool {
			return r.liveByZone()["a"]+r.liveByZone()["b"] >= steadyVMs
		})
		t.Logf("capacity back %s after the notice, %d VMs lost", took, lost)
		require.Less(t, took, 20*time.Second, "before the VMs are gone")
		starts := func() int { return r.startRequestsIn("a") + r.startRequestsIn("b") + r.startRequestsIn("c") - before }
		time.Sleep(stabilisation)
		// 3.6 VMs must survive a zone, so two zones hold four each.
		t.Logf("starts asked for at once: %d", starts())
		require.LessOrEqual(t, starts(), 4, "starts asked for at once")
		time.Sleep(20 * stabilisation)
		require.LessOrEqual(t, starts(), 4+lost, "nothing but the lost zone is started again")
	})
}

func TestLargePriceChangeMovesVMsOnceAndSmallOnesMoveNone(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(r *testSite) {
		r.reachSteadyState(0.3)
		started := len(r.cloud.VMs())
		for i := range 20 {
			r.cloud.SetPrice("a", "gpu", true, 1+0.03*float64(i%2))
			r.cloud.SetPrice("b", "gpu", true, 1+0.03*float64((i+1)%2))
			time.Sleep(3 * stabilisation / 4)
		}
		require.Len(t, r.cloud.VMs(), started, "prices that waver by 3 % move nothing")
		expensive := r.liveByZone()["a"]
		require.Positive(t, expensive)
		r.cloud.SetPrice("a", "gpu", true, 3)
		time.Sleep(30 * stabilisation)
		moved := len(r.cloud.VMs()) - started
		t.Logf("a price of three times in one zone starts %d VMs", moved)
		require.Positive(t, moved)
		require.LessOrEqual(t, moved, expensive, "no more than the dear zone had")
		require.GreaterOrEqual(t, r.liveCount(), steadyVMs)
		settled := len(r.cloud.VMs())
		time.Sleep(30 * stabilisation)
		require.Len(t, r.cloud.VMs(), settled, "after the move the fleet stays")
	})
}

// A planner dies at every moment around its starts, while answers are lost. The
// next holder asks the recorded operations again, and no VM too many comes.
func TestPlannerCrashDoesNotDuplicateVMs(t *testing.T) {
	for _, after := range []time.Duration{200, 2003, 2006, 2009, 2012, 2500, 4100} {
		t.Run((after * time.Millisecond).String(), func(t *testing.T) {
			// The list lags so far that only the record tells of a start.
			withLaggingTestSite(t, 30*time.Second, true, []string{"base"}, func(r *testSite) {
				r.network.SetLatency(time.Millisecond, 0)
				r.setDemand(30)
				time.Sleep(31 * time.Second)
				r.cloud.SetFaults(lostResponses)
				configure := func(c *planner.Config) { c.ProtectedShare = 0.01 }
				kill := r.startPlanner("p-1", "a", configure)
				time.Sleep(after * time.Millisecond)
				kill()
				r.startPlanner("p-2", "a", configure)
				time.Sleep(time.Minute)
				require.NotEmpty(t, r.cloud.VMs(), "the next holder goes on")
				r.cloud.SetFaults(noFaults)
				time.Sleep(5 * time.Minute)
				require.Len(t, r.cloud.VMs(), 3)
			})
		})
	}
}

func TestNoActionDuringStoreOutage(t *testing.T) {
	withTestSite(t, true, []string{"base"}, func(r *testSite) {
		r.reachSteadyState(0.6)
		r.store.Faults.SetOutage(true)
		started := len(r.cloud.VMs())
		r.cloud.ReclaimZone("c", 20*time.Second)
		time.Sleep(2 * time.Minute)
		require.Len(t, r.cloud.VMs(), started)
		r.store.Faults.SetOutage(false)
		r.waitUntil(time.Minute, "capacity is back", func() bool { return r.liveCount() >= steadyVMs })
	})
}
