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
	lostAnswers = cloud.Faults{LoseAnswers: true}
	noFaults    = cloud.Faults{}
)

// The first holder is cut off from the store while it orders engines slowly,
// so that its last orders arrive after its lease has lapsed in the store. The
// second one must not be overtaken by them.
func TestOrdersOfTwoHoldersDoNotMix(t *testing.T) {
	var models []string
	for i := range 8 {
		models = append(models, fmt.Sprintf("m%d", i))
	}
	for name, checks := range map[string]bool{"engines check tokens": true, "engines check nothing": false} {
		for _, phase := range []time.Duration{0, 1300 * time.Millisecond, 2600 * time.Millisecond, 3900 * time.Millisecond} {
			t.Run(name+" "+phase.String(), func(t *testing.T) {
				withRig(t, checks, models, func(r *rig) {
					r.setDemand(100)
					tune := func(c *planner.Config) {
						c.MaxLoads, c.LoadsPerSecond = 100, 1000
						c.ProtectedShare, c.Interval = 0.01, 200*time.Millisecond
					}
					r.planner("p-1", "a", tune)
					r.await(20*time.Second, "engines are up", func() bool { return r.liveCount() >= 10 })
					r.setOrderDelay(4900 * time.Millisecond)
					r.await(20*time.Second, "the first holder orders", func() bool { return len(r.orders()) > 0 })
					r.planner("p-2", "a", tune)
					time.Sleep(phase)
					r.network.PartitionZones("host-p-1", "platform")
					time.Sleep(20 * time.Second)
					r.setOrderDelay(0)
					r.await(5*time.Minute, "every engine has every model", func() bool { return r.loadedEverywhere(models) })
					requireNoMix(t, r.orders(), checks)
				})
			})
		}
	}
}

// requireNoMix checks that no order of an earlier holder was taken after one of
// a later holder, and that both have ordered. Engines that check tokens do so
// each for itself; at the others no order of the earlier holder may be left.
func requireNoMix(t *testing.T, orders []arrival, checks bool) {
	highest, tokens := map[string]int64{}, map[int64]bool{}
	for i, o := range orders {
		if !o.taken {
			continue
		}
		at := "all"
		if checks {
			at = o.engine
		}
		require.GreaterOrEqual(t, o.token, highest[at], "order %d of %v", i, orders)
		highest[at] = o.token
		tokens[o.token] = true
	}
	require.Len(t, tokens, 2)
}

func (r *rig) loadedEverywhere(models []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.engines {
		if len(e.Models()) < len(models)+1 {
			return false
		}
	}
	return true
}

func TestLoadsKeepToThePaceOfTheWeightStore(t *testing.T) {
	withRig(t, true, []string{"m1", "m2"}, func(r *rig) {
		r.setDemand(100)
		r.planner("p-1", "a", func(c *planner.Config) { c.LoadsPerSecond, c.ProtectedShare = 0.25, 0.01 })
		r.await(20*time.Second, "engines are up", func() bool { return r.liveCount() >= 10 })
		before := len(r.orders())
		time.Sleep(40 * time.Second)
		ordered := len(r.orders()) - before
		require.InDelta(t, 10, ordered, 1, "one order in 4 s")
	})
}

// Lost answers of the store and a second planner: one of them acts, and the
// zone is taken over when it dies.
func TestOnePlannerActsThroughLostAnswersOfTheStore(t *testing.T) {
	withRig(t, true, []string{"base"}, func(r *rig) {
		r.setDemand(30)
		r.store.Faults.LoseWriteAnswers(0.3)
		one := func(c *planner.Config) { c.ProtectedShare = 0.01 }
		kill := r.planner("p-1", "a", one)
		r.planner("p-2", "a", one)
		time.Sleep(2 * time.Minute)
		kill()
		time.Sleep(2 * time.Minute)
		require.Len(t, r.cloud.VMs(), 3)
		r.setDemand(50)
		r.await(time.Minute, "the other planner acts", func() bool { return r.liveCount() == 5 })
	})
}
