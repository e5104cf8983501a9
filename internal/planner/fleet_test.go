package planner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"buckthornpick/internal/planner"
)

// A demand of 60 requests is 6 VMs, of which 3.6 survive a zone.
const steadyDemand, steadyVMs = 60, 6

func (r *rig) steady() {
	r.t.Helper()
	r.setDemand(steadyDemand)
	r.planners(nil)
	r.await(30*time.Second, "the fleet meets the demand", func() bool { return r.liveCount() >= steadyVMs })
	time.Sleep(6 * hold)
}

func TestDemandStartsAndStopsVMs(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.steady()
		require.Equal(t, steadyVMs, r.liveCount())
		for zone, n := range r.live() {
			require.LessOrEqual(t, n, 2, "zone %s", zone)
		}
		r.setDemand(2 * steadyDemand)
		r.await(20*time.Second, "the fleet has doubled", func() bool { return r.liveCount() >= 2*steadyVMs })
		r.setDemand(steadyDemand)
		time.Sleep(2*hold - 3*time.Second)
		require.GreaterOrEqual(t, r.liveCount(), 2*steadyVMs, "a short dip stops nothing")
		r.await(3*time.Minute, "the fleet has shrunk", func() bool { return r.liveCount() <= steadyVMs })
		time.Sleep(6 * hold)
		require.Equal(t, steadyVMs, r.liveCount())
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
		r.steady()
		before := r.askedIn("a") + r.askedIn("b") + r.askedIn("c")
		lost := len(r.cloud.ReclaimZone("c", 20*time.Second))
		require.Positive(t, lost)
		took := r.await(30*time.Second, "capacity is back", func() bool {
			return r.live()["a"]+r.live()["b"] >= steadyVMs
		})
		t.Logf("capacity back %s after the notice", took)
		require.Less(t, took, 20*time.Second, "before the VMs are gone")
		asked := func() int { return r.askedIn("a") + r.askedIn("b") + r.askedIn("c") - before }
		time.Sleep(hold)
		// 3.6 VMs must survive a zone, so two zones hold four each.
		require.LessOrEqual(t, asked(), 4, "starts asked for at once")
		time.Sleep(20 * hold)
		require.LessOrEqual(t, asked(), 4+lost, "the lost zone is used again, and nothing else moves")
		require.Equal(t, steadyVMs, r.liveCount())
	})
}

func TestPricesMoveVMsOnceAndSmallChangesNone(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.steady()
		started := len(r.cloud.VMs())
		for i := range 20 {
			r.cloud.SetPrice("a", "gpu", true, 1+0.03*float64(i%2))
			r.cloud.SetPrice("b", "gpu", true, 1+0.03*float64((i+1)%2))
			time.Sleep(3 * hold / 4)
		}
		require.Len(t, r.cloud.VMs(), started, "prices that waver by 3 % move nothing")
		r.cloud.SetPrice("c", "gpu", true, 3)
		time.Sleep(15 * hold)
		moved := len(r.cloud.VMs()) - started
		t.Logf("a price of three times in one zone starts %d VMs", moved)
		require.LessOrEqual(t, moved, 4)
		require.GreaterOrEqual(t, r.liveCount(), steadyVMs)
		settled := len(r.cloud.VMs())
		time.Sleep(15 * hold)
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
		r.steady()
		r.store.Faults.SetOutage(true)
		started := len(r.cloud.VMs())
		r.cloud.ReclaimZone("c", 20*time.Second)
		time.Sleep(2 * time.Minute)
		require.Len(t, r.cloud.VMs(), started)
		r.store.Faults.SetOutage(false)
		r.await(time.Minute, "capacity is back", func() bool { return r.liveCount() >= steadyVMs })
	})
}
