package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// returningCallers plays an organisation whose callers come in waves beyond its quota to all
// entries of a large site, and come back once, at any entry, when plan tells them. It returns
// how many were told to and the fraction of these that was refused again.
func returningCallers(plan func(sim *quotaSim, e *simEntry, d Decision, amount float64) time.Duration) (told int, refusedAgain float64) {
	const cost, patience = 4000, 2 * time.Second
	sim := newQuotaSim(17)
	sim.maxHubDelay, sim.silenceTimeout = 400*time.Millisecond, time.Second
	returns := map[time.Duration]int{}
	again := 0
	offer := func(isReturn bool) {
		e := sim.entries[sim.rng.IntN(len(sim.entries))]
		d := e.counter.Spend(sim.now, limits, e.site, cost)
		switch {
		case d.Allowed:
			sim.spent = append(sim.spent, slotSum{sim.now, cost})
		case isReturn:
			again++
		default:
			told++
			returns[(sim.now+min(plan(sim, e, d, cost), patience)).Truncate(tick)]++
		}
	}
	for i := range 4000 {
		rate := 0.4 * limits.PerSecond
		if i/100%10 < 2 { // two seconds of ten
			rate = 3 * limits.PerSecond
		}
		for range returns[sim.now.Truncate(tick)] {
			offer(true)
		}
		if sim.rng.Float64() < rate*tick.Seconds()/cost {
			offer(false)
		}
		sim.run(tick, 0, cost, allConnected)
	}
	return told, float64(again) / float64(max(told, 1))
}

func TestCallersToldToReturnFindRoom(t *testing.T) {
	const patience = 2 * time.Second
	_, planned := returningCallers(func(sim *quotaSim, e *simEntry, d Decision, amount float64) time.Duration {
		return e.counter.PlanReturn(sim.now, limits, e.site, d, amount, patience)
	})
	told, guessed := returningCallers(func(sim *quotaSim, _ *simEntry, d Decision, _ float64) time.Duration {
		return d.RetryAfter + time.Duration(0.3*sim.rng.Float64()*float64(d.RetryAfter))
	})
	t.Logf("of %d callers %.2f were refused again without a plan, %.2f with one", told, guessed, planned)
	require.Less(t, planned, 0.65*guessed)
}

func TestPlannedReturnsAreAsManyAsTheRoom(t *testing.T) {
	c := NewCounter(window, 0)
	site := Site{Entries: 4, Reachable: 4, Lag: 300 * time.Millisecond}
	now := 2 * window
	d := Decision{Limit: 10_000, RetryAfter: 300 * time.Millisecond}
	var last time.Duration
	returns := 0
	for range 400 {
		after := c.PlanReturn(now, limits, site, d, 1000, 3*time.Second)
		require.GreaterOrEqual(t, after, last)
		if last = after; after < 3*time.Second {
			returns++
		}
	}
	require.InDelta(t, limits.PerSecond/4*2.7/1000, returns, 2, "this entry's part of the room")
	require.Equal(t, 3*time.Second, last, "callers come back then, whatever they are told")
}
