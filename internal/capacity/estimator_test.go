package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// estimated plays answers of a service for some seconds, which several entries get, and
// updates an estimator. each is called with every estimate.
type estimated struct {
	rng     *rand.Rand
	entries []*Answers
	members []Member
	now     time.Duration
	*Estimator
}

func newEstimated(servers, entries, slots int) *estimated {
	x := &estimated{rng: rand.New(rand.NewPCG(3, 4)), Estimator: NewEstimator(), now: time.Hour}
	for range entries {
		x.entries = append(x.entries, NewAnswers())
	}
	for i := range servers {
		x.members = append(x.members, Member{ID: fmt.Sprint("s", i), Incarnation: 1e12 + int64(i), Slots: slots})
	}
	return x
}

// play plays answers; load returns the running requests at a server, and millis the usual
// time of its work.
func (x *estimated) play(span time.Duration, perServer float64, load func(i int) int, millis func(i, running int) float64, each func(i int, e Estimate)) {
	const step = 200 * time.Millisecond
	for end := x.now + span; x.now < end; x.now += step {
		for i, m := range x.members {
			for n := x.rng.Float64() * 2 * perServer * step.Seconds(); n > x.rng.Float64(); n-- {
				running := load(i)
				x.entries[x.rng.IntN(len(x.entries))].Add(x.now, m.ID, m.Incarnation, running, millis(i, running)*math.Exp(0.5*x.rng.NormFloat64()))
			}
		}
		sum := map[string]Report{}
		for _, a := range x.entries {
			AddReports(sum, a.Reports(x.now))
		}
		x.Update(x.now, x.members, sum)
		for i, m := range x.members {
			each(i, x.Estimate(m.ID))
		}
	}
}

func TestSpeedFollowsChangesWithinTwoSeconds(t *testing.T) {
	x := newEstimated(9, 109, 6)
	slow := -1
	load := func(int) int { return 3 }
	millis := func(i, _ int) float64 {
		if i == slow {
			return 180
		}
		return 60
	}
	wrong := 0
	count := func(i int, e Estimate) {
		if i != slow && (e.Speed > 1.6 || e.Speed < 0.6) {
			wrong++
		}
	}
	x.play(60*time.Second, 5, load, millis, count)
	require.Less(t, wrong, 60*5*9/100, "speeds of servers that are alike")
	slow = 4
	x.play(2*time.Second, 5, load, millis, count)
	require.Greater(t, x.Estimate("s4").Speed, 1.6)
	slow = -1
	x.play(2*time.Second, 5, load, millis, func(int, Estimate) {})
	require.Less(t, x.Estimate("s4").Speed, 1.6)
}

func TestSpeedIsForgottenWithoutAnswersAndAfterRestart(t *testing.T) {
	x := newEstimated(3, 5, 6)
	load, quiet := func(int) int { return 1 }, func(int, Estimate) {}
	millis := func(i, _ int) float64 { return 20 * float64(1+3*(i/2)) }
	x.play(5*time.Second, 10, load, millis, quiet)
	require.Greater(t, x.Estimate("s2").Speed, 2.0)
	previous := x.members[2].Incarnation
	x.members[2].Incarnation++
	x.Update(x.now, x.members, map[string]Report{"s2": Sums{Incarnation: shortIncarnation(previous), Count: 50, LogTime: 400}.report()})
	require.Equal(t, 1.0, x.Estimate("s2").Speed, "answers of the former incarnation")
	x.play(5*time.Second, 10, load, millis, quiet)
	x.play(30*time.Second, 0, load, millis, quiet)
	require.Equal(t, 1.0, x.Estimate("s2").Speed)
}

func TestKneeIsFoundAndFollowed(t *testing.T) {
	x := newEstimated(3, 20, 32)
	knee := 8.0
	millis := func(_, running int) float64 { return 60 * max(1, float64(running)/knee) }
	quiet := func(int, Estimate) {}
	few := func(int) int { return 4 }
	x.play(5*time.Second, 20, few, millis, quiet)
	require.Zero(t, x.Estimate("s0").Limit, "the load has not reached it")
	// Callers keep the servers as full as their limits allow.
	kept := func(i int) int {
		if limit := x.Estimate(x.members[i].ID).Limit; limit > 0 {
			return limit
		}
		return 32
	}
	x.play(2*time.Second, 20, kept, millis, quiet)
	least, most := 1<<30, 0
	x.play(20*time.Second, 20, kept, millis, func(_ int, e Estimate) { least, most = min(least, e.Limit), max(most, e.Limit) })
	t.Logf("knee of 8: limits from %d to %d", least, most)
	require.GreaterOrEqual(t, least, 4)
	require.LessOrEqual(t, most, 20)
	knee = 32
	x.play(20*time.Second, 20, kept, millis, quiet)
	t.Logf("knee of 32: limit %d", x.Estimate("s0").Limit)
	require.True(t, x.Estimate("s0").Limit == 0 || x.Estimate("s0").Limit >= 20)
}

// TestNoiseIsNoKnee plays servers that share their machines with others and say nothing of
// it, at loads that change by chance.
func TestNoiseIsNoKnee(t *testing.T) {
	for _, slots := range []int{4, 6, 64} {
		x := newEstimated(3, 20, slots)
		slowUntil := make([]time.Duration, len(x.members))
		load := func(int) int { return x.rng.IntN(1 + 2*slots/3) }
		millis := func(i, _ int) float64 {
			if x.rng.IntN(100) == 0 {
				slowUntil[i] = x.now + modelPeriod
			}
			if x.now < slowUntil[i] {
				return 60 * modelSlowed
			}
			return 60
		}
		limited, slow, estimates := 0, 0, 0
		x.play(5*time.Minute, 15, load, millis, func(_ int, e Estimate) {
			estimates++
			if e.Limit > 0 {
				limited++
			}
			if e.Speed > 2 {
				slow++
			}
		})
		t.Logf("%d slots: %d limits and %d speeds above 2 of %d estimates", slots, limited, slow, estimates)
		require.Less(t, limited, estimates/20)
		require.Less(t, slow, estimates/20)
	}
}

func TestReportsOfOthersAreJoinedAndBounded(t *testing.T) {
	sum := map[string]Report{"a": Sums{Incarnation: 1, Count: 2, Running: 4, LogTime: 8}.report()}
	own := map[string]Report{"a": Sums{Incarnation: 1, Count: 1, Running: 2, LogTime: 4}.report(), "b": Sums{Incarnation: 2, Count: 1}.report()}
	AddReports(sum, own)
	require.Equal(t, Sums{Incarnation: 1, Count: 3, Running: 6, LogTime: 12}, sum["a"].sums())
	SubtractReports(sum, own)
	require.Equal(t, Sums{Incarnation: 1, Count: 2, Running: 4, LogTime: 8}, sum["a"].sums())
	require.NotContains(t, sum, "b")
	for _, r := range []Report{nil, {1, 16}, {1, -16, 0, 0}, {1, 16, -1, 0}, {1, 16, 0, 1 << 30}} {
		require.Zero(t, r.sums(), r)
		AddReports(sum, map[string]Report{"a": r})
	}
	require.Equal(t, Sums{Incarnation: 1, Count: 2, Running: 4, LogTime: 8}, sum["a"].sums())
	require.Equal(t, 1.0, sum["a"][:4].sums().Count/2, "further elements are ignored")
}
