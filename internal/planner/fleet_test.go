package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/planner"
)

// A demand of 60 requests is 6 VMs. VMs in use are dropped only while 15 % more
// than that stays.
const steadyDemand, steadyVMs, shrunkVMs = 60, 6, 8

func (r *rig) steady(protected float64) {
	r.t.Helper()
	r.setDemand(steadyDemand)
	r.planners(func(c *planner.Config) { c.ProtectedShare, c.StabilisationTime = protected, 3*hold })
	r.await(30*time.Second, "the fleet meets the demand", func() bool { return r.liveCount() >= steadyVMs })
	time.Sleep(6 * hold)
}

func TestDemandStartsAndStopsVMs(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.steady(0.3)
		require.Equal(t, steadyVMs, r.liveCount())
		for zone, n := range r.live() {
			require.GreaterOrEqual(t, float64(steadyVMs-n), 0.3*steadyVMs, "what survives the loss of zone %s", zone)
		}
		r.setDemand(2 * steadyDemand)
		r.await(20*time.Second, "the fleet has doubled", func() bool { return r.liveCount() >= 2*steadyVMs })
		r.setDemand(steadyDemand)
		time.Sleep(4*hold - 5*time.Second) // less than ShrinkAfter and HoldTime
		require.Zero(t, r.drains(), "a short dip drains nothing")
		require.Equal(t, 2*steadyVMs, r.liveCount(), "a short dip stops nothing")
		r.await(3*time.Minute, "the fleet has shrunk", func() bool { return r.liveCount() <= shrunkVMs })
		time.Sleep(6 * hold)
		require.GreaterOrEqual(t, r.liveCount(), steadyVMs)
		require.Len(t, r.cloud.VMs(), 2*steadyVMs, "no VM was started for nothing")
	})
}

func TestRefusedStartsBackOffAndFallOver(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.cloud.SetRefusal("a", "gpu", true)
		r.setDemand(150)
		r.planners(nil)
		r.await(time.Minute, "other zones stand in", func() bool { return r.liveCount() >= 15 })
		require.LessOrEqual(t, r.askedIn("a"), 2, "one refusal ends the starts of its offer")
		time.Sleep(10 * time.Minute)
		require.Zero(t, r.live()["a"])
		require.LessOrEqual(t, r.askedIn("a"), 8, "asks of an offer that refuses double their distance")
		require.GreaterOrEqual(t, min(r.live()["b"], r.live()["c"]), 9, "the protected demand survives a zone")
	})
}

func TestAWaveIsReplacedElsewhereWithoutAStorm(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.steady(0.6)
		before := r.askedIn("a") + r.askedIn("b") + r.askedIn("c")
		lost := len(r.cloud.ReclaimZone("c", 20*time.Second))
		require.Positive(t, lost)
		took := r.await(30*time.Second, "capacity is back", func() bool {
			return r.live()["a"]+r.live()["b"] >= steadyVMs
		})
		t.Logf("capacity back %s after the notice, %d VMs lost", took, lost)
		require.Less(t, took, 20*time.Second, "before the VMs are gone")
		asked := func() int { return r.askedIn("a") + r.askedIn("b") + r.askedIn("c") - before }
		time.Sleep(hold)
		// 3.6 VMs must survive a zone, so two zones hold four each.
		t.Logf("starts asked for at once: %d", asked())
		require.LessOrEqual(t, asked(), 4, "starts asked for at once")
		time.Sleep(20 * hold)
		require.LessOrEqual(t, asked(), 4+lost, "nothing but the lost zone is started again")
	})
}

func TestPricesMoveVMsOnceAndSmallChangesNone(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.steady(0.3)
		started := len(r.cloud.VMs())
		for i := range 20 {
			r.cloud.SetPrice("a", "gpu", true, 1+0.03*float64(i%2))
			r.cloud.SetPrice("b", "gpu", true, 1+0.03*float64((i+1)%2))
			time.Sleep(3 * hold / 4)
		}
		require.Len(t, r.cloud.VMs(), started, "prices that waver by 3 % move nothing")
		dear := r.live()["a"]
		require.Positive(t, dear)
		r.cloud.SetPrice("a", "gpu", true, 3)
		time.Sleep(30 * hold)
		moved := len(r.cloud.VMs()) - started
		t.Logf("a price of three times in one zone starts %d VMs", moved)
		require.Positive(t, moved)
		require.LessOrEqual(t, moved, dear, "no more than the dear zone had")
		require.GreaterOrEqual(t, r.liveCount(), steadyVMs)
		settled := len(r.cloud.VMs())
		time.Sleep(30 * hold)
		require.Len(t, r.cloud.VMs(), settled, "after the move the fleet stays")
	})
}

// A planner dies at every moment around its starts, while answers are lost. The
// next holder asks the recorded operations again, and no VM too many comes.
func TestAKilledPlannerLeavesNoVMTwice(t *testing.T) {
	for _, after := range []time.Duration{200, 2003, 2006, 2009, 2012, 2500, 4100} {
		t.Run((after * time.Millisecond).String(), func(t *testing.T) {
			// The list lags so far that only the record tells of a start.
			withLaggingRig(t, 30*time.Second, true, []string{"base"}, func(r *rig) {
				r.network.SetLatency(time.Millisecond, 0)
				r.setDemand(30)
				time.Sleep(31 * time.Second)
				r.cloud.SetFaults(lostAnswers)
				one := func(c *planner.Config) { c.ProtectedShare = 0.01 }
				kill := r.planner("p-1", "a", one)
				time.Sleep(after * time.Millisecond)
				kill()
				r.planner("p-2", "a", one)
				time.Sleep(time.Minute)
				require.NotEmpty(t, r.cloud.VMs(), "the next holder goes on")
				r.cloud.SetFaults(noFaults)
				time.Sleep(5 * time.Minute)
				require.Len(t, r.cloud.VMs(), 3)
			})
		})
	}
}

func TestNothingIsDoneWhileTheStoreIsAway(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.steady(0.6)
		r.store.Faults.SetOutage(true)
		started := len(r.cloud.VMs())
		r.cloud.ReclaimZone("c", 20*time.Second)
		time.Sleep(2 * time.Minute)
		require.Len(t, r.cloud.VMs(), started)
		r.store.Faults.SetOutage(false)
		r.await(time.Minute, "capacity is back", func() bool { return r.liveCount() >= steadyVMs })
	})
}
